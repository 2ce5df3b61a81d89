package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

func TestEachShardIsQueriedOnce(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1", "s2", "s3"))
	h.setTable(20, "s1", "s2", "s3")
	id := h.submit(fanOut(0.5, "s1", "s2", "s3"))
	open := h.inFlight(id)
	if len(open) != 3 {
		t.Fatalf("%d sends, want 3", len(open))
	}
	for _, send := range open {
		if send.Server.Zone != "a" {
			t.Errorf("server %s is not in the nearby zone", send.Server.ID)
		}
		h.complete(send.Attempt, gather.ReplyDone)
	}
	got, finished := h.finished[id]
	if !finished || got.Execution != gather.ExecutionDone || len(got.Parts) != 3 || got.Missing != 0 {
		t.Fatalf("outcome %+v, want done with 3 parts", got)
	}
}

func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1", "s2"))
	h.setTable(20, "s1", "s2")
	id := h.submit(fanOut(0.5, "s1", "s2"))
	h.complete(h.inFlight(id)[0].Attempt, gather.ReplyDone)
	h.advance(testAim - 20*time.Millisecond)
	if _, finished := h.finished[id]; finished {
		t.Fatal("the request was answered before its latency target")
	}
	h.advance(20 * time.Millisecond)
	got := h.finished[id]
	if got.Execution != gather.ExecutionDone || got.Missing != 1 || len(got.Parts) != 1 {
		t.Fatalf("outcome %+v, want done with one part missing", got)
	}
}

func TestInsufficientCoverageIsPartial(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1", "s2"))
	h.setTable(20, "s1", "s2")
	id := h.submit(fanOut(0.9, "s1", "s2"))
	open := h.inFlight(id)
	h.complete(open[0].Attempt, gather.ReplyDone)
	h.fail(open[1].Attempt, gather.DeliveryUnknown)
	h.advance(2 * time.Second)
	if got := h.finished[id]; got.Execution != gather.ExecutionPartial {
		t.Fatalf("outcome %+v, want partial", got)
	}
}

// A non-repeatable request may only be resent while it has certainly not been executed.
func TestNonRepeatableRequests(t *testing.T) {
	for name, test := range map[string]struct {
		complete func(h *harness, id gather.AttemptID)
		sends    int
		finish   gather.Execution
	}{
		"shed":          {func(h *harness, id gather.AttemptID) { h.complete(id, gather.ReplyShed) }, 2, 0},
		"not delivered": {func(h *harness, id gather.AttemptID) { h.fail(id, gather.NotDelivered) }, 2, 0},
		"lost":          {func(h *harness, id gather.AttemptID) { h.fail(id, gather.DeliveryUnknown) }, 1, gather.ExecutionUnknown},
		"failed":        {func(h *harness, id gather.AttemptID) { h.complete(id, gather.ReplyError) }, 1, gather.ExecutionUnknown},
		"slow":          {func(h *harness, _ gather.AttemptID) { h.advance(500 * time.Millisecond) }, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, routing.Options{})
			h.setServers(servers(3, "s1"))
			h.setTable(20, "s1")
			id := h.submit(single("s1", false))
			test.complete(h, h.inFlight(id)[0].Attempt)
			if len(h.allSends) != test.sends {
				t.Errorf("%d sends, want %d", len(h.allSends), test.sends)
			}
			got, finished := h.finished[id]
			if finished != (test.finish != 0) || finished && got.Execution != test.finish {
				t.Errorf("finished %v, outcome %+v", finished, got)
			}
		})
	}
}

// No part may be sent to more servers than the route allows, whatever they reply.
func TestServerCountPerPartIsLimited(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(3, "s1"))
	h.setTable(20, "s1")
	id := h.submit(single("s1", true))
	sentTo := make(map[string]bool)
	for range 20 {
		for _, send := range h.inFlight(id) {
			sentTo[send.Server.ID] = true
			h.complete(send.Attempt, gather.ReplyShed)
		}
		h.advance(50 * time.Millisecond)
	}
	if len(sentTo) != 2 {
		t.Errorf("the part was sent to %d servers, want 2", len(sentTo))
	}
	if got := h.finished[id]; got.Execution != gather.ExecutionNotRun || got.RetryAfter == 0 {
		t.Errorf("outcome %+v, want not run with a retry time", got)
	}
}

// An overdue attempt must count as evidence of slowness before it ends: later requests go to
// another server, and one of them probes the slow server later.
func TestOverdueAttemptsCountAsSlow(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1"))
	h.setTable(40, "s1")
	r := single("s1", true)
	h.learnLatency(r, 5*time.Millisecond)
	overdue := h.submit(r)
	first := h.inFlight(overdue)[0]
	h.advance(40 * time.Millisecond)
	h.complete(h.inFlight(overdue)[1].Attempt, gather.ReplyDone) // the hedge
	for range 10 {
		id := h.submit(r)
		next := h.inFlight(id)[0]
		if next.Server.ID == first.Server.ID {
			t.Fatalf("server %s got a request although an attempt there is overdue", next.Server.ID)
		}
		h.advance(5 * time.Millisecond)
		h.complete(next.Attempt, gather.ReplyDone)
	}
	h.complete(first.Attempt, gather.ReplyDone)
	probed := false
	for range 40 {
		h.advance(50 * time.Millisecond)
		id := h.submit(r)
		next := h.inFlight(id)[0]
		probed = probed || next.Server.ID == first.Server.ID
		h.advance(5 * time.Millisecond)
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	if !probed {
		t.Error("the slow server is never probed again")
	}
}

// A server that cannot be connected to must receive nothing until a connection opens. A shard
// without another server must be given up immediately.
func TestUnreachableServerIsExcluded(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1", "s2"))
	h.setTable(20, "s1", "s2")
	r := fanOut(0.5, "s1", "s2")
	id := h.submit(r)
	open := h.inFlight(id)
	h.fail(open[0].Attempt, gather.NotDelivered)
	if len(h.connects) != 1 || h.connects[0].ID != open[0].Server.ID {
		t.Fatalf("connections requested to %v", h.connects)
	}
	h.complete(open[1].Attempt, gather.ReplyDone)
	if got := h.finished[id]; got.Missing != 1 {
		t.Errorf("outcome %+v, want one part missing", got)
	}
	if again := h.inFlight(h.submit(r)); len(again) != 1 {
		t.Errorf("%d sends while a server is unreachable, want 1", len(again))
	}
	h.step(routing.Connected{Server: open[0].Server.Incarnation()})
	if again := h.inFlight(h.submit(r)); len(again) != 2 {
		t.Errorf("%d sends after the server was connected, want 2", len(again))
	}
}

func TestDrainingServersReceiveNothing(t *testing.T) {
	h := newHarness(t, routing.Options{})
	all := servers(2, "s1")
	h.setServers(all)
	h.setTable(20, "s1")
	all[0].State = discovery.Draining
	h.setServers(all)
	for range 10 {
		if got := h.inFlight(h.submit(single("s1", true)))[0].Server.ID; got != all[1].ID {
			t.Errorf("draining server %s got a request", got)
		}
	}
	h.setServers(nil)
	id := h.submit(single("s1", true))
	if got := h.finished[id]; got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer {
		t.Errorf("outcome %+v, want not run without a server", got)
	}
}

// A node must have no more attempts in flight at a server than its connection share. Queued parts
// are sent by priority, late ones last.
func TestQueuedPartsDispatchByPriority(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1"))
	h.setTable(2, "s1") // a connection share of one
	background, urgent, normal := single("s1", true), single("s1", true), single("s1", true)
	background.Priority, urgent.Priority, normal.Priority = 2, 0, 1
	running := h.submit(background)
	second, first := h.submit(normal), h.submit(urgent)
	if len(h.allSends) != 1 {
		t.Fatalf("%d sends with a connection share of one", len(h.allSends))
	}
	h.complete(h.inFlight(running)[0].Attempt, gather.ReplyDone)
	if len(h.inFlight(first)) != 1 || len(h.inFlight(second)) != 0 {
		t.Error("the urgent request is not sent first")
	}
}

func TestRejectsImmediatelyUnderOverload(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1"))
	h.setTable(2, "s1")
	r := single("s1", true)
	h.learnLatency(r, 20*time.Millisecond)
	rejected := 0
	for range 20 {
		id := h.submit(r)
		if got, finished := h.finished[id]; finished {
			rejected++
			if got.Execution != gather.ExecutionNotRun || got.RetryAfter == 0 {
				t.Fatalf("outcome %+v, want not run with a retry time", got)
			}
		}
	}
	if rejected < 14 || rejected > 19 {
		t.Errorf("%d of 20 requests were rejected, want 14 to 19: about four fit in their latency target", rejected)
	}
}

func TestCallerGoneCancelsRequest(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1"))
	h.setTable(20, "s1")
	id := h.submit(single("s1", true))
	h.step(routing.CallerGone{Request: id})
	if got := h.finished[id]; got.Reason != gather.ReasonCallerGone {
		t.Errorf("outcome %+v, want caller gone", got)
	}
	if h.router.InFlightRequests() != 0 {
		t.Error("the request is still in flight")
	}
}

// When registry entries of nodes expire, the connection shares of the remaining nodes must not
// grow immediately, or all nodes together could exceed the limit.
func TestConnectionShareDoesNotGrowWhenNodesVanish(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setServers(servers(1, "s1"))
	h.setTable(20, "s1")
	h.step(routing.NodesChanged{Live: 9, Serving: 9, IsServing: true})
	before := h.router.ConnectionShare("s1")
	h.step(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	if got := h.router.ConnectionShare("s1"); got != before {
		t.Errorf("the connection share grew from %d to %d immediately", before, got)
	}
	h.advance(31 * time.Second)
	h.step(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	if got := h.router.ConnectionShare("s1"); got <= before {
		t.Errorf("the connection share is still %d after the nodes expired", got)
	}
}

// If urgent requests are rejected because servers are overloaded, less urgent ones to the same
// servers must be rejected at least as often, even if they are shorter.
func TestLowerPriorityIsRejectedAtLeastAsOften(t *testing.T) {
	h := newHarness(t, routing.Options{Seed: 1})
	h.setServers(servers(1, "s1"))
	h.setTable(2, "s1")
	urgent, short := single("s1", true), single("s1", true)
	urgent.Name, urgent.Priority = "urgent", 1
	short.Name, short.Priority = "short", 2
	h.learnLatency(urgent, 25*time.Millisecond)
	h.learnLatency(short, 3*time.Millisecond)
	rejected := make(map[string]int)
	const rounds = 400
	for round := range rounds {
		for _, r := range []*route.Route{urgent, short} {
			if _, finished := h.finished[h.submit(r)]; finished {
				rejected[r.Name]++
			}
		}
		h.advance(5 * time.Millisecond)
		for _, send := range h.allSends {
			if round%4 != 0 {
				break // the server answers once every 20 ms
			}
			if _, open := h.openSends[send.Attempt]; open {
				h.complete(send.Attempt, gather.ReplyDone)
				break
			}
		}
	}
	if rejected["urgent"] < rounds/4 {
		t.Fatalf("only %d of %d urgent requests were rejected: too few for a comparison", rejected["urgent"], rounds)
	}
	if rejected["short"] < rejected["urgent"]*9/10 {
		t.Errorf("%d urgent requests were rejected, but only %d less urgent ones", rejected["urgent"], rejected["short"])
	}
}

// Weights between services must hold over short runs of requests.
func TestWeightsHoldOverShortRuns(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t, routing.Options{Seed: seed})
		h.setServers(servers(2, "few", "many"))
		h.setTable(1_000, "few", "many")
		r := single("few", true)
		r.Target.Shares = []route.Share{{Service: "few", Weight: 3}, {Service: "many", Weight: 7}}
		few := 0
		const requests = 100
		for range requests {
			id := h.submit(r)
			for _, send := range h.inFlight(id) {
				if send.Server.Service == "few" {
					few++
				}
				h.complete(send.Attempt, gather.ReplyDone)
			}
		}
		if few < 28 || few > 32 {
			t.Errorf("seed %d: %d of %d requests went to the service with weight 0.3", seed, few, requests)
		}
	}
}

// A node that has just started, or whose registry was unavailable, may not know any server of some
// shards yet. Parts must wait for them, and the request must be answered once they are known.
func TestPartsQueueForUndiscoveredServers(t *testing.T) {
	shards := []string{"s1", "s2", "s3"}
	h := newHarness(t, routing.Options{})
	h.setServers(servers(2, "s1"))
	h.setTable(20, shards...)
	answered, expired := h.submit(fanOut(0.9, shards...)), h.submit(fanOut(0.9, shards...))
	for _, id := range []routing.RequestID{answered, expired} {
		for _, send := range h.inFlight(id) {
			h.complete(send.Attempt, gather.ReplyDone)
		}
	}
	h.advance(300 * time.Millisecond)
	if len(h.finished) > 0 {
		t.Fatalf("finished without servers: %+v", h.finished)
	}
	h.setServers(servers(2, shards...))
	for _, send := range h.inFlight(answered) {
		h.complete(send.Attempt, gather.ReplyDone)
	}
	if got := h.finished[answered]; got.Execution != gather.ExecutionDone || got.Missing != 0 {
		t.Errorf("once the servers are known: outcome %+v", got)
	}
	h.advance(2 * time.Second)
	if got, finished := h.finished[expired]; !finished || got.Reason != gather.ReasonDeadline {
		t.Errorf("at the deadline: outcome %+v", got)
	}
}

// A request to a single service without known servers must be rejected immediately.
func TestUnknownServiceIsRejectedImmediately(t *testing.T) {
	h := newHarness(t, routing.Options{})
	h.setTable(20, "s1")
	id := h.submit(single("s1", true))
	if got, finished := h.finished[id]; !finished || got.Execution != gather.ExecutionNotRun || got.RetryAfter == 0 {
		t.Errorf("finished %t, outcome %+v, want not run with a retry time", finished, got)
	}
}

// An answer must be sent early enough to reach its caller by the latency target, whatever the
// network time. If that leaves too little, servers must still get a quarter of the target.
func TestAnswerAllowsForNetworkTime(t *testing.T) {
	for name, test := range map[string]struct{ elapsed, returnTime, answerAt time.Duration }{
		"a caller nearby":          {0, 0, testAim - routing.DefaultAnswerMargin},
		"a caller in another zone": {9 * time.Millisecond, 12 * time.Millisecond, testAim - 21*time.Millisecond - routing.DefaultAnswerMargin},
		"a caller far away":        {testAim, testAim, testAim / 4},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, routing.Options{})
			h.setServers(servers(1, "s1", "s2"))
			h.setTable(20, "s1", "s2")
			h.lastID++
			target := fanOut(0.5, "s1", "s2")
			h.step(routing.Arrived{Request: routing.Request{ID: h.lastID, Route: target, Remaining: target.Timeout, Elapsed: test.elapsed, ReturnTime: test.returnTime}})
			h.complete(h.inFlight(h.lastID)[0].Attempt, gather.ReplyDone)
			const tolerance = time.Millisecond
			h.advance(test.answerAt - tolerance)
			if _, finished := h.finished[h.lastID]; finished {
				t.Fatal("the answer was sent too early")
			}
			h.advance(2 * tolerance)
			if got := h.finished[h.lastID]; got.Execution != gather.ExecutionDone || got.Missing != 1 {
				t.Fatalf("the answer was not sent in time: outcome %+v", got)
			}
		})
	}
}
