package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// restarted returns the servers with a new incarnation of one of them.
func restarted(all []discovery.Server, id string, born int64) []discovery.Server {
	updated := append([]discovery.Server(nil), all...)
	for i := range updated {
		if updated[i].ID == id {
			updated[i].Born = born
		}
	}
	return updated
}

// A server that restarts under the same ID must not inherit the slowness, shed time, draining
// state, unreachability or in-flight attempts of its previous incarnation.
func TestRestartedServerStartsWithCleanState(t *testing.T) {
	for name, disturb := range map[string]func(h *harness, send routing.Send){
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
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, routing.Options{Seed: 1})
			all := servers(1, "s1")
			all[0].Born = 1000
			h.setTable(60, "s1")
			h.setServers(all)
			h.submit(single("s1", true))
			disturb(h, h.allSends[len(h.allSends)-1])
			h.setServers(restarted(all, "s1-0", 2000))
			before := len(h.allSends)
			h.submit(single("s1", true))
			if len(h.allSends) != before+1 {
				t.Fatalf("%d sends to the restarted server, want 1", len(h.allSends)-before)
			}
			sent := h.allSends[before]
			if sent.Server.Born != 2000 || sent.Estimate.InFlight != 0 || sent.Estimate.Slowness > 1 {
				t.Errorf("estimate %+v for the server born at %d, want a clean state", sent.Estimate, sent.Server.Born)
			}
		})
	}
}

// Late events about a previous incarnation must not affect the current one.
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
		t.Fatal("the new incarnation is treated as unreachable")
	}
	if sent := h.allSends[len(h.allSends)-1]; sent.Estimate.Slowness > 1 {
		t.Errorf("estimate %+v, want a clean state", sent.Estimate)
	}
	h.step(routing.ConnectFailed{Server: h.allSends[before].Server.Incarnation()})
	h.step(routing.Connected{Server: all[0].Incarnation()})
	after := len(h.allSends)
	h.submit(single("s1", true))
	if len(h.allSends) != after {
		t.Error("a connection to the previous incarnation makes the new one reachable")
	}
}
