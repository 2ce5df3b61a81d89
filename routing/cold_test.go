package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// The slowness of a cold server is estimated from earlier servers that reported being cold;
// without any, it is treated like a warm one.
func TestLearnsSlownessOfColdServers(t *testing.T) {
	const (
		typical = 10 * time.Millisecond
		// slow exceeds the penalty for the other zone, which is 15 ms here.
		slow    = 40 * time.Millisecond
		coldFor = 3 * time.Second
	)
	for _, test := range []struct {
		name  string
		takes time.Duration
		want  string
	}{
		{"starts are quick", typical, "a"},
		{"starts are slow", slow, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, routing.Options{})
			known := servers(2, "s1")
			h.setServers(known)
			h.setTable(20, "s1", "s2")
			h.learnLatency(fanOut(1, "s1"), typical)
			// Servers of s1 start one after the other and have the given latency while cold.
			for number := range 20 {
				starting := discovery.Server{ID: fmt.Sprintf("new-%d", number), Service: "s1", Zone: "a", Slots: 2, ColdFor: coldFor}
				h.setServers([]discovery.Server{starting})
				id := h.submit(fanOut(1, "s1"))
				h.advance(test.takes)
				for _, send := range h.inFlight(id) {
					h.complete(send.Attempt, gather.ReplyDone)
				}
			}
			// Of the two servers of s2, the nearby one is cold.
			candidates := servers(2, "s2")
			candidates[0].ColdFor = coldFor
			h.setServers(candidates)
			if sends := h.inFlight(h.submit(fanOut(1, "s2"))); len(sends) != 1 || sends[0].Server.Zone != test.want {
				t.Errorf("sends %v, want one to zone %s", sends, test.want)
			}
		})
	}
}
