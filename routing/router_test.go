package routing_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

func TestEveryShardIsAskedOnce(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(2, "s1", "s2", "s3"))
	w.setTable(20, "s1", "s2", "s3")
	id := w.ask(fanOut(0.5, "s1", "s2", "s3"))
	open := w.open(id)
	if len(open) != 3 {
		t.Fatalf("%d sends", len(open))
	}
	for _, send := range open {
		if send.Server.Zone != "a" {
			t.Errorf("%s is not near", send.Server.ID)
		}
		w.end(send.Attempt, gather.ReplyDone)
	}
	got, finished := w.finished[id]
	if !finished || got.Execution != gather.ExecutionDone || len(got.Parts) != 3 || got.Missing != 0 {
		t.Fatalf("%+v", got)
	}
}

func TestAnswerLeavesAtTheAim(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1", "s2"))
	w.setTable(20, "s1", "s2")
	id := w.ask(fanOut(0.5, "s1", "s2"))
	w.end(w.open(id)[0].Attempt, gather.ReplyDone)
	w.pass(testAim - 20*time.Millisecond)
	if _, finished := w.finished[id]; finished {
		t.Fatal("it stopped before its aim")
	}
	w.pass(20 * time.Millisecond)
	got := w.finished[id]
	if got.Execution != gather.ExecutionDone || got.Missing != 1 || len(got.Parts) != 1 {
		t.Fatalf("%+v", got)
	}
}

func TestTooLittleCoverageIsNoAnswer(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1", "s2"))
	w.setTable(20, "s1", "s2")
	id := w.ask(fanOut(0.9, "s1", "s2"))
	open := w.open(id)
	w.end(open[0].Attempt, gather.ReplyDone)
	w.fail(open[1].Attempt, gather.DeliveryUnknown)
	w.pass(2 * time.Second)
	if got := w.finished[id]; got.Execution != gather.ExecutionPartial {
		t.Fatalf("%+v", got)
	}
}

// A request that may not be repeated goes on only while it certainly has not run.
func TestNotRepeatable(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(w *world, id gather.AttemptID)
		sends  int
		finish gather.Execution
	}{
		"shed":          {func(w *world, id gather.AttemptID) { w.end(id, gather.ReplyShed) }, 2, 0},
		"not delivered": {func(w *world, id gather.AttemptID) { w.fail(id, gather.NotDelivered) }, 2, 0},
		"lost":          {func(w *world, id gather.AttemptID) { w.fail(id, gather.DeliveryUnknown) }, 1, gather.ExecutionUnknown},
		"failed":        {func(w *world, id gather.AttemptID) { w.end(id, gather.ReplyError) }, 1, gather.ExecutionUnknown},
		"slow":          {func(w *world, _ gather.AttemptID) { w.pass(500 * time.Millisecond) }, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, routing.Options{})
			w.setServers(servers(3, "s1"))
			w.setTable(20, "s1")
			id := w.ask(single("s1", false))
			test.end(w, w.open(id)[0].Attempt)
			if len(w.order) != test.sends {
				t.Errorf("%d sends, want %d", len(w.order), test.sends)
			}
			got, finished := w.finished[id]
			if finished != (test.finish != 0) || finished && got.Execution != test.finish {
				t.Errorf("finished %v %+v", finished, got)
			}
		})
	}
}

// No part is sent to more servers than the route allows, whatever they answer.
func TestNoMoreServersThanAllowed(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(3, "s1"))
	w.setTable(20, "s1")
	id := w.ask(single("s1", true))
	asked := make(map[string]bool)
	for range 20 {
		for _, send := range w.open(id) {
			asked[send.Server.ID] = true
			w.end(send.Attempt, gather.ReplyShed)
		}
		w.pass(50 * time.Millisecond)
	}
	if len(asked) != 2 {
		t.Errorf("%d servers were asked, two are allowed", len(asked))
	}
	if got := w.finished[id]; got.Execution != gather.ExecutionNotRun || got.RetryAfter == 0 {
		t.Errorf("%+v", got)
	}
}

// An attempt that is late is evidence before it ends: the next requests go to
// another server, and the slow one is tried again later by one of them.
func TestLateAttemptsAreEvidence(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(2, "s1"))
	w.setTable(40, "s1")
	r := single("s1", true)
	w.warm(r, 5*time.Millisecond)
	late := w.ask(r)
	first := w.open(late)[0]
	w.pass(40 * time.Millisecond)
	w.end(w.open(late)[1].Attempt, gather.ReplyDone) // the hedge
	for range 10 {
		id := w.ask(r)
		next := w.open(id)[0]
		if next.Server.ID == first.Server.ID {
			t.Fatalf("%s is asked although it is late", next.Server.ID)
		}
		w.pass(5 * time.Millisecond)
		w.end(next.Attempt, gather.ReplyDone)
	}
	w.end(first.Attempt, gather.ReplyDone)
	back := false
	for range 40 {
		w.pass(50 * time.Millisecond)
		id := w.ask(r)
		next := w.open(id)[0]
		back = back || next.Server.ID == first.Server.ID
		w.pass(5 * time.Millisecond)
		for _, send := range w.open(id) {
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
	if !back {
		t.Error("the server that was slow is never asked again")
	}
}

// A server to which no connection opens gets nothing until one does; a shard
// without another server is given up at once.
func TestServersThatCannotBeReached(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1", "s2"))
	w.setTable(20, "s1", "s2")
	r := fanOut(0.5, "s1", "s2")
	id := w.ask(r)
	open := w.open(id)
	w.fail(open[0].Attempt, gather.NotDelivered)
	if len(w.reached) != 1 || w.reached[0].ID != open[0].Server.ID {
		t.Fatalf("to be reached: %v", w.reached)
	}
	w.end(open[1].Attempt, gather.ReplyDone)
	if got := w.finished[id]; got.Missing != 1 {
		t.Errorf("%+v", got)
	}
	if again := w.open(w.ask(r)); len(again) != 1 {
		t.Errorf("%d sends while a server can't be reached", len(again))
	}
	w.step(routing.Connected{Server: open[0].Server.Incarnation()})
	if again := w.open(w.ask(r)); len(again) != 2 {
		t.Errorf("%d sends after it was reached", len(again))
	}
}

func TestLeavingServersGetNothing(t *testing.T) {
	w := newWorld(t, routing.Options{})
	all := servers(2, "s1")
	w.setServers(all)
	w.setTable(20, "s1")
	all[0].State = discovery.Draining
	w.setServers(all)
	for range 10 {
		if got := w.open(w.ask(single("s1", true)))[0].Server.ID; got != all[1].ID {
			t.Errorf("%s is asked", got)
		}
	}
	w.setServers(nil)
	id := w.ask(single("s1", true))
	if got := w.finished[id]; got.Execution != gather.ExecutionNotRun || got.Reason != gather.ReasonNoServer {
		t.Errorf("%+v", got)
	}
}

// A node holds no more attempts at a server than its share of the connections;
// what waits goes by priority, and what is late goes last.
func TestPartsThatWaitGoByPriority(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1"))
	w.setTable(2, "s1") // a share of one
	slow, urgent, usual := single("s1", true), single("s1", true), single("s1", true)
	slow.Priority, urgent.Priority, usual.Priority = 2, 0, 1
	running := w.ask(slow)
	second, first := w.ask(usual), w.ask(urgent)
	if len(w.order) != 1 {
		t.Fatalf("%d sends over a share of one", len(w.order))
	}
	w.end(w.open(running)[0].Attempt, gather.ReplyDone)
	if len(w.open(first)) != 1 || len(w.open(second)) != 0 {
		t.Error("the urgent one does not go first")
	}
}

func TestCrowdedRequestsAreRefusedAtOnce(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1"))
	w.setTable(2, "s1")
	r := single("s1", true)
	w.warm(r, 20*time.Millisecond)
	refused := 0
	for range 20 {
		id := w.ask(r)
		if got, finished := w.finished[id]; finished {
			refused++
			if got.Execution != gather.ExecutionNotRun || got.RetryAfter == 0 {
				t.Fatalf("%+v", got)
			}
		}
	}
	if refused < 14 || refused > 19 {
		t.Errorf("%d of 20 requests are refused where about four fit in their aim", refused)
	}
}

func TestCallerGoneCancels(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1"))
	w.setTable(20, "s1")
	id := w.ask(single("s1", true))
	w.step(routing.CallerGone{Request: id})
	if got := w.finished[id]; got.Reason != gather.ReasonCallerGone {
		t.Errorf("%+v", got)
	}
	if w.router.InFlightRequests() != 0 {
		t.Error("it still runs")
	}
}

// Entries of nodes that lapse make no share grow at once: all nodes would take
// more together than there is.
func TestSharesDoNotGrowWhenNodesVanish(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setServers(servers(1, "s1"))
	w.setTable(20, "s1")
	w.step(routing.NodesChanged{Live: 9, Serving: 9, IsServing: true})
	before := w.router.ConnectionShare("s1")
	w.step(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	if got := w.router.ConnectionShare("s1"); got != before {
		t.Errorf("the share of connections grew from %d to %d at once", before, got)
	}
	w.pass(31 * time.Second)
	w.step(routing.NodesChanged{Live: 1, Serving: 1, IsServing: true})
	if got := w.router.ConnectionShare("s1"); got <= before {
		t.Errorf("the share of connections stays at %d", got)
	}
}

// Where urgent requests are refused because servers are crowded, less urgent ones
// to the same servers are refused at least as often, though they are shorter.
func TestLessUrgentRequestsAreRefusedAsOften(t *testing.T) {
	w := newWorld(t, routing.Options{Seed: 1})
	w.setServers(servers(1, "s1"))
	w.setTable(2, "s1")
	urgent, short := single("s1", true), single("s1", true)
	urgent.Name, urgent.Priority = "urgent", 1
	short.Name, short.Priority = "short", 2
	w.warm(urgent, 25*time.Millisecond)
	w.warm(short, 3*time.Millisecond)
	refused := make(map[string]int)
	const rounds = 400
	for round := range rounds {
		for _, r := range []*route.Route{urgent, short} {
			if _, finished := w.finished[w.ask(r)]; finished {
				refused[r.Name]++
			}
		}
		w.pass(5 * time.Millisecond)
		for _, send := range w.order {
			if round%4 != 0 {
				break // the server answers once in 20 ms
			}
			if _, open := w.sends[send.Attempt]; open {
				w.end(send.Attempt, gather.ReplyDone)
				break
			}
		}
	}
	if refused["urgent"] < rounds/4 {
		t.Fatalf("only %d of %d urgent requests are refused: nothing is shown", refused["urgent"], rounds)
	}
	if refused["short"] < refused["urgent"]*9/10 {
		t.Errorf("%d urgent requests are refused, and %d less urgent ones", refused["urgent"], refused["short"])
	}
}

// Requests are shared by weight over short spans, too.
func TestWeightsAreKeptOverShortSpans(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, routing.Options{Seed: seed})
		w.setServers(servers(2, "few", "many"))
		w.setTable(1_000, "few", "many")
		r := single("few", true)
		r.Target.Shares = []route.Share{{Service: "few", Weight: 3}, {Service: "many", Weight: 7}}
		few := 0
		const requests = 100
		for range requests {
			id := w.ask(r)
			for _, send := range w.open(id) {
				if send.Server.Service == "few" {
					few++
				}
				w.end(send.Attempt, gather.ReplyDone)
			}
		}
		if few < 28 || few > 32 {
			t.Errorf("seed %d: %d of %d requests go to a weight of 0.3", seed, few, requests)
		}
	}
}

// A node that has just started, or whose registry was away, may know no server of some
// shards yet: parts wait for them, and the request is answered when they come.
func TestPartsWaitForServersThatAreNotKnownYet(t *testing.T) {
	shards := []string{"s1", "s2", "s3"}
	w := newWorld(t, routing.Options{})
	w.setServers(servers(2, "s1"))
	w.setTable(20, shards...)
	answered, expired := w.ask(fanOut(0.9, shards...)), w.ask(fanOut(0.9, shards...))
	for _, id := range []routing.RequestID{answered, expired} {
		for _, send := range w.open(id) {
			w.end(send.Attempt, gather.ReplyDone)
		}
	}
	w.pass(300 * time.Millisecond)
	if len(w.finished) > 0 {
		t.Fatalf("answered without servers: %+v", w.finished)
	}
	w.setServers(servers(2, shards...))
	for _, send := range w.open(answered) {
		w.end(send.Attempt, gather.ReplyDone)
	}
	if got := w.finished[answered]; got.Execution != gather.ExecutionDone || got.Missing != 0 {
		t.Errorf("once the servers are known: %+v", got)
	}
	w.pass(2 * time.Second)
	if got, finished := w.finished[expired]; !finished || got.Reason != gather.ReasonDeadline {
		t.Errorf("at its deadline: %+v", got)
	}
}

// A request to one service of which no server is known is refused at once.
func TestNoServerOfAServiceIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, routing.Options{})
	w.setTable(20, "s1")
	id := w.ask(single("s1", true))
	if got, finished := w.finished[id]; !finished || got.Execution != gather.ExecutionNotRun || got.RetryAfter == 0 {
		t.Errorf("%t, %+v", finished, got)
	}
}

// An answer leaves so early that it is at its caller by the aim, however long the way there
// is; where that is longer than the aim allows, servers still have a quarter of it.
func TestAnswersLeaveInTimeForTheirWay(t *testing.T) {
	for name, test := range map[string]struct{ spent, back, leaves time.Duration }{
		"a caller nearby":          {0, 0, testAim - routing.DefaultAnswerMargin},
		"a caller in another zone": {9 * time.Millisecond, 12 * time.Millisecond, testAim - 21*time.Millisecond - routing.DefaultAnswerMargin},
		"a caller far away":        {testAim, testAim, testAim / 4},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, routing.Options{})
			w.setServers(servers(1, "s1", "s2"))
			w.setTable(20, "s1", "s2")
			w.last++
			asked := fanOut(0.5, "s1", "s2")
			w.step(routing.Arrived{Request: routing.Request{ID: w.last, Route: asked, Remaining: asked.Timeout, Elapsed: test.spent, ReturnTime: test.back}})
			w.end(w.open(w.last)[0].Attempt, gather.ReplyDone)
			const moment = time.Millisecond
			w.pass(test.leaves - moment)
			if _, finished := w.finished[w.last]; finished {
				t.Fatal("it left earlier than it must")
			}
			w.pass(2 * moment)
			if got := w.finished[w.last]; got.Execution != gather.ExecutionDone || got.Missing != 1 {
				t.Fatalf("it did not leave in time: %+v", got)
			}
		})
	}
}
