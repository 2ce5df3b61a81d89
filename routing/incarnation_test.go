package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// reborn lists the servers with another start of one of them.
func reborn(all []discovery.Server, id string, born int64) []discovery.Server {
	again := append([]discovery.Server(nil), all...)
	for place := range again {
		if again[place].ID == id {
			again[place].Born = born
		}
	}
	return again
}

// A server that is back under its ID is another one: it is not slow, shed, leaving or out of
// reach for what the one before was, and what still runs there counts against nobody.
func TestAServerThatIsBackUnderItsIDIsAnother(t *testing.T) {
	for what, harm := range map[string]func(w *world, send routing.Send){
		"it failed": func(w *world, send routing.Send) {
			w.step(routing.Failed{Attempt: send.Attempt, Delivery: gather.ServerCrashed})
		},
		"out of reach": func(w *world, send routing.Send) {
			w.step(routing.Failed{Attempt: send.Attempt, Delivery: gather.NotDelivered})
		},
		"it shed": func(w *world, send routing.Send) {
			w.step(routing.Replied{Attempt: send.Attempt, Status: gather.ReplyShed, RetryAfter: time.Minute})
		},
		"it was leaving": func(w *world, send routing.Send) {
			w.step(routing.Replied{Attempt: send.Attempt, Status: gather.ReplyNotOwner})
		},
		"it still works":   func(*world, routing.Send) {},
		"it never replied": func(w *world, _ routing.Send) { w.pass(900 * time.Millisecond) },
	} {
		t.Run(what, func(t *testing.T) {
			w := newWorld(t, routing.Options{Seed: 1})
			all := servers(1, "s1")
			all[0].Born = 1000
			w.setTable(60, "s1")
			w.setServers(all)
			w.ask(single("s1", true))
			harm(w, w.order[len(w.order)-1])
			w.setServers(reborn(all, "s1-0", 2000))
			before := len(w.order)
			w.ask(single("s1", true))
			if len(w.order) != before+1 {
				t.Fatalf("%d sends to the server that is back", len(w.order)-before)
			}
			sent := w.order[before]
			if sent.Server.Born != 2000 || sent.Estimate.InFlight != 0 || sent.Estimate.Slowness > 1 {
				t.Errorf("believed %+v of the server born at %d", sent.Estimate, sent.Server.Born)
			}
		})
	}
}

// What is heard late of the life before says nothing of the one that is there.
func TestLateNewsOfALifeBefore(t *testing.T) {
	w := newWorld(t, routing.Options{Seed: 1})
	all := servers(1, "s1")
	all[0].Born = 1000
	w.setTable(60, "s1")
	w.setServers(all)
	w.ask(single("s1", true))
	first := w.order[0]
	w.setServers(reborn(all, "s1-0", 2000))
	w.step(routing.ConnectFailed{Server: all[0].Incarnation()})
	w.step(routing.Failed{Attempt: first.Attempt, Delivery: gather.NotDelivered})
	before := len(w.order)
	w.ask(single("s1", true))
	if len(w.order) == before {
		t.Fatal("the server that is there is taken for the one that was not reached")
	}
	if sent := w.order[len(w.order)-1]; sent.Estimate.Slowness > 1 {
		t.Errorf("believed %+v", sent.Estimate)
	}
	w.step(routing.ConnectFailed{Server: w.order[before].Server.Incarnation()})
	w.step(routing.Connected{Server: all[0].Incarnation()})
	after := len(w.order)
	w.ask(single("s1", true))
	if len(w.order) != after {
		t.Error("a connection to the life before counts for the one that is there")
	}
}
