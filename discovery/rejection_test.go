package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
)

// rejection is the way in which a registry rejects one node while it serves the others.
type rejection int32

const (
	rejectsNothing rejection = iota
	// rejectsImmediately fails every call at once.
	rejectsImmediately
	// rejectsByTimeout never answers.
	rejectsByTimeout
	rejections
)

// nodeSource is one node's connection to the registry.
type nodeSource struct {
	*registry
	rejection atomic.Int32
}

// checkAccess returns an error if the node is rejected, immediately or when ctx is done.
func (g *nodeSource) checkAccess(ctx context.Context) error {
	switch rejection(g.rejection.Load()) {
	case rejectsImmediately:
		return discovery.ErrUnavailable
	case rejectsByTimeout:
		<-ctx.Done()
		return ctx.Err()
	default:
		return nil
	}
}

func (g *nodeSource) List(ctx context.Context) (discovery.Listing, error) {
	if err := g.checkAccess(ctx); err != nil {
		return discovery.Listing{}, err
	}
	return g.registry.List(ctx)
}

// Changes also fails when the node is rejected during a long poll.
func (g *nodeSource) Changes(ctx context.Context, after discovery.Position, wait time.Duration) (discovery.Changes, error) {
	if err := g.checkAccess(ctx); err != nil {
		return discovery.Changes{}, err
	}
	changes, err := g.registry.Changes(ctx, after, wait)
	if err := g.checkAccess(ctx); err != nil {
		return discovery.Changes{}, err
	}
	return changes, err
}

// Bounds on the time for which nodes may use a server that has left.
const (
	// servedBound applies to nodes that the registry serves, and rejectedBound to those that it
	// rejects while it serves others: 0.1 s less than the platform's bound, for requests in
	// flight.
	servedBound   = 2600 * time.Millisecond
	rejectedBound = 2900 * time.Millisecond
	// checkInterval is the time between two checks of the nodes' state.
	checkInterval = 20 * time.Millisecond
)

// departures holds the times at which servers left.
type departures map[string]time.Time

// wantNoDepartedServers fails the test if a node considers a server that left to be ready for
// longer than its bound.
func (w *testCluster) wantNoDepartedServers(t *testing.T, left departures, when string) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, state := range w.states {
		bound := servedBound
		if rejection(w.sources[number].rejection.Load()) != rejectsNothing {
			bound = rejectedBound
		}
		for _, server := range state.Servers {
			at, gone := left[server.ID]
			if gone && server.State == discovery.Ready && time.Since(at) > bound {
				t.Errorf("%s: node %d still uses %s %s after it left", when, number, server.ID, time.Since(at))
				delete(left, server.ID)
			}
		}
	}
}

// Whichever nodes the registry rejects, and however, no node uses a server that left for longer
// than the bound: rejected nodes learn of it from the others, and nodes do not take over entries
// that another node retains.
func TestRejectedNodesMeetStalenessBound(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			const nodes, servers, rounds = 9, 40, 6
			w := startCluster(t, nodes)
			next := 0
			for ; next < servers; next++ {
				w.registry.putServer(discovery.Server{ID: fmt.Sprintf("s%03d", next), Service: "x", Address: "y"}, false)
			}
			time.Sleep(3 * time.Second)
			left := make(departures)
			oldest := 0
			for round := range rounds {
				when := fmt.Sprintf("seed %d, round %d", seed, round)
				mode := rejection(1 + random.IntN(int(rejections)-1))
				first := random.IntN(nodes)
				for offset := range 1 + random.IntN(nodes-2) {
					w.sources[(first+offset)%nodes].rejection.Store(int32(mode))
				}
				for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(checkInterval) {
					w.wantNoDepartedServers(t, left, when)
					if random.IntN(15) == 0 && oldest < servers {
						id := fmt.Sprintf("s%03d", oldest)
						oldest++
						w.registry.putServer(discovery.Server{ID: id, Service: "x", Address: "y", State: discovery.Draining}, random.IntN(2) == 0)
						left[id] = time.Now()
					}
				}
				for _, g := range w.sources {
					g.rejection.Store(int32(rejectsNothing))
				}
				for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(checkInterval) {
					w.wantNoDepartedServers(t, left, when+", admitted again")
					if random.IntN(30) == 0 && oldest < servers {
						id := fmt.Sprintf("s%03d", oldest)
						oldest++
						w.registry.putServer(discovery.Server{ID: id, Service: "x", Address: "y"}, true)
						left[id] = time.Now()
					}
				}
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// Entries that expired while the registry was unavailable are retained for two seconds after its
// return, and no longer: a live owner has written its entry again by then.
func TestExpiredEntriesAreRetainedForTwoSeconds(t *testing.T) {
	const (
		kept = 2 * time.Second
		// noticed is the maximum time until a reader is in contact with the registry again, and
		// relayed the maximum time from then until the other nodes have fetched from it.
		noticed = 800 * time.Millisecond
		relayed = 900 * time.Millisecond
	)
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			w := startCluster(t, 5)
			for number := range 3 {
				w.registry.putServer(discovery.Server{ID: fmt.Sprintf("s%d", number), Service: "x"}, false)
			}
			time.Sleep(3 * time.Second)
			w.registry.setDown(true)
			time.Sleep(5*time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
			w.registry.putServer(discovery.Server{ID: "s0"}, true)
			w.registry.setDown(false)
			returned := time.Now()
			late := time.Duration(random.IntN(1800)) * time.Millisecond // s1 is removed after the return
			gone := false
			for time.Since(returned) < 6*time.Second {
				if !gone && time.Since(returned) >= late {
					w.registry.putServer(discovery.Server{ID: "s1"}, true)
					gone = true
				}
				since := time.Since(returned)
				for number := range w.states {
					for _, id := range []string{"s0", "s1"} {
						known := w.knowsServer(number, id)
						if !known && id == "s0" && since < kept {
							t.Fatalf("seed %d: node %d dropped %s %s after the return", seed, number, id, since)
						}
						if known && since > max(noticed+kept, late+servedBound)+relayed-noticed {
							t.Fatalf("seed %d: node %d keeps %s %s after the return", seed, number, id, since)
						}
						if known && id == "s1" && gone && since > late+servedBound+relayed {
							t.Fatalf("seed %d: node %d keeps %s %s after its removal", seed, number, id, since-late)
						}
					}
					if !w.knowsServer(number, "s2") {
						t.Fatalf("seed %d: node %d dropped a registered server", seed, number)
					}
				}
				time.Sleep(checkInterval)
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// knowsServer reports whether a node has a server in its state.
func (w *testCluster) knowsServer(number int, id string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, server := range w.states[number].Servers {
		if server.ID == id {
			return true
		}
	}
	return false
}
