package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/routing"
)

// Whichever mechanism is disabled, every request must get exactly one final answer by its
// deadline, no part may be sent to more servers than its route allows, and a non-repeatable
// request must not be resent once a server may have executed it.
func TestInvariantsHoldWithEachMechanismDisabled(t *testing.T) {
	for number, name := range mechanism.Names() {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(number), 5))
			h := newHarness(t, routing.Options{Disabled: mechanism.Disable(mechanism.Mechanism(number)), Restarted: number%2 == 0})
			h.setServers(servers(3, "s1", "s2", "s3"))
			h.setTable(20, "s1", "s2", "s3")
			var submitted []routing.RequestID
			nonRepeatable := make(map[routing.RequestID]bool)
			mayHaveExecuted := make(map[routing.RequestID]bool)
			for range 400 {
				switch random.IntN(3) {
				case 0:
					submitted = append(submitted, h.submit(fanOut(0.5, "s1", "s2", "s3")))
				case 1:
					id := h.submit(single("s1", false))
					submitted, nonRepeatable[id] = append(submitted, id), true
				}
				for _, send := range h.allSends {
					if _, open := h.openSends[send.Attempt]; !open || random.IntN(3) == 0 {
						continue
					}
					switch random.IntN(6) {
					case 0:
						h.complete(send.Attempt, gather.ReplyShed)
					case 1:
						mayHaveExecuted[send.Request] = true
						h.fail(send.Attempt, gather.DeliveryUnknown)
					case 2:
						h.fail(send.Attempt, gather.NotDelivered)
					default:
						mayHaveExecuted[send.Request] = true
						h.complete(send.Attempt, gather.ReplyDone)
					}
				}
				before := len(h.allSends)
				h.advance(time.Duration(random.IntN(30)) * time.Millisecond)
				for _, send := range h.allSends[before:] {
					if nonRepeatable[send.Request] && mayHaveExecuted[send.Request] {
						t.Fatalf("non-repeatable request %d is resent after a server may have executed it", send.Request)
					}
				}
			}
			h.advance(2 * time.Second)
			for _, id := range submitted {
				if _, finished := h.finished[id]; !finished {
					t.Errorf("request %d has no final answer", id)
				}
			}
			servers := make(map[string]map[string]bool)
			for _, send := range h.allSends {
				part := fmt.Sprintf("%d/%s", send.Request, send.Server.Service)
				if servers[part] == nil {
					servers[part] = make(map[string]bool)
				}
				servers[part][send.Server.ID] = true
				if len(servers[part]) > 2 {
					t.Errorf("part %s was sent to %d servers, at most 2 are allowed", part, len(servers[part]))
				}
			}
		})
	}
}
