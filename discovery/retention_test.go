package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
)

// Entries expire when the registry is unavailable for the owners' time-out, however long the nodes'
// poll interval is. Entries removed in such an outage are retained for two seconds after its end.
func TestOutagesOfEntryTTLRetainRemovedEntries(t *testing.T) {
	const entryTTL = 3600 * time.Millisecond
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			w := newCluster(t, 5)
			w.bound, w.entryTTL = 5*time.Second, entryTTL
			w.start(t)
			time.Sleep(3 * time.Second)
			w.registry.putServer(discovery.Server{ID: "s", Service: "x"}, false)
			time.Sleep(6 * time.Second)
			w.registry.setDown(true)
			time.Sleep(entryTTL + time.Second + time.Duration(random.IntN(1500))*time.Millisecond)
			w.registry.putServer(discovery.Server{ID: "s"}, true)
			w.registry.setDown(false)
			for returned := time.Now(); time.Since(returned) < 1900*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				for number := range w.states {
					if !w.knowsServer(number, "s") {
						t.Fatalf("seed %d: node %d dropped an expired entry %s after the return", seed, number, time.Since(returned))
					}
				}
			}
			time.Sleep(5 * time.Second)
			for number := range w.states {
				if w.knowsServer(number, "s") {
					t.Errorf("seed %d: node %d still has an expired entry long after the return", seed, number)
				}
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// A node that was isolated for long, and then fetches from a node that was in contact with the
// registry without a gap, does not retain removed entries: their owners were able to renew them.
func TestRemovalsSeenByOthersApplyImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 5)
		for number := range 3 {
			w.registry.putServer(discovery.Server{ID: fmt.Sprintf("s%d", number), Service: "x"}, false)
		}
		time.Sleep(6 * time.Second)
		const isolated = 4
		w.sources[isolated].rejection.Store(int32(rejectsImmediately))
		w.network.setIsolated("node-04", true)
		time.Sleep(6 * time.Second)
		w.registry.putServer(discovery.Server{ID: "s1"}, true)
		time.Sleep(2 * time.Second)
		w.network.setIsolated("node-04", false)
		time.Sleep(1500 * time.Millisecond) // less than the grace period
		if w.knowsServer(isolated, "s1") {
			t.Error("the node retains an entry that others saw removed")
		}
		if !w.knowsServer(isolated, "s0") || !w.knowsServer(isolated, "s2") {
			t.Error("the node dropped registered servers")
		}
		w.stop()
		w.loops.Wait()
	})
}

// A node that starts in an outage and adopts a seed's state does not make that state any younger, as
// its own start is no contact with the registry. Otherwise other nodes would accept its publications
// as fresh, and would not notice the registry's return.
func TestAdoptedViewKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 3)
		w.seeds = []string{"node-00"}
		w.start(t)
		time.Sleep(5 * time.Second)
		w.registry.setDown(true)
		down := time.Now()
		time.Sleep(6 * time.Second)
		w.addNode(t, "node-late")
		time.Sleep(time.Second)
		age, known := w.network.followers["node-late"].Age()
		if outage := time.Since(down); !known || age < outage {
			t.Errorf("after an outage of %s the view's age is %s (%v)", outage, age, known)
		}
		w.stop()
		w.loops.Wait()
	})
}

// An answer without room for all changes does not describe the current state: the age of the view
// does not change, the rest is read at once, and removed entries are retained.
func TestPartialAnswersDoNotRefreshAge(t *testing.T) {
	const servers, most = 90, 20
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 1)
		w.registry.putServer(discovery.Server{ID: "lapses", Service: "x"}, false)
		time.Sleep(3 * time.Second)
		w.registry.setDown(true)
		time.Sleep(5 * time.Second)
		w.registry.putServer(discovery.Server{ID: "lapses"}, true)
		for number := range servers {
			w.registry.putServer(discovery.Server{ID: fmt.Sprintf("s%03d", number), Service: "x"}, false)
		}
		w.registry.mutex.Lock()
		w.registry.maxChanges = most
		w.registry.mutex.Unlock()
		w.registry.setDown(false)
		last := fmt.Sprintf("s%03d", servers-1)
		node := w.network.followers["node-00"]
		for !w.knowsServer(0, last) {
			if age, _ := node.Age(); age < 5*time.Second {
				t.Fatalf("the age is %s before %s is known", age, last)
			}
			time.Sleep(time.Millisecond)
		}
		if age, _ := node.Age(); age > 100*time.Millisecond {
			t.Errorf("the age is %s although everything is known", age)
		}
		if !w.knowsServer(0, "lapses") {
			t.Error("an entry that expired in the outage was dropped at once")
		}
		w.stop()
		w.loops.Wait()
	})
}
