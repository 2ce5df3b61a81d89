package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// Nothing is sent to the servers of a zone that is evacuated: no first send, hedge, retry
// or probe; it is asked again once the zone is given back.
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
		h.advance(40 * time.Millisecond) // hedges would be sent by now
		for _, send := range h.inFlight(id) {
			status := gather.ReplyDone
			if round%3 == 0 {
				status = gather.ReplyError // retries would be sent
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
			t.Fatalf("%s of an evacuated zone is asked, kind %v", send.Server.ID, send.Kind)
		}
	}
	// It takes no budget: what moved to another zone is a first send.
	if len(h.allSends) == before {
		t.Fatal("nothing was sent at all")
	}
	h.step(routing.ZonesChanged{})
	h.learnLatency(r, 5*time.Millisecond) // servers that answered late meanwhile are probed once
	id := h.submit(r)
	for _, send := range h.inFlight(id) {
		if send.Server.Zone != "a" {
			t.Errorf("%s is asked after the near zone was given back", send.Server.ID)
		}
	}
}

// Parts that move to another zone are no extra sends: a budget of nothing pays for them.
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
			t.Fatalf("sends: %v", open)
		}
		h.complete(open[0].Attempt, gather.ReplyDone)
		if got := h.finished[id]; got.Execution != gather.ExecutionDone {
			t.Fatalf("%+v", got)
		}
	}
}

// What waits for room in a zone that is then evacuated goes elsewhere.
func TestQueuedPartsLeaveEvacuatedZone(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1"))
	h.setTable(2, "s1") // a share of one
	running := []routing.RequestID{h.submit(single("s1", true)), h.submit(single("s1", true))}
	waiting := h.submit(single("s1", true))
	if len(h.inFlight(waiting)) != 0 {
		t.Fatal("there was room")
	}
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	for _, id := range running {
		h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	}
	if open := h.inFlight(waiting); len(open) != 1 || open[0].Server.Zone != "b" {
		t.Errorf("the part that waited is at %v", open)
	}
}

// A request whose shards live in evacuated zones alone is refused before any of it runs;
// one that can do without them tells how many are left out.
func TestShardOnlyInEvacuatedZone(t *testing.T) {
	h := newHarness(t, routing.Options{})
	only := servers(1, "s1")                        // in zone a
	h.setServers(append(servers(2, "s2"), only...)) // in zones a and b
	h.setTable(40, "s1", "s2")
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	whole := h.submit(fanOut(1, "s1", "s2"))
	if got, done := h.finished[whole]; !done || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || got.RetryAfter == 0 || got.Sends != 0 {
		t.Errorf("all shards are wanted: %v %+v", done, got)
	}
	half := h.submit(fanOut(0.5, "s1", "s2"))
	for _, send := range h.inFlight(half) {
		h.complete(send.Attempt, gather.ReplyDone)
	}
	if got := h.finished[half]; got.Execution != gather.ExecutionDone || got.Missing != 1 {
		t.Errorf("half of the shards is enough: %+v", got)
	}
}

// Requests with homes go to servers of those regions only; without one there they are
// refused at once.
func TestHomeRegionsAreRespected(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(3, "s1")) // in zones a and b of region r, and far, of region s
	h.setTable(40, "s1")
	homed := single("s1", true)
	homed.Homes = []string{"s"}
	for range 10 {
		id := h.submit(homed)
		h.advance(300 * time.Millisecond)
		for _, send := range h.inFlight(id) {
			if send.Server.Zone != "far" {
				t.Fatalf("%s is asked outside of the request's homes", send.Server.ID)
			}
			h.complete(send.Attempt, gather.ReplyError)
		}
	}
	homed.Homes = []string{"elsewhere"}
	if got := h.finished[h.submit(homed)]; got.Reason != gather.ReasonNoServer || got.Execution != gather.ExecutionNotRun {
		t.Errorf("without a server in its homes: %+v", got)
	}
}

// What does not fit on one of several weighted services is not moved to another: shares
// stay as the operator set them, also where one service has no server at all.
func TestOverflowIsNotMovedBetweenWeightedServices(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "large"))
	h.setTable(40, "large", "small")
	split := single("large", true)
	split.Target.Shares = []route.Share{{Service: "large", Weight: 3}, {Service: "small", Weight: 1}}
	refused := 0
	for range 400 {
		id := h.submit(split)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
		if got := h.finished[id]; got.Execution == gather.ExecutionNotRun {
			refused++
		}
		h.advance(10 * time.Millisecond)
	}
	if refused < 95 || refused > 105 {
		t.Errorf("%d of 400 requests are refused, want the quarter of the service without servers", refused)
	}
}
