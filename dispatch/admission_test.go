package dispatch

import (
	"testing"
	"time"

	"github.com/banksail/banksail/limit"
)

func TestUrgentQueryOvertakesEarlierBatchQuery(t *testing.T) {
	d := newConfigured(Options{MaximumRunning: 1}, 1, 1)
	running := sends(d.Step(0, arrival(1)))
	batch := arrival(2)
	batch.Query.Class = "batch"
	d.Step(0, batch)
	d.Step(0, arrival(3))
	next := sends(d.Step(time.Millisecond, doneReply(running[0])))
	if len(next) != 1 || next[0].Query != 3 {
		t.Fatalf("sent %+v, want only the urgent query", next)
	}
}

func TestQueuedQueryIsRefusedAfterLongestWait(t *testing.T) {
	d := newConfigured(Options{MaximumRunning: 1}, 1, 1)
	d.Step(0, arrival(1))
	actions := d.Step(0, arrival(2))
	if len(finishes(actions)) != 0 {
		t.Fatal("query was not queued")
	}
	o := outcome(t, d.Step(50*time.Millisecond, TimerFired{}))
	if o.Execution != ExecutionNotRun || o.Reason != ReasonQueueWait || o.RetryAfter <= 0 {
		t.Fatalf("outcome %+v, want a refusal after the longest wait", o)
	}
}

func TestQueuedQueryOfDisconnectedCallerIsNotRun(t *testing.T) {
	d := newConfigured(Options{MaximumRunning: 1}, 1, 1)
	running := sends(d.Step(0, arrival(1)))
	d.Step(0, arrival(2))
	o := outcome(t, d.Step(0, CallerGone{Query: 2}))
	if o.Execution != ExecutionNotRun || o.Reason != ReasonCallerGone {
		t.Fatalf("outcome %+v, want one that was not run", o)
	}
	if got := sends(d.Step(time.Millisecond, doneReply(running[0]))); len(got) != 0 {
		t.Fatalf("sent %+v for the query of a disconnected caller", got)
	}
}

func TestStoppingRefusesQueuedAndFinishesRunningQueries(t *testing.T) {
	d := newConfigured(Options{MaximumRunning: 1}, 1, 1)
	running := sends(d.Step(0, arrival(1)))
	d.Step(0, arrival(2))
	if o := outcome(t, d.Step(0, Stopping{})); o.Reason != ReasonStopping || o.Execution != ExecutionNotRun {
		t.Fatalf("outcome %+v, want a refusal of the queued query", o)
	}
	if o := outcome(t, d.Step(0, arrival(3))); o.Reason != ReasonStopping {
		t.Fatalf("outcome %+v, want a refusal of the new query", o)
	}
	if o := outcome(t, d.Step(0, doneReply(running[0]))); !o.Complete {
		t.Fatalf("outcome %+v, want the running query to complete", o)
	}
}

func TestSegmentIsRetriedAfterShedBackoff(t *testing.T) {
	d := newConfigured(Options{}, 1, 1)
	sent := sends(d.Step(0, arrival(1)))
	shed := statusReply(sent[0], ReplyShed)
	shed.Reply.RetryAfter = 10 * time.Millisecond
	if got := d.Step(0, shed); len(sends(got))+len(finishes(got)) != 0 {
		t.Fatalf("unexpected actions %+v while the server backs off", got)
	}
	if early := sends(d.Step(9*time.Millisecond, TimerFired{})); len(early) != 0 {
		t.Fatal("sent again before the end of the back-off")
	}
	again := sends(d.Step(20*time.Millisecond, TimerFired{}))
	if len(again) != 1 || again[0].Kind != RetrySend {
		t.Fatalf("sent %+v, want one retry", again)
	}
}

func TestConnectionShareLimitsInFlight(t *testing.T) {
	d := newConfigured(Options{LimitPolicy: limit.Options{Policy: limit.Fixed}}, 1, 1)
	d.Step(0, NodesChanged{Live: 30})
	sent := 0
	for id := range QueryID(5) {
		sent += len(sends(d.Step(0, arrival(id+1))))
	}
	if sent != 2 { // 70 connections less the 10% to spare, shared by 30 nodes
		t.Fatalf("%d requests in flight, want 2", sent)
	}
}

func TestHeadroomIsReservedForUrgentClass(t *testing.T) {
	tests := []struct {
		name    string
		reserve int
		urgent  int
	}{
		{"within the limit", -1, 2},
		{"and one above each server's limit", 1, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newConfigured(Options{LimitPolicy: limit.Options{Policy: limit.Fixed}, UrgentReserve: test.reserve}, 1, 2)
			batch, urgent := 0, 0
			for id := range QueryID(20) {
				q := arrival(id + 1)
				q.Query.Class = "batch"
				batch += len(sends(d.Step(0, q)))
			}
			for id := range QueryID(20) {
				urgent += len(sends(d.Step(0, arrival(id+100))))
			}
			if batch != 8 || urgent != test.urgent {
				t.Fatalf("%d batch and %d urgent requests in flight, want 8 and %d", batch, urgent, test.urgent)
			}
		})
	}
}

func TestServerInLocalZoneIsPreferred(t *testing.T) {
	c := configuration(1, 2)
	c.Service.Groups[0].Servers[1].Zone = "near"
	d := New(Options{Zone: "near"})
	d.Step(0, c)
	for _, id := range []string{"0/0", "0/1"} {
		d.Step(0, ServerReported{Server: id, Snapshots: []SnapshotID{7}})
	}
	for id := range QueryID(10) {
		sent := sends(d.Step(0, arrival(id+1)))[0]
		if sent.Server != "0/1" {
			t.Fatalf("sent to %s, want the server in the local zone", sent.Server)
		}
		d.Step(0, doneReply(sent))
	}
}

func TestAttemptOnGoneServerIsRetriedAndLateReplyCounts(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	first := sends(d.Step(0, arrival(1)))[0]
	again := sends(d.Step(0, ServerChanged{Server: first.Server, State: ServerGone}))
	if len(again) != 1 || again[0].Server == first.Server {
		t.Fatalf("sent %+v, want one retry on the other server", again)
	}
	if o := outcome(t, d.Step(0, doneReply(first))); !o.Complete || o.Parts[0].Server != first.Server {
		t.Fatalf("outcome %+v, want a complete one from the gone server", o)
	}
}

func TestRemovedServiceRefusesNewQueries(t *testing.T) {
	d := newConfigured(Options{}, 1, 1)
	running := sends(d.Step(0, arrival(1)))
	d.Step(0, Configured{Removed: true})
	if o := outcome(t, d.Step(0, arrival(2))); o.Reason != ReasonNoConfiguration || o.Execution != ExecutionNotRun {
		t.Fatalf("outcome %+v, want a refusal of the new query", o)
	}
	if o := outcome(t, d.Step(0, doneReply(running[0]))); !o.Complete {
		t.Fatalf("outcome %+v, want the running query to complete", o)
	}
}

func TestQueryStartsWhenAvailableGroupsReachMinimumCoverage(t *testing.T) {
	d := newConfigured(Options{LimitPolicy: limit.Options{Policy: limit.Fixed}}, 8, 1)
	for _, s := range d.groups[3].servers {
		s.shedUntil = time.Hour
		d.updateCapacity(s)
	}
	if got := len(sends(d.Step(0, arrival(1)))); got != 7 {
		t.Fatalf("%d sub-requests sent for the class that accepts partial answers, want 7", got)
	}
	batch := arrival(2) // requires a coverage of 0.9
	batch.Query.Class = "batch"
	if got := len(sends(d.Step(0, batch))); got != 0 || d.queue.Len() != 1 {
		t.Fatalf("%d sub-requests sent, %d queries queued; want 0 and 1", got, d.queue.Len())
	}
}

func TestQueriesStartWithinWaitingAllowanceOfBlockedGroup(t *testing.T) {
	d := newConfigured(Options{WaitingAllowance: 2, LimitPolicy: limit.Options{Policy: limit.Fixed}}, 8, 1)
	for _, s := range d.groups[3].servers {
		s.shedUntil = time.Hour
		d.updateCapacity(s)
	}
	for number, want := range []int{7, 7, 0} {
		batch := arrival(QueryID(number + 1))
		batch.Query.Class = "batch"
		if got := len(sends(d.Step(0, batch))); got != want {
			t.Fatalf("query %d: %d sub-requests sent, want %d", number+1, got, want)
		}
	}
	if d.queue.Len() != 1 {
		t.Fatalf("%d queries queued, want only the third", d.queue.Len())
	}
}
