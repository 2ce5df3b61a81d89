package discovery_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/rollout"
)

// putOrder writes a roll-out order for a service at the registry's next revision.
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

// orderSince returns the earliest write time that a node assumes for an order; zero is unknown.
func (w *testCluster) orderSince(t *testing.T, number int, service, target string) time.Time {
	t.Helper()
	return w.findOrder(t, number, service, target).Since
}

// findOrder returns a node's directive for an order.
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

// Every node knows an upper bound of an order's age, whichever way it learns of the order. The bound
// is never less than the age, and exceeds it by at most one read and one fetch. This holds for nodes
// that start later, and a new order at the same key has a bound of its own.
func TestNodesKnowMaximumAgeOfOrders(t *testing.T) {
	const (
		nodes = 6
		// maxViewAge is the maximum age of a node's view before the order arrives.
		maxViewAge = 2 * time.Second
		settle     = 3 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, nodes)
		for _, target := range []string{"v2", "v3"} {
			time.Sleep(1300 * time.Millisecond)
			w.registry.putOrder("x", target)
			written := time.Now()
			time.Sleep(settle)
			if target == "v2" {
				w.seeds, w.seedTimeout = []string{"node-01"}, time.Second
				w.addNode(t, "node-late")
				time.Sleep(settle)
			}
			for number := range nodes + 1 {
				since := w.orderSince(t, number, "x", target)
				if since.IsZero() || since.After(written) || since.Before(written.Add(-maxViewAge)) {
					t.Errorf("%s: node %d assumes that the order was written at %s at the earliest, it was written at %s", target, number, since, written)
				}
			}
		}
		w.stop()
		w.loops.Wait()
	})
}

// Every node also knows a lower bound of an order's age: the time since the first node learned of it,
// whenever the node itself learns of it.
func TestNodesKnowMinimumAgeOfOrders(t *testing.T) {
	const (
		nodes = 6
		// learned is the time by which the first node knows of the order, and late the delay after
		// which another node starts.
		learned = 2 * time.Second
		late    = 10 * time.Second
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
			if latest.Before(written) || latest.After(written.Add(learned)) {
				t.Errorf("node %d: the registry is known to have held the order at %s, it was written at %s", number, latest, written)
			}
		}
		w.stop()
		w.loops.Wait()
	})
}

// A node that finds an order in its first sync with the registry does not know the order's age.
func TestAgeOfOrdersFoundAtStartIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		w.registry.putOrder("x", "v2")
		w.start(t)
		time.Sleep(3 * time.Second)
		for number := range 2 {
			if since := w.orderSince(t, number, "x", "v2"); !since.IsZero() {
				t.Errorf("node %d assumes that the order was written at %s at the earliest, want unknown", number, since)
			}
		}
		w.stop()
		w.loops.Wait()
	})
}

// During an upgrade, nodes of two builds identify directives alike, as long as the registry reports
// no epoch.
func TestDirectiveEncodingMatchesEarlierBuilds(t *testing.T) {
	var decoded discovery.Directive
	if err := json.Unmarshal([]byte(`{"kind":"roll_out","subject":"x","revision":9,"order":{"target":"v2"}}`), &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Number != 9 || decoded.Lost || decoded.Order.Target != "v2" {
		t.Errorf("decoded from an earlier build: %+v", decoded)
	}
	var earlier struct {
		Revision uint64 `json:"revision"`
	}
	decoded.StoredAt = revisionPosition(9)
	encoded, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(encoded, &earlier); err != nil || earlier.Revision != 9 {
		t.Errorf("encoded for an earlier build: %s, %v", encoded, err)
	}
}
