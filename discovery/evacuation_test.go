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

// evacuationBound is the time from the registry's acknowledgement until all nodes that can learn
// of it know of an evacuation, or of its end.
const evacuationBound = 2600 * time.Millisecond

// evacuatedZones returns the zones that a node considers evacuated.
func (w *testCluster) evacuatedZones(number int) []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return discovery.EvacuatedZones(w.states[number].Directives)
}

// wantEvacuated fails the test unless all nodes know exactly these evacuated zones.
func (w *testCluster) wantEvacuated(t *testing.T, when string, zones ...string) {
	t.Helper()
	for number := range w.states {
		if got := w.evacuatedZones(number); !slices.Equal(got, zones) {
			t.Errorf("%s: node %d has evacuated zones %v, want %v", when, number, got, zones)
		}
	}
}

// Random sequences of evacuations that are requested, removed and requested again, with other
// changes, outages and lost history. Every node must know of each change within the bound; no
// outage may end an evacuation, and none may reappear.
func TestEvacuationsReachAllNodesWithinBound(t *testing.T) {
	zones := []string{"a", "b", "c"}
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			w := startCluster(t, 7)
			var evacuated []string
			for round := range 12 {
				when := fmt.Sprintf("seed %d round %d", seed, round)
				zone := zones[random.IntN(len(zones))]
				if index := slices.Index(evacuated, zone); index >= 0 {
					evacuated = slices.Delete(evacuated, index, index+1)
					w.registry.evacuate(zone, true)
				} else {
					evacuated = append(evacuated, zone)
					slices.Sort(evacuated)
					w.registry.evacuate(zone, false)
				}
				for range random.IntN(5) {
					w.registry.putServer(discovery.Server{ID: fmt.Sprintf("s%d", random.IntN(9)), Service: "x", Address: "y"}, random.IntN(3) == 0)
				}
				time.Sleep(evacuationBound)
				w.wantEvacuated(t, when, evacuated...)
				if random.IntN(3) == 0 {
					w.registry.setDown(true)
					time.Sleep(time.Duration(1+random.IntN(9)) * time.Second)
					w.wantEvacuated(t, when+", in an outage", evacuated...)
					w.registry.setDown(false)
					time.Sleep(evacuationBound)
					w.wantEvacuated(t, when+", after an outage", evacuated...)
				}
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// A node that starts during a registry outage learns the evacuations from a seed, together with
// the seed's servers.
func TestNodesStartedInOutageLearnEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 3)
		w.seeds = []string{"node-00"}
		w.registry.evacuate("a", false)
		w.start(t)
		time.Sleep(3 * time.Second)
		w.wantEvacuated(t, "before the outage", "a")
		w.registry.setDown(true)
		time.Sleep(2 * time.Second)
		w.addNode(t, "node-late")
		time.Sleep(2 * time.Second)
		w.wantEvacuated(t, "in the outage", "a")
		w.stop()
		w.loops.Wait()
	})
}

// A complete listing removes evacuations whose removal was missed.
func TestListingRemovesRevokedEvacuations(t *testing.T) {
	view := discovery.NewView(discovery.Options{})
	a := discovery.Directive{Kind: discovery.EvacuateZone, Subject: "a", Number: 3, StoredAt: discovery.Position{Revision: 3}}
	b := discovery.Directive{Kind: discovery.EvacuateZone, Subject: "b", Number: 9, StoredAt: discovery.Position{Revision: 9}}
	view.PutDirective(0, a, a.StoredAt, 0, false)
	view.PutDirective(0, b, b.StoredAt, 0, false)
	view.RetainDirectives(map[string]struct{}{}, discovery.Position{Revision: 5})
	if got := view.Directives(); len(got) != 1 || got[0].Subject != "b" {
		t.Errorf("after a listing as of revision 5: %v", got)
	}
	view.RemoveDirective(b.Key(), discovery.Position{Revision: 4})
	if got := view.Directives(); len(got) != 1 {
		t.Error("a removal with an older revision ended an evacuation")
	}
	view.RemoveDirective(b.Key(), discovery.Position{Revision: 10})
	if got := view.Directives(); len(got) != 0 {
		t.Errorf("after the removal: %v", got)
	}
}

// A server's warm-up that restarts or ends early is published to nodes that fetch from readers.
func TestWarmupChangesArePublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 4)
		for _, left := range []time.Duration{0, 3 * time.Second, 0, 2 * time.Second} {
			w.registry.putServer(discovery.Server{ID: "s", Service: "x", Address: "y", ColdFor: left}, false)
			time.Sleep(evacuationBound)
			w.wantConverged(t, fmt.Sprintf("cold for %s", left))
		}
		w.stop()
		w.loops.Wait()
	})
}
