package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
)

const (
	// propagationShare is the share of the shortest bound within which every node that is in
	// contact with the registry, directly or through others, has applied a change; the rest is
	// for requests in flight.
	propagationShare = 0.75
	// faultTestNodes is the number of nodes, and faultyNodes the number with a fault.
	faultTestNodes = 30
	faultyNodes    = 10
	// settleTime is the time without a fault after which nodes count as connected.
	settleTime = 5 * time.Second
)

// nodeFault is a fault of a node in the tests below.
type nodeFault int

const (
	// faultRejected: the registry rejects the node's calls.
	faultRejected nodeFault = iota
	// faultTimeout: the registry does not answer the node's calls.
	faultTimeout
	// faultIsolated: the node is isolated from the registry and from all nodes.
	faultIsolated
	// faultKilled: the node does not answer anything.
	faultKilled
	nodeFaults
)

// setFault starts or ends a fault of a node.
func (w *testCluster) setFault(number int, fault nodeFault, active bool) {
	id := fmt.Sprintf("node-%02d", number)
	mode := rejectsNothing
	switch {
	case active && fault == faultRejected:
		mode = rejectsImmediately
	case active:
		mode = rejectsByTimeout
	}
	w.sources[number].rejection.Store(int32(mode))
	if fault == faultIsolated || fault == faultKilled {
		w.network.mutex.Lock()
		w.network.silent[id] = active
		w.network.mutex.Unlock()
		w.network.setIsolated(id, active)
	}
}

// A third of the nodes have a fault, in random order, including readers. All other nodes, and those
// that only the registry rejects, must have each table within their share of the bound, for bounds of
// 3, 5 and 6 s.
func TestTablesPropagateWithThirdOfNodesFaulty(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second} {
		for fault := range nodeFaults {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, harm %d, seed %d", bound, fault, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFaultRounds(t, bound, fault, seed) })
				})
			}
		}
	}
}

// runFaultRounds runs rounds in which random nodes have a fault while tables change.
func runFaultRounds(t *testing.T, bound time.Duration, fault nodeFault, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 13))
	w := newCluster(t, faultTestNodes)
	w.gossip, w.bound = true, bound
	w.start(t)
	time.Sleep(settleTime)
	version := uint64(1)
	for range 3 {
		faulty := make(map[int]bool)
		for _, number := range random.Perm(faultTestNodes)[:faultyNodes] {
			faulty[number] = true
			w.setFault(number, fault, true)
		}
		faultsAt := time.Now()
		for time.Since(faultsAt) < 2*settleTime+2*bound {
			time.Sleep(time.Duration(random.Int64N(int64(bound))))
			version++
			w.registry.putTable(version)
			changed := time.Now()
			time.Sleep(time.Duration(propagationShare * float64(bound)))
			if changed.Sub(faultsAt) < settleTime && fault == faultKilled {
				continue // fetches from a node that was just killed cost time
			}
			w.wantVersion(t, version, func(number int) bool {
				return !faulty[number] || fault == faultRejected || fault == faultTimeout
			})
		}
		for number := range faulty {
			w.setFault(number, fault, false)
		}
		time.Sleep(settleTime)
	}
	w.stop()
	w.loops.Wait()
}

// wantVersion fails the test unless the selected nodes have a table version.
func (w *testCluster) wantVersion(t *testing.T, version uint64, counts func(number int) bool) {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for number, state := range w.states {
		if counts(number) && state.Table.Version < version {
			t.Errorf("node %d has table %d, want %d", number, state.Table.Version, version)
		}
	}
}

// The registry is unresponsive to all nodes for a moment, and remains so to a third of them. Once it
// serves the others, all nodes must know within a second what changed in the meantime.
func TestTablesPropagatePromptlyAfterRegistryOutage(t *testing.T) {
	const (
		nodes, rejected = 70, 23
		outage          = 2500 * time.Millisecond
		maxDelay        = time.Second
	)
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 17))
				w := newCluster(t, nodes)
				w.gossip, w.bound = true, 5*time.Second
				w.start(t)
				time.Sleep(settleTime)
				faulty := random.Perm(nodes)[:rejected]
				for _, number := range faulty {
					w.setFault(number, faultTimeout, true)
				}
				time.Sleep(settleTime + time.Duration(random.Int64N(int64(settleTime))))
				for number := range nodes {
					w.setFault(number, faultTimeout, true)
				}
				time.Sleep(outage)
				w.registry.putTable(2)
				for number := range nodes {
					if !slices.Contains(faulty, number) {
						w.setFault(number, faultTimeout, false)
					}
				}
				returned := time.Now()
				for !w.allHaveTable(2) && time.Since(returned) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(returned); took > maxDelay {
					t.Errorf("all nodes have the table after %s", took)
				}
				w.stop()
				w.loops.Wait()
			})
		})
	}
}

// allHaveTable reports whether every node has a table version.
func (w *testCluster) allHaveTable(version uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !slices.ContainsFunc(w.states, func(state discovery.ClusterState) bool { return state.Table.Version < version })
}
