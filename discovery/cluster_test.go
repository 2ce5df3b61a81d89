package discovery_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
)

// registry is an in-memory Source that counts its reads.
type registry struct {
	t        *testing.T
	mutex    sync.Mutex
	epoch    discovery.Epoch
	revision discovery.Revision
	events   discovery.Changes
	reads    int
	// listings counts the complete reads.
	listings int
	down     bool
	// maxChanges limits the changes of servers in one answer; zero is unlimited.
	maxChanges int
}

func (r *registry) List(context.Context) (discovery.Listing, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reads++
	r.listings++
	if r.down {
		return discovery.Listing{}, discovery.ErrUnavailable
	}
	all := r.after(0)
	var listing discovery.Listing
	listing.Epoch, listing.Revision, listing.Table = all.Epoch, all.Revision, all.Table
	for _, e := range latestEntries(all.Servers) {
		listing.Servers = append(listing.Servers, e)
	}
	for _, e := range latestEntries(all.Nodes) {
		listing.Nodes = append(listing.Nodes, e)
	}
	for _, e := range latestEntries(all.Directives) {
		listing.Directives = append(listing.Directives, e)
	}
	return listing, nil
}

// count returns the number of reads so far.
func (r *registry) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.reads
}

func latestEntries[T any](entries []discovery.Entry[T]) map[string]discovery.Entry[T] {
	kept := make(map[string]discovery.Entry[T])
	for _, e := range entries {
		if e.Gone {
			delete(kept, e.ID)
		} else {
			kept[e.ID] = e
		}
	}
	return kept
}

// watchLatency is the time that the registry takes to notice a change.
const watchLatency = 10 * time.Millisecond

// Changes answers as soon as something has changed, or after the wait.
func (r *registry) Changes(_ context.Context, after discovery.Position, wait time.Duration) (discovery.Changes, error) {
	r.mutex.Lock()
	r.reads++
	r.mutex.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(watchLatency) {
		r.mutex.Lock()
		answer, down, epoch := r.after(after.Revision), r.down, r.epoch
		r.mutex.Unlock()
		switch {
		case down:
			return discovery.Changes{}, discovery.ErrUnavailable
		case epoch != after.Epoch:
			return discovery.Changes{}, discovery.ErrHistoryGone
		case answer.Partial:
			time.Sleep(watchLatency) // simulates the transfer of a long answer
			return answer, nil
		case answer.Revision > after.Revision || !time.Now().Before(end):
			return answer, nil
		}
	}
}

func (r *registry) after(revision discovery.Revision) discovery.Changes {
	answer := discovery.Changes{Epoch: r.epoch, Revision: r.revision, Table: r.events.Table}
	for _, e := range r.events.Servers {
		if e.Revision <= revision {
			continue
		}
		if r.maxChanges > 0 && len(answer.Servers) == r.maxChanges {
			answer.Partial, answer.Revision = true, answer.Servers[r.maxChanges-1].Revision
			break
		}
		answer.Servers = append(answer.Servers, e)
	}
	for _, e := range r.events.Nodes {
		if e.Revision > revision {
			answer.Nodes = append(answer.Nodes, e)
		}
	}
	for _, e := range r.events.Directives {
		if e.Revision > revision {
			answer.Directives = append(answer.Directives, e)
		}
	}
	return answer
}

func (r *registry) setDown(down bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down = down
}

func (r *registry) putServer(server discovery.Server, gone bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	r.events.Servers = append(r.events.Servers, discovery.Entry[discovery.Server]{ID: server.ID, Revision: r.revision, Gone: gone, Value: server})
}

func (r *registry) putNode(node discovery.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	r.events.Nodes = append(r.events.Nodes, discovery.Entry[discovery.Node]{ID: node.ID, Revision: r.revision, Value: node})
}

// evacuate requests the evacuation of a zone, or removes the request.
func (r *registry) evacuate(zone string, remove bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	evacuation := discovery.Directive{Kind: discovery.EvacuateZone, Subject: zone}
	evacuation.StoredAt = discovery.Position{Epoch: r.epoch, Revision: r.revision}
	evacuation.Number = evacuation.StoredAt.Number()
	r.events.Directives = append(r.events.Directives, discovery.Entry[discovery.Directive]{
		ID: evacuation.Key(), Revision: r.revision, Gone: remove, Value: evacuation,
	})
}

func (r *registry) putTable(version uint64) {
	table, err := route.New(route.Definition{Version: version, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}})
	if err != nil {
		r.t.Fatal(err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	r.events.Table = table
}

// testCluster is a registry with followers.
type testCluster struct {
	registry *registry
	// sources are the nodes' connections to the registry.
	sources []*nodeSource
	network *network
	states  []discovery.ClusterState
	context context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup
	mutex   sync.Mutex
	// seeds and seedTimeout are the followers' Seeds and SeedTimeout; the seeds themselves
	// have no SeedTimeout.
	seeds       []string
	seedTimeout time.Duration
	// bound and entryTTL set the followers' intervals; zero is 3 s, and unknown.
	bound, entryTTL time.Duration
	// gossip is set when nodes know each other by other means than the registry, so that they
	// take turns in reading it.
	gossip bool
}

// nodes returns all nodes, as membership reports them while it has detected no failure.
func (w *testCluster) nodes() []discovery.Node {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	listed := make([]discovery.Node, 0, len(w.states))
	for number := range w.states {
		id := fmt.Sprintf("node-%02d", number)
		listed = append(listed, discovery.Node{ID: id, Address: id, Peer: id})
	}
	return listed
}

func startCluster(t *testing.T, count int) *testCluster {
	w := newCluster(t, count)
	w.start(t)
	time.Sleep(3 * time.Second)
	return w
}

func newCluster(t *testing.T, count int) *testCluster {
	w := &testCluster{
		registry: &registry{t: t},
		network:  &network{followers: make(map[string]*discovery.Follower), silent: make(map[string]bool)},
		states:   make([]discovery.ClusterState, count),
	}
	w.registry.putTable(1)
	for number := range count {
		id := fmt.Sprintf("node-%02d", number)
		w.registry.putNode(discovery.Node{ID: id, Address: id, Peer: id})
	}
	return w
}

// start runs a follower per node.
func (w *testCluster) start(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	w.stop = stop
	for number := range w.states {
		w.runNode(ctx, number, fmt.Sprintf("node-%02d", number))
	}
	w.context = ctx
}

// addNode runs an additional follower.
func (w *testCluster) addNode(t *testing.T, id string) {
	t.Helper()
	w.mutex.Lock()
	w.states = append(w.states, discovery.ClusterState{})
	w.mutex.Unlock()
	w.runNode(w.context, len(w.states)-1, id)
}

func (w *testCluster) runNode(ctx context.Context, number int, id string) {
	seedTime := w.seedTimeout
	if slices.Contains(w.seeds, id) {
		seedTime = 0
	}
	w.sources = append(w.sources, &nodeSource{registry: w.registry})
	var nodes func() []discovery.Node
	if w.gossip {
		nodes = w.nodes
	}
	follower := discovery.NewFollower(discovery.FollowerOptions{
		Nodes: nodes, Seed: uint64(number),
		Source: w.sources[number], Self: id, Fetcher: nodeFetcher{w.network, id}, Logger: zerolog.Nop(),
		PollInterval: time.Duration(0.6 * float64(cmp.Or(w.bound, 3*time.Second))), EntryTTL: w.entryTTL,
		Seeds: w.seeds, SeedTimeout: seedTime,
		OnChanged: func(state discovery.ClusterState) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.states[number] = state
		},
	})
	w.network.mutex.Lock()
	w.network.followers[id] = follower
	w.network.mutex.Unlock()
	w.loops.Go(func() { follower.Run(ctx) })
}

// wantConverged fails the test unless all followers have the registry's servers and table version.
func (w *testCluster) wantConverged(t *testing.T, when string) {
	t.Helper()
	w.registry.mutex.Lock()
	want := make(map[string]discovery.Server)
	for id, e := range latestEntries(w.registry.events.Servers) {
		want[id] = e.Value
	}
	version := w.registry.events.Table.Version
	w.registry.mutex.Unlock()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, state := range w.states {
		got := make(map[string]discovery.Server)
		for _, server := range state.Servers {
			got[server.ID] = server
		}
		if !reflect.DeepEqual(got, want) || state.Table == nil || state.Table.Version != version {
			t.Fatalf("%s: node %d has %d servers, or other contents than the registry, want %d", when, number, len(got), len(want))
		}
	}
}

// When many nodes start at once and none is in a hurry, one of them reads the whole registry and
// the others learn from it.
func TestNodesBootstrapFromSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 30
		w := newCluster(t, nodes)
		w.seeds, w.seedTimeout = []string{"node-00", "node-gone"}, 2*time.Second
		w.start(t)
		time.Sleep(4 * time.Second)
		w.wantConverged(t, "after the start")
		if w.registry.listings > 3 {
			t.Errorf("%d complete reads by %d nodes", w.registry.listings, nodes)
		}
		w.stop()
		w.loops.Wait()
	})
}

// A node whose seeds are unreachable reads the registry itself.
func TestNodesStartWhenSeedsAreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 4)
		w.seeds, w.seedTimeout = []string{"node-gone"}, 2*time.Second
		w.start(t)
		time.Sleep(4 * time.Second)
		w.wantConverged(t, "after the start")
		w.stop()
		w.loops.Wait()
	})
}

// Random changes reach all nodes within the bound, while a single node reads the registry.
func TestNodesConvergeThroughReader(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			w := startCluster(t, 6)
			version := uint64(1)
			for round := range 30 {
				for range random.IntN(12) {
					server := discovery.Server{ID: fmt.Sprintf("s%d", random.IntN(30)), Service: "x", Address: "y", State: discovery.State(random.IntN(2))}
					w.registry.putServer(server, random.IntN(4) == 0)
					if random.IntN(5) == 0 {
						time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
					}
				}
				if random.IntN(4) == 0 {
					version += uint64(1 + random.IntN(3))
					w.registry.putTable(version)
				}
				time.Sleep(3 * time.Second)
				w.wantConverged(t, fmt.Sprintf("seed %d round %d", seed, round))
			}
			before := w.registry.count()
			time.Sleep(10 * time.Second)
			if reads := w.registry.count() - before; reads > 12 {
				t.Errorf("%d reads in 10 s by six nodes", reads)
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// While a reader is unresponsive, another node reads, and no node reverts to an earlier state.
func TestNodesConvergeWhenReaderIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 4)
		for victim := range 4 {
			id := fmt.Sprintf("node-%02d", victim)
			w.network.mutex.Lock()
			w.network.silent[id] = true
			w.network.mutex.Unlock()
			w.registry.putServer(discovery.Server{ID: fmt.Sprintf("new-%d", victim), Service: "x"}, false)
			time.Sleep(3 * time.Second)
			w.wantConverged(t, id+" is silent")
			w.network.mutex.Lock()
			w.network.silent[id] = false
			w.network.mutex.Unlock()
		}
		w.stop()
		w.loops.Wait()
	})
}

// A few readers suffice for many nodes.
func TestFewReadersServeManyNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 120)
		before := w.registry.count()
		time.Sleep(10 * time.Second)
		if reads := w.registry.count() - before; reads > 40 {
			t.Errorf("%d reads in 10 s by 120 nodes", reads)
		}
		w.stop()
		w.loops.Wait()
	})
}

// A node that has read the registry itself must not continue from its earlier cursor of a reader.
// Entries that expired in an outage and were written again are unchanged for the reader, which
// retained them, but are missing at the node.
func TestOwnReadInvalidatesCursor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 3)
		server := discovery.Server{ID: "s", Service: "x", Address: "y"}
		w.registry.putServer(server, false)
		time.Sleep(5 * time.Second)
		w.wantConverged(t, "before")
		w.registry.mutex.Lock()
		w.registry.down = true
		w.registry.mutex.Unlock()
		time.Sleep(6 * time.Second)
		w.registry.putServer(server, true)
		w.registry.mutex.Lock()
		w.registry.down = false
		w.registry.mutex.Unlock()
		time.Sleep(900 * time.Millisecond) // all nodes have read the removal and retain the entry
		w.registry.putServer(server, false)
		time.Sleep(6 * time.Second)
		w.wantConverged(t, "after the outage")
		w.stop()
		w.loops.Wait()
	})
}

// A reader learns of a change immediately, so all nodes know it as soon as they have fetched again.
func TestChangesPropagatePromptly(t *testing.T) {
	const (
		askPace = 800 * time.Millisecond // 4/9 of the poll interval
		slack   = 250 * time.Millisecond // the reader's own pause, and transmission
	)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 0))
		w := startCluster(t, 6)
		for version := uint64(2); version < 40; version++ {
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			w.registry.putTable(version)
			time.Sleep(askPace + slack)
			w.wantConverged(t, fmt.Sprintf("version %d", version))
		}
		w.stop()
		w.loops.Wait()
	})
}
