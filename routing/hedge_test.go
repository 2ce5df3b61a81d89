package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

// If most parts take longer than the share of the latency target after which hedges are sent, as
// on a node that is itself slow, most parts must not be hedged.
func TestTypicalLatencyIsNotHedged(t *testing.T) {
	const typical = 60 * time.Millisecond // of a target of 100 ms, of which the hedge delay may use 30 ms
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1"))
	h.setTable(60, "s1")
	r := single("s1", true)
	for range 40 { // latencies vary around the typical one
		for _, latency := range []time.Duration{typical - 10*time.Millisecond, typical, typical + 10*time.Millisecond} {
			id := h.submit(r)
			h.advance(latency)
			for _, send := range h.inFlight(id) {
				h.complete(send.Attempt, gather.ReplyDone)
			}
			h.advance(20 * time.Millisecond)
		}
	}
	hedged := 0
	for round := range 30 {
		id := h.submit(r)
		h.advance(typical - 10*time.Millisecond + time.Duration(round%3)*10*time.Millisecond)
		if len(h.inFlight(id)) > 1 {
			hedged++
		}
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
		h.advance(20 * time.Millisecond)
	}
	if hedged > 12 {
		t.Errorf("%d of 30 requests with typical latency were hedged, want at most 12", hedged)
	}
}
