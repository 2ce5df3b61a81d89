package discovery_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/rollout"
)

// putOrder writes an order for a service, as of the registry's next revision.
func (r *registry) putOrder(service, target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision++
	order := discovery.Directive{
		Kind: discovery.RollOut, Subject: service, StoredAt: discovery.Position{Epoch: r.epoch, Revision: r.revision},
		Order: &rollout.Order{Target: target, Duration: time.Minute},
	}
	order.Number = order.StoredAt.Number()
	r.events.Directives = append(r.events.Directives, discovery.Entry[discovery.Directive]{
		ID: order.Key(), Revision: r.revision, Value: order,
	})
}

// orderSince is when a node takes an order to be written; zero is unknown.
func (w *testCluster) orderSince(t *testing.T, number int, service, target string) time.Time {
	t.Helper()
	return w.findOrder(t, number, service, target).Since
}

// findOrder is what a node knows of an order.
func (w *testCluster) findOrder(t *testing.T, number int, service, target string) discovery.Directive {
	t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, d := range w.states[number].Directives {
		if d.Kind == discovery.RollOut && d.Subject == service && d.Order.Target == target {
			return d
		}
	}
	t.Fatalf("node %d does not know the order", number)
	return discovery.Directive{}
}

// Every node knows of an order how old it is at most, however it hears of it: it takes no
// order for younger than it is, and none for older than a reading and an asking; so do nodes
// that start later, and a new order at the same key has an age of its own.
func TestNodesKnowMaximumAgeOfOrders(t *testing.T) {
	const (
		nodes = 6
		// unheard is the greatest age of a belief before the order came.
		unheard = 2 * time.Second
		known   = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, nodes)
		for _, target := range []string{"v2", "v3"} {
			time.Sleep(1300 * time.Millisecond)
			w.registry.putOrder("x", target)
			written := time.Now()
			time.Sleep(known)
			if target == "v2" {
				w.seeds, w.seedTimeout = []string{"node-01"}, time.Second
				w.addNode(t, "node-late")
				time.Sleep(known)
			}
			for number := range nodes + 1 {
				since := w.orderSince(t, number, "x", target)
				if since.IsZero() || since.After(written) || since.Before(written.Add(-unheard)) {
					t.Errorf("%s: node %d takes it for written at %s, it was at %s", target, number, since, written)
				}
			}
		}
		w.stop()
		w.loops.Wait()
	})
}

// Every node knows how young an order is at most, too: as young as the first of them heard of it,
// whenever it hears itself.
func TestNodesKnowMinimumAgeOfOrders(t *testing.T) {
	const (
		nodes = 6
		// heard is when the first node has heard of it at the latest, and late when one hears of it
		// that starts after that.
		heard = 2 * time.Second
		late  = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, nodes)
		time.Sleep(1300 * time.Millisecond)
		w.registry.putOrder("x", "v2")
		written := time.Now()
		time.Sleep(late)
		w.seeds, w.seedTimeout = []string{"node-01"}, time.Second
		w.addNode(t, "node-late")
		time.Sleep(late)
		for number := range nodes + 1 {
			latest := w.findOrder(t, number, "x", "v2").Latest
			if latest.Before(written) || latest.After(written.Add(heard)) {
				t.Errorf("node %d: it stood at %s, it was written at %s", number, latest, written)
			}
		}
		w.stop()
		w.loops.Wait()
	})
}

// A node that finds an order when it hears the registry for the first time does not know how
// old it is.
func TestAgeOfOrdersFoundAtStartIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		w.registry.putOrder("x", "v2")
		w.start(t)
		time.Sleep(3 * time.Second)
		for number := range 2 {
			if since := w.orderSince(t, number, "x", "v2"); !since.IsZero() {
				t.Errorf("node %d takes it for written at %s", number, since)
			}
		}
		w.stop()
		w.loops.Wait()
	})
}

// While nodes of two builds run, each takes the other's directives for the same entries, as long as
// the registry tells no epoch.
func TestDirectiveEncodingMatchesEarlierBuilds(t *testing.T) {
	var told discovery.Directive
	if err := json.Unmarshal([]byte(`{"kind":"roll_out","subject":"x","revision":9,"order":{"target":"v2"}}`), &told); err != nil {
		t.Fatal(err)
	}
	if told.Number != 9 || told.Lost || told.Order.Target != "v2" {
		t.Errorf("of an earlier build: %+v", told)
	}
	var earlier struct {
		Revision uint64 `json:"revision"`
	}
	told.StoredAt = revisionPosition(9)
	encoded, err := json.Marshal(told)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, &earlier); err != nil || earlier.Revision != 9 {
		t.Errorf("to an earlier build: %s, %v", encoded, err)
	}
}
