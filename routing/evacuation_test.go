package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// Nothing may be sent to the servers of an evacuated zone: no first send, hedge, retry or probe.
// The zone must be used again after the evacuation ends.
func TestEvacuatedZoneReceivesNothing(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1", "s2"))
	h.setTable(40, "s1", "s2")
	r := fanOut(1, "s1", "s2")
	h.learnLatency(r, 5*time.Millisecond)
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	before := len(h.allSends)
	for round := range 40 {
		id := h.submit(r)
		h.advance(40 * time.Millisecond) // long enough for hedges
		for _, send := range h.inFlight(id) {
			status := gather.ReplyDone
			if round%3 == 0 {
				status = gather.ReplyError // causes retries
			}
			h.complete(send.Attempt, status)
		}
		h.advance(400 * time.Millisecond)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	for _, send := range h.allSends[before:] {
		if send.Server.Zone == "a" {
			t.Fatalf("server %s in an evacuated zone got a send of kind %v", send.Server.ID, send.Kind)
		}
	}
	// This uses no extra budget: parts that move to another zone are first sends.
	if len(h.allSends) == before {
		t.Fatal("nothing was sent during the evacuation")
	}
	h.step(routing.ZonesChanged{})
	h.learnLatency(r, 5*time.Millisecond) // servers that were slow meanwhile are probed once
	id := h.submit(r)
	for _, send := range h.inFlight(id) {
		if send.Server.Zone != "a" {
			t.Errorf("server %s got a send after the evacuation of the nearby zone ended", send.Server.ID)
		}
	}
}

// Parts that move to another zone are not extra sends and must work with an empty budget.
func TestEvacuationUsesNoExtraBudget(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.step(routing.SettingsChanged{Regions: map[string]string{"a": "r", "b": "r"}})
	h.setServers(servers(2, "s1"))
	h.setTable(40, "s1")
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	for range 20 {
		id := h.submit(single("s1", true))
		open := h.inFlight(id)
		if len(open) != 1 || open[0].Server.Zone != "b" || open[0].Kind != gather.FirstSend {
			t.Fatalf("sends %v, want one first send to zone b", open)
		}
		h.complete(open[0].Attempt, gather.ReplyDone)
		if got := h.finished[id]; got.Execution != gather.ExecutionDone {
			t.Fatalf("outcome %+v, want done", got)
		}
	}
}

// Parts queued for a zone that is then evacuated must be sent elsewhere.
func TestQueuedPartsLeaveEvacuatedZone(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1"))
	h.setTable(2, "s1") // a connection share of one
	running := []routing.RequestID{h.submit(single("s1", true)), h.submit(single("s1", true))}
	waiting := h.submit(single("s1", true))
	if len(h.inFlight(waiting)) != 0 {
		t.Fatal("the part was sent although the connection share was used up")
	}
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	for _, id := range running {
		h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	}
	if open := h.inFlight(waiting); len(open) != 1 || open[0].Server.Zone != "b" {
		t.Errorf("sends of the queued part: %v, want one to zone b", open)
	}
}

// A request with shards that exist only in an evacuated zone must be rejected before any part runs
// if it needs them; otherwise its answer must report how many are missing.
func TestShardOnlyInEvacuatedZone(t *testing.T) {
	h := newHarness(t, routing.Options{})
	inZoneA := servers(1, "s1")                        // in zone a
	h.setServers(append(servers(2, "s2"), inZoneA...)) // in zones a and b
	h.setTable(40, "s1", "s2")
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	needsAll := h.submit(fanOut(1, "s1", "s2"))
	if got, finished := h.finished[needsAll]; !finished || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || got.RetryAfter == 0 || got.Sends != 0 {
		t.Errorf("request that needs all shards: finished %v, outcome %+v", finished, got)
	}
	needsHalf := h.submit(fanOut(0.5, "s1", "s2"))
	for _, send := range h.inFlight(needsHalf) {
		h.complete(send.Attempt, gather.ReplyDone)
	}
	if got := h.finished[needsHalf]; got.Execution != gather.ExecutionDone || got.Missing != 1 {
		t.Errorf("request that needs half of the shards: outcome %+v", got)
	}
}

// Requests with home regions may only be sent to servers in those regions, and must be rejected
// immediately if there are none.
func TestHomeRegionsAreRespected(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(3, "s1")) // zones a and b are in region r, zone far is in region s
	h.setTable(40, "s1")
	restricted := single("s1", true)
	restricted.Homes = []string{"s"}
	for range 10 {
		id := h.submit(restricted)
		h.advance(300 * time.Millisecond)
		for _, send := range h.inFlight(id) {
			if send.Server.Zone != "far" {
				t.Fatalf("server %s outside the home regions got a send", send.Server.ID)
			}
			h.complete(send.Attempt, gather.ReplyError)
		}
	}
	restricted.Homes = []string{"elsewhere"}
	if got := h.finished[h.submit(restricted)]; got.Reason != gather.ReasonNoServer || got.Execution != gather.ExecutionNotRun {
		t.Errorf("without a server in the home regions: outcome %+v", got)
	}
}

// Requests that exceed the capacity of one of several weighted services must not move to another
// service: the weights set by the operator hold even if a service has no server at all.
func TestOverflowIsNotMovedBetweenWeightedServices(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "large"))
	h.setTable(40, "large", "small")
	weighted := single("large", true)
	weighted.Target.Shares = []route.Share{{Service: "large", Weight: 3}, {Service: "small", Weight: 1}}
	rejected := 0
	for range 400 {
		id := h.submit(weighted)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
		if got := h.finished[id]; got.Execution == gather.ExecutionNotRun {
			rejected++
		}
		h.advance(10 * time.Millisecond)
	}
	if rejected < 95 || rejected > 105 {
		t.Errorf("%d of 400 requests were rejected, want about the quarter for the service without servers", rejected)
	}
}
