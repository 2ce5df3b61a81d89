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

// rejection is how a registry turns one node away while it serves the others.
type rejection int32

const (
	rejectsNothing rejection = iota
	// rejectsImmediately answers every call with a failure.
	rejectsImmediately
	// rejectsByTimeout leaves every call without an answer.
	rejectsByTimeout
	rejections
)

// nodeSource is one node's way to the registry.
type nodeSource struct {
	*registry
	rejection atomic.Int32
}

// checkAccess returns an error when the node is turned away, at once or in the end.
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

// Changes cuts a reading that is held when the node is turned away meanwhile.
func (g *nodeSource) Changes(ctx context.Context, after discovery.Position, wait time.Duration) (discovery.Changes, error) {
	if err := g.checkAccess(ctx); err != nil {
		return discovery.Changes{}, err
	}
	changes, err := g.registry.Changes(ctx, after, wait)
	if refused := g.checkAccess(ctx); refused != nil {
		return discovery.Changes{}, refused
	}
	return changes, err
}

// Limits of what nodes may believe of a server that left.
const (
	// servedBound is for nodes that the registry serves, and rejectedBound for those
	// that it turns away while it serves others: 0.1 s less than the platform's bound,
	// for requests on their way.
	servedBound   = 2600 * time.Millisecond
	rejectedBound = 2900 * time.Millisecond
	// checkInterval is the time between two looks at what is believed.
	checkInterval = 20 * time.Millisecond
)

// departures notes when servers left.
type departures map[string]time.Time

// wantNoDepartedServers fails when a node believes longer than its bound that a server
// which left is ready.
func (w *testCluster) wantNoDepartedServers(t *testing.T, left departures, when string) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, news := range w.states {
		bound := servedBound
		if rejection(w.sources[number].rejection.Load()) != rejectsNothing {
			bound = rejectedBound
		}
		for _, server := range news.Servers {
			at, gone := left[server.ID]
			if gone && server.State == discovery.Ready && time.Since(at) > bound {
				t.Errorf("%s: node %d believes in %s %s after it left", when, number, server.ID, time.Since(at))
				delete(left, server.ID)
			}
		}
	}
}

// Whatever nodes the registry turns away, and however, no node believes for longer
// than the bound in a server that left: those that are turned away hear from the
// others, and nobody takes over what another one keeps in doubt.
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
				how := rejection(1 + random.IntN(int(rejections)-1))
				first := random.IntN(nodes)
				for place := range 1 + random.IntN(nodes-2) {
					w.sources[(first+place)%nodes].rejection.Store(int32(how))
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

// Entries that lapsed while the registry was away are kept for two seconds of its
// return, and no longer: an owner that lives is back by then.
func TestExpiredEntriesAreRetainedForTwoSeconds(t *testing.T) {
	const (
		kept = 2 * time.Second
		// noticed is the longest time until a reader hears the registry again, and
		// told that until the others have asked it.
		noticed = 800 * time.Millisecond
		told    = 900 * time.Millisecond
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
			late := time.Duration(random.IntN(1800)) * time.Millisecond // s1 goes after the return
			gone := false
			for time.Since(returned) < 6*time.Second {
				if !gone && time.Since(returned) >= late {
					w.registry.putServer(discovery.Server{ID: "s1"}, true)
					gone = true
				}
				since := time.Since(returned)
				for number := range w.states {
					for _, id := range []string{"s0", "s1"} {
						believed := w.knowsServer(number, id)
						if !believed && id == "s0" && since < kept {
							t.Fatalf("seed %d: node %d dropped %s %s after the return", seed, number, id, since)
						}
						if believed && since > max(noticed+kept, late+servedBound)+told-noticed {
							t.Fatalf("seed %d: node %d keeps %s %s after the return", seed, number, id, since)
						}
						if believed && id == "s1" && gone && since > late+servedBound+told {
							t.Fatalf("seed %d: node %d keeps %s %s after it went", seed, number, id, since-late)
						}
					}
					if !w.knowsServer(number, "s2") {
						t.Fatalf("seed %d: node %d dropped a server that is there", seed, number)
					}
				}
				time.Sleep(checkInterval)
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// knowsServer reports whether a node believes a server to be there.
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
