package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/routing"
)

const (
	// zoneSilence is the time without a reply after which a zone counts as unreachable.
	zoneSilence = 300 * time.Millisecond
	// answerTime is the latency of servers in these tests.
	answerTime = 5 * time.Millisecond
)

// fiveShards are services with servers in zones a and b.
var fiveShards = []string{"s1", "s2", "s3", "s4", "s5"}

// newTwoZoneHarness returns a harness that has learned the latency of a fan-out over five shards.
func newTwoZoneHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, fiveShards...))
	h.setTable(60, fiveShards...)
	h.learnLatency(fanOut(1, fiveShards...), answerTime)
	return h
}

// answerOutsideZone answers the attempts in flight at servers of other zones.
func (h *harness) answerOutsideZone(zone string) {
	for _, send := range h.allSends {
		if _, open := h.openSends[send.Attempt]; open && send.Server.Zone != zone {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
}

// advanceAnswering advances the clock while all servers answer except those in the given zone.
func (h *harness) advanceAnswering(duration time.Duration, silentZone string) {
	for until := h.now + duration; h.now < until; {
		h.advance(answerTime)
		h.answerOutsideZone(silentZone)
	}
}

// A node that stalled, or that receives no reply from anywhere, must not mark a zone as
// unreachable.
func TestLocalStallDoesNotMarkZoneUnreachable(t *testing.T) {
	h := newTwoZoneHarness(t)
	r := fanOut(1, fiveShards...)
	h.submit(r)
	h.advance(2 * zoneSilence) // no server answers
	if len(h.connects) != 0 {
		t.Errorf("no zone replied, but connections were requested to %v", h.connects)
	}
	h = newTwoZoneHarness(t)
	h.submit(r)
	h.advance(20 * time.Millisecond)
	h.answerOutsideZone("a")
	h.now += 10 * zoneSilence // the node stalls and its timers fire late
	h.step(routing.TimerFired{})
	if len(h.connects) != 0 {
		t.Errorf("the node stalled, but connections were requested to %v", h.connects)
	}
}

// A silent zone must receive no more requests, and its attempts in flight must be resent
// elsewhere. Connections to a few of its servers must be tried until one succeeds.
func TestUnreachableZoneIsExcluded(t *testing.T) {
	h := newTwoZoneHarness(t)
	r := fanOut(1, fiveShards...)
	first := h.submit(r)
	h.advanceAnswering(zoneSilence+20*time.Millisecond, "a")
	if got := h.finished[first]; got.Execution != gather.ExecutionDone {
		t.Fatalf("the first request: outcome %+v", got)
	}
	if len(h.connects) == 0 || len(h.connects) > 3 {
		t.Fatalf("connections were requested to %d servers, want 1 to 3", len(h.connects))
	}
	for range 10 {
		id := h.submit(r)
		for _, send := range h.inFlight(id) {
			if send.Server.Zone == "a" {
				t.Fatalf("server %s got a request while its zone is unreachable", send.Server.ID)
			}
			h.complete(send.Attempt, gather.ReplyDone)
		}
		h.advance(50 * time.Millisecond)
	}
	h.step(routing.Connected{Server: h.connects[0].Incarnation()})
	h.advance(10 * time.Second) // lets learned slowness expire
	zoneUsed := false
	for range 10 {
		id := h.submit(r)
		for _, send := range h.inFlight(id) {
			zoneUsed = zoneUsed || send.Server.Zone == "a"
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	if !zoneUsed {
		t.Error("the zone got no request after it became reachable")
	}
}

// A zone must stay reachable if all its servers are slow, or if only a few of them are silent.
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
		for i, send := range h.inFlight(id) {
			if i >= 3 {
				h.complete(send.Attempt, gather.ReplyDone)
			}
		}
		h.advance(zoneSilence)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	if len(h.connects) != 0 {
		t.Errorf("connections were requested to %v", h.connects)
	}
}

// A non-repeatable request must not be resent when the zone of its server becomes unreachable.
func TestNonRepeatableRequestInUnreachableZoneIsNotResent(t *testing.T) {
	h := newTwoZoneHarness(t)
	id := h.submit(single("s1", false))
	h.submit(fanOut(1, fiveShards...))
	h.advanceAnswering(zoneSilence+20*time.Millisecond, "a")
	if len(h.connects) == 0 {
		t.Fatal("the zone was not marked unreachable")
	}
	if sends := h.finished[id].Sends; sends > 1 || len(h.inFlight(id)) != 1 {
		t.Errorf("%d sends, %d in flight; want one that is still in flight", sends, len(h.inFlight(id)))
	}
}

// oneServerPerShard returns one server for each shard, all in zone a except the last.
func oneServerPerShard() []discovery.Server {
	var all []discovery.Server
	for i, name := range fiveShards {
		zone := "a"
		if i == len(fiveShards)-1 {
			zone = "b"
		}
		all = append(all, discovery.Server{ID: name + "-only", Service: name, Address: "x", Slots: 2, Zone: zone})
	}
	return all
}

// A node that cannot reach enough shards must report this and immediately reject, before any part
// runs, requests that other nodes can serve. It must serve again as soon as the zone is reachable.
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
		t.Fatal("the node does not report that it cannot serve")
	}
	if got, finished := h.finished[first]; !finished || got.Execution == gather.ExecutionDone {
		t.Errorf("the request that detected the outage was not failed immediately: outcome %+v", got)
	}
	before := len(h.allSends)
	got, finished := h.finished[h.submit(r)]
	if !finished || got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer || !got.RetryElsewhere || got.RetryAfter > 20*time.Millisecond {
		t.Errorf("finished %v, outcome %+v, want a redirect", finished, got)
	}
	if len(h.allSends) != before {
		t.Error("something was sent for a request that cannot be served")
	}
	h.step(routing.Connected{Server: h.connects[0].Incarnation()})
	if h.cannotServe {
		t.Error("the node still reports that it cannot serve")
	}
}

// Servers that are gone, evacuated or draining for all nodes must not make a node report that it
// cannot serve.
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
		t.Error("the node reports that it cannot serve")
	}
}

// If the servers of an unreachable zone are replaced, connections to the new ones must be tried.
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
	replacements := oneServerPerShard()
	for i := range replacements {
		replacements[i].ID += "-new"
	}
	h.setServers(replacements)
	if len(h.connects) == before {
		t.Fatal("no connection to a new server was requested")
	}
	h.step(routing.Connected{Server: h.connects[len(h.connects)-1].Incarnation()})
	if h.cannotServe {
		t.Error("the node still reports that it cannot serve")
	}
	h.setServers(nil)
	h.setServers(oneServerPerShard())
	if open := h.inFlight(h.submit(r)); len(open) != len(fiveShards) {
		t.Errorf("%d of %d shards got a request", len(open), len(fiveShards))
	}
}
