package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

const (
	// zoneSilence is the time without an answer after which a zone is set aside.
	zoneSilence = 300 * time.Millisecond
	// answerTime is how long servers take in these tests.
	answerTime = 5 * time.Millisecond
)

// fiveShards are services with servers in zones a and b.
var fiveShards = []string{"s1", "s2", "s3", "s4", "s5"}

// newTwoZoneHarness is a world in which a fan-out over five shards is usual.
func newTwoZoneHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, fiveShards...))
	h.setTable(60, fiveShards...)
	h.learnLatency(fanOut(1, fiveShards...), answerTime)
	return h
}

// answerOutsideZone ends the attempts that are open at servers of other zones.
func (h *harness) answerOutsideZone(zone string) {
	for _, send := range h.allSends {
		if _, open := h.openSends[send.Attempt]; open && send.Server.Zone != zone {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
}

// advanceAnswering lets time pass, while servers of other zones than the one given answer.
func (h *harness) advanceAnswering(duration time.Duration, but string) {
	for until := h.now + duration; h.now < until; {
		h.advance(answerTime)
		h.answerOutsideZone(but)
	}
}

// A node that was frozen, or that hears nothing from anywhere, blames no zone.
func TestLocalStallDoesNotMarkZoneUnreachable(t *testing.T) {
	h := newTwoZoneHarness(t)
	r := fanOut(1, fiveShards...)
	h.submit(r)
	h.advance(2 * zoneSilence) // nobody answers
	if len(h.connects) != 0 {
		t.Errorf("nothing was heard at all, and %v are set aside", h.connects)
	}
	h = newTwoZoneHarness(t)
	h.submit(r)
	h.advance(20 * time.Millisecond)
	h.answerOutsideZone("a")
	h.now += 10 * zoneSilence // the node stands still, and its timers come late
	h.step(routing.TimerFired{})
	if len(h.connects) != 0 {
		t.Errorf("the node stood still, and %v are set aside", h.connects)
	}
}

// A zone from which nothing comes gets no more requests, and what it was sent goes
// elsewhere; a few of its servers are tried until one can be reached.
func TestUnreachableZoneIsExcluded(t *testing.T) {
	h := newTwoZoneHarness(t)
	r := fanOut(1, fiveShards...)
	first := h.submit(r)
	h.advanceAnswering(zoneSilence+20*time.Millisecond, "a")
	if got := h.finished[first]; got.Execution != gather.ExecutionDone {
		t.Fatalf("the first request: %+v", got)
	}
	if len(h.connects) == 0 || len(h.connects) > 3 {
		t.Fatalf("%d servers are tried", len(h.connects))
	}
	for range 10 {
		id := h.submit(r)
		for _, send := range h.inFlight(id) {
			if send.Server.Zone == "a" {
				t.Fatalf("%s is asked while its zone is dark", send.Server.ID)
			}
			h.complete(send.Attempt, gather.ReplyDone)
		}
		h.advance(50 * time.Millisecond)
	}
	h.step(routing.Connected{Server: h.connects[0].Incarnation()})
	h.advance(10 * time.Second) // what was learned of the servers fades
	used := false
	for range 10 {
		id := h.submit(r)
		for _, send := range h.inFlight(id) {
			used = used || send.Server.Zone == "a"
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	if !used {
		t.Error("the zone is not asked after it was reached")
	}
}

// A zone whose servers are all slow, or of which few are silent, is not dark.
func TestSlowZoneStaysReachable(t *testing.T) {
	h := newTwoZoneHarness(t)
	r := fanOut(1, fiveShards...)
	for range 10 {
		id := h.submit(r)
		h.advance(200 * time.Millisecond)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	for range 10 {
		id := h.submit(r)
		for place, send := range h.inFlight(id) {
			if place >= 3 {
				h.complete(send.Attempt, gather.ReplyDone)
			}
		}
		h.advance(zoneSilence)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	if len(h.connects) != 0 {
		t.Errorf("%v are set aside", h.connects)
	}
}

// A request that may not be repeated is awaited, also where its server's zone is dark.
func TestNonRepeatableRequestInUnreachableZoneIsNotResent(t *testing.T) {
	h := newTwoZoneHarness(t)
	id := h.submit(single("s1", false))
	h.submit(fanOut(1, fiveShards...))
	h.advanceAnswering(zoneSilence+20*time.Millisecond, "a")
	if len(h.connects) == 0 {
		t.Fatal("the zone is not dark")
	}
	if sends := h.finished[id].Sends; sends > 1 || len(h.inFlight(id)) != 1 {
		t.Errorf("%d sends, %d open", sends, len(h.inFlight(id)))
	}
}

// oneServerPerShard are servers of which each shard has one, in zone a but for the last.
func oneServerPerShard() []discovery.Server {
	var all []discovery.Server
	for place, name := range fiveShards {
		zone := "a"
		if place == len(fiveShards)-1 {
			zone = "b"
		}
		all = append(all, discovery.Server{ID: name + "-only", Service: name, Address: "x", Slots: 2, Zone: zone})
	}
	return all
}

// A node that can't reach enough shards says so, and refuses at once, before anything
// runs, what other nodes can serve; it serves again as soon as the zone is reached.
func TestDisconnectedNodeRejectsImmediately(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.step(routing.PeerAvailabilityChanged{Available: true})
	h.setServers(oneServerPerShard())
	h.setTable(60, fiveShards...)
	r := fanOut(0.6, fiveShards...)
	h.setRoutes(r)
	h.learnLatency(r, answerTime)
	first := h.submit(r)
	h.advanceAnswering(zoneSilence+20*time.Millisecond, "a")
	if !h.cannotServe {
		t.Fatal("the node does not say that it is cut off")
	}
	if got, done := h.finished[first]; !done || got.Execution == gather.ExecutionDone {
		t.Errorf("the request that found it out is not answered at once: %+v", got)
	}
	before := len(h.allSends)
	got, done := h.finished[h.submit(r)]
	if !done || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || !got.RetryElsewhere || got.RetryAfter > 20*time.Millisecond {
		t.Errorf("%v %+v", done, got)
	}
	if len(h.allSends) != before {
		t.Error("something was sent for a request that can't be served")
	}
	h.step(routing.Connected{Server: h.connects[0].Incarnation()})
	if h.cannotServe {
		t.Error("the node still says that it is cut off")
	}
}

// Servers that are gone, evacuated or draining for all nodes make no node cut off.
func TestClusterWideLossIsNotDisconnection(t *testing.T) {
	h := newHarness(t, routing.Options{})
	all := oneServerPerShard()
	h.setServers(all)
	h.setTable(60, fiveShards...)
	h.setRoutes(fanOut(0.6, fiveShards...))
	h.step(routing.ZonesChanged{Evacuated: []string{"a"}})
	h.step(routing.ZonesChanged{})
	for i := range all {
		all[i].State = discovery.Draining
	}
	h.setServers(all)
	h.setServers(nil)
	if h.cannotServe {
		t.Error("the node takes itself for cut off")
	}
}

// A dark zone whose servers are replaced is tried at the new ones.
func TestUnreachableZoneProbesReplacementServers(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(oneServerPerShard())
	h.setTable(60, fiveShards...)
	r := fanOut(0.6, fiveShards...)
	h.setRoutes(r)
	h.learnLatency(r, answerTime)
	h.submit(r)
	h.advanceAnswering(zoneSilence+20*time.Millisecond, "a")
	before := len(h.connects)
	replaced := oneServerPerShard()
	for i := range replaced {
		replaced[i].ID += "-new"
	}
	h.setServers(replaced)
	if len(h.connects) == before {
		t.Fatal("no new server is tried")
	}
	h.step(routing.Connected{Server: h.connects[len(h.connects)-1].Incarnation()})
	if h.cannotServe {
		t.Error("the node still says that it is cut off")
	}
	h.setServers(nil)
	h.setServers(oneServerPerShard())
	if open := h.inFlight(h.submit(r)); len(open) != len(fiveShards) {
		t.Errorf("%d of %d shards are asked", len(open), len(fiveShards))
	}
}
