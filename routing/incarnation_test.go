package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// restarted lists the servers with another start of one of them.
func restarted(all []discovery.Server, id string, born int64) []discovery.Server {
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
func TestRestartedServerStartsWithCleanState(t *testing.T) {
	for what, harm := range map[string]func(h *harness, send routing.Send){
		"it failed": func(h *harness, send routing.Send) {
			h.step(routing.Failed{Attempt: send.Attempt, Delivery: gather.ServerCrashed})
		},
		"out of reach": func(h *harness, send routing.Send) {
			h.step(routing.Failed{Attempt: send.Attempt, Delivery: gather.NotDelivered})
		},
		"it shed": func(h *harness, send routing.Send) {
			h.step(routing.Replied{Attempt: send.Attempt, Status: gather.ReplyShed, RetryAfter: time.Minute})
		},
		"it was leaving": func(h *harness, send routing.Send) {
			h.step(routing.Replied{Attempt: send.Attempt, Status: gather.ReplyNotOwner})
		},
		"it still works":   func(*harness, routing.Send) {},
		"it never replied": func(h *harness, _ routing.Send) { h.advance(900 * time.Millisecond) },
	} {
		t.Run(what, func(t *testing.T) {
			h := newHarness(t, routing.Options{Seed: 1})
			all := servers(1, "s1")
			all[0].Born = 1000
			h.setTable(60, "s1")
			h.setServers(all)
			h.submit(single("s1", true))
			harm(h, h.allSends[len(h.allSends)-1])
			h.setServers(restarted(all, "s1-0", 2000))
			before := len(h.allSends)
			h.submit(single("s1", true))
			if len(h.allSends) != before+1 {
				t.Fatalf("%d sends to the server that is back", len(h.allSends)-before)
			}
			sent := h.allSends[before]
			if sent.Server.Born != 2000 || sent.Estimate.InFlight != 0 || sent.Estimate.Slowness > 1 {
				t.Errorf("believed %+v of the server born at %d", sent.Estimate, sent.Server.Born)
			}
		})
	}
}

// What is heard late of the life before says nothing of the one that is there.
func TestEventsOfPreviousIncarnationAreIgnored(t *testing.T) {
	h := newHarness(t, routing.Options{Seed: 1})
	all := servers(1, "s1")
	all[0].Born = 1000
	h.setTable(60, "s1")
	h.setServers(all)
	h.submit(single("s1", true))
	first := h.allSends[0]
	h.setServers(restarted(all, "s1-0", 2000))
	h.step(routing.ConnectFailed{Server: all[0].Incarnation()})
	h.step(routing.Failed{Attempt: first.Attempt, Delivery: gather.NotDelivered})
	before := len(h.allSends)
	h.submit(single("s1", true))
	if len(h.allSends) == before {
		t.Fatal("the server that is there is taken for the one that was not reached")
	}
	if sent := h.allSends[len(h.allSends)-1]; sent.Estimate.Slowness > 1 {
		t.Errorf("believed %+v", sent.Estimate)
	}
	h.step(routing.ConnectFailed{Server: h.allSends[before].Server.Incarnation()})
	h.step(routing.Connected{Server: all[0].Incarnation()})
	after := len(h.allSends)
	h.submit(single("s1", true))
	if len(h.allSends) != after {
		t.Error("a connection to the life before counts for the one that is there")
	}
}
