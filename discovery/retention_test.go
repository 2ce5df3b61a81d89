package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
)

// Entries lapse when the registry was away for as long as owners may be silent, however
// long the nodes' own pace is: what went meanwhile is kept for two seconds after its
// return.
func TestOutagesOfEntryTTLRetainRemovedEntries(t *testing.T) {
	const lapse = 3600 * time.Millisecond
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			w := newCluster(t, 5)
			w.bound, w.entryTTL = 5*time.Second, lapse
			w.start(t)
			time.Sleep(3 * time.Second)
			w.registry.putServer(discovery.Server{ID: "s", Service: "x"}, false)
			time.Sleep(6 * time.Second)
			w.registry.setDown(true)
			time.Sleep(lapse + time.Second + time.Duration(random.IntN(1500))*time.Millisecond)
			w.registry.putServer(discovery.Server{ID: "s"}, true)
			w.registry.setDown(false)
			for returned := time.Now(); time.Since(returned) < 1900*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				for number := range w.states {
					if !w.knowsServer(number, "s") {
						t.Fatalf("seed %d: node %d dropped a lapsed entry %s after the return", seed, number, time.Since(returned))
					}
				}
			}
			time.Sleep(5 * time.Second)
			for number := range w.states {
				if w.knowsServer(number, "s") {
					t.Errorf("seed %d: node %d keeps a lapsed entry for ever", seed, number)
				}
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// A node that heard nothing for long, and then hears of a node that heard the registry all
// along, does not doubt what went: its owner was not kept from writing.
func TestRemovalsSeenByOthersApplyImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 5)
		for number := range 3 {
			w.registry.putServer(discovery.Server{ID: fmt.Sprintf("s%d", number), Service: "x"}, false)
		}
		time.Sleep(6 * time.Second)
		const alone = 4
		w.sources[alone].rejection.Store(int32(rejectsImmediately))
		w.network.setIsolated("node-04", true)
		time.Sleep(6 * time.Second)
		w.registry.putServer(discovery.Server{ID: "s1"}, true)
		time.Sleep(2 * time.Second)
		w.network.setIsolated("node-04", false)
		time.Sleep(1500 * time.Millisecond) // less than a doubt lasts
		if w.knowsServer(alone, "s1") {
			t.Error("the node doubts what others heard")
		}
		if !w.knowsServer(alone, "s0") || !w.knowsServer(alone, "s2") {
			t.Error("the node dropped servers that are there")
		}
		w.stop()
		w.loops.Wait()
	})
}

// A node that starts in an outage and takes over what a seed believes does not make that
// any younger: its own start says nothing of the registry. Others would believe it, and
// take the registry's return for no return at all.
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
			t.Errorf("after an outage of %s the belief is told to be %s old (%v)", outage, age, known)
		}
		w.stop()
		w.loops.Wait()
	})
}

// An answer that has no room for all changes is no word of now: what is believed is as
// old as before, the rest is read at once, and what went meanwhile is in doubt.
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
				t.Fatalf("an age of %s before %s is known", age, last)
			}
			time.Sleep(time.Millisecond)
		}
		if age, _ := node.Age(); age > 100*time.Millisecond {
			t.Errorf("all is known, and its age is %s", age)
		}
		if !w.knowsServer(0, "lapses") {
			t.Error("an entry that lapsed in the outage was dropped at once")
		}
		w.stop()
		w.loops.Wait()
	})
}
