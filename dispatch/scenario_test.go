package dispatch

import (
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/retry"
)

const hedgeAfter = 10 * time.Millisecond

func hedgingOptions() Options {
	return Options{HedgePolicy: retry.FixedHedge{After: hedgeAfter}, StopPolicy: gather.StopAtDeadline{}}
}

// withHedgeBudget credits the urgent class with a hedge budget.
func withHedgeBudget(d *Dispatcher) *Dispatcher {
	d.budget.Credit(0, 100, 0.1)
	return d
}

func cancels(actions []Action) []AttemptID {
	var found []AttemptID
	for _, a := range actions {
		if c, ok := a.(Cancel); ok {
			found = append(found, c.Attempt)
		}
	}
	return found
}

func statusReply(s Send, status ReplyStatus) AttemptReplied {
	return AttemptReplied{Attempt: s.Attempt, Reply: Reply{Status: status}}
}

// outcome returns the only final outcome among the actions.
func outcome(t *testing.T, actions []Action) Outcome {
	t.Helper()
	ended := finishes(actions)
	if len(ended) != 1 {
		t.Fatalf("%d final outcomes in %+v, want 1", len(ended), actions)
	}
	return ended[0].Outcome
}

func TestHedgeUsesOtherReplicaAndFirstReplyWins(t *testing.T) {
	d := withHedgeBudget(newConfigured(hedgingOptions(), 1, 2))
	first := sends(d.Step(0, arrival(1)))[0]
	hedges := sends(d.Step(hedgeAfter, TimerFired{}))
	if len(hedges) != 1 || hedges[0].Kind != HedgeSend || hedges[0].Server == first.Server {
		t.Fatalf("sent %+v, want one hedge to the other server", hedges)
	}
	actions := d.Step(2*hedgeAfter, doneReply(hedges[0]))
	if got := cancels(actions); len(got) != 1 || got[0] != first.Attempt {
		t.Fatalf("cancelled %v, want the first attempt", got)
	}
	if o := outcome(t, actions); !o.Complete || o.Parts[0].Server != hedges[0].Server {
		t.Fatalf("outcome %+v, want a complete one from the hedge", o)
	}
	if late := d.Step(3*hedgeAfter, doneReply(first)); len(sends(late))+len(finishes(late)) != 0 {
		t.Fatalf("late reply caused actions %+v", late)
	}
	if got := d.servers[first.Server].latency; got != float64(3*hedgeAfter) {
		t.Fatalf("latency is %v after the late reply, want that of the late reply", time.Duration(got))
	}
}

func TestNoHedge(t *testing.T) {
	tests := []struct {
		name     string
		prepare  func(d *Dispatcher, first Send)
		modify   func(*Query)
		noBudget bool
	}{
		{name: "of a query that is not repeatable", modify: func(q *Query) { q.Repeatable = false }},
		{name: "without budget", noBudget: true},
		{name: "to a server that sheds", prepare: func(d *Dispatcher, first Send) {
			for _, s := range d.groups[0].servers {
				if s.ID != first.Server {
					d.recordShed(s, time.Second)
					d.updateCapacity(s)
				}
			}
		}},
		{name: "to a suspect server", prepare: func(d *Dispatcher, first Send) {
			for _, s := range d.groups[0].servers {
				if s.ID != first.Server {
					d.Step(0, ServerChanged{Server: s.ID, State: ServerSuspect})
				}
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newConfigured(hedgingOptions(), 1, 2)
			if !test.noBudget {
				withHedgeBudget(d)
			}
			q := arrival(1)
			if test.modify != nil {
				test.modify(&q.Query)
			}
			first := sends(d.Step(0, q))[0]
			if test.prepare != nil {
				test.prepare(d, first)
			}
			if got := sends(d.Step(2*hedgeAfter, TimerFired{})); len(got) != 0 {
				t.Fatalf("sent %+v, want no hedge", got)
			}
		})
	}
}

func TestLeavingServersGetNoNewWorkUntilLive(t *testing.T) {
	events := map[string]func(d *Dispatcher, s Send){
		"membership says leaving": func(d *Dispatcher, s Send) { d.Step(0, ServerChanged{Server: s.Server, State: ServerLeaving}) },
		"membership says gone":    func(d *Dispatcher, s Send) { d.Step(0, ServerChanged{Server: s.Server, State: ServerGone}) },
		"draining reply":          func(d *Dispatcher, s Send) { d.Step(0, statusReply(s, ReplyDraining)) },
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			d := newConfigured(Options{}, 1, 2)
			leaving := sends(d.Step(0, arrival(1)))[0]
			event(d, leaving)
			for id := range QueryID(10) {
				for _, s := range sends(d.Step(time.Millisecond, arrival(id+2))) {
					if s.Server == leaving.Server {
						t.Fatal("sent to a leaving server")
					}
				}
				d.Step(time.Millisecond, CallerGone{Query: id + 2})
			}
			d.Step(time.Millisecond, ServerReported{Server: leaving.Server, Snapshots: []SnapshotID{7, 8}})
			if !d.servers[leaving.Server].isLeaving() {
				t.Fatal("server no longer leaving after its own report")
			}
			d.Step(time.Millisecond, ServerChanged{Server: leaving.Server, State: ServerLive})
			if d.servers[leaving.Server].isLeaving() {
				t.Fatal("server still leaving after becoming live")
			}
		})
	}
}

func TestServersWithoutFirstReport(t *testing.T) {
	tests := []struct {
		name string
		at   time.Duration
		want int
	}{
		{"may be leaving and are not asked at first", 500 * time.Millisecond, 1},
		{"are asked when they can't be heard", 2 * time.Second, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Options{})
			d.Step(0, configuration(2, 2))
			d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{7}})
			sent := sends(d.Step(test.at, arrival(1)))
			if len(sent) != test.want || sent[0].Server != "0/0" {
				t.Fatalf("sent %+v, want the reporting server first", sent)
			}
		})
	}
}

func TestSegmentWaitsForFirstReport(t *testing.T) {
	const reportTimeout = 50 * time.Millisecond
	tests := []struct {
		name  string
		at    time.Duration
		event Event
	}{
		{"until one of its servers is heard", 20 * time.Millisecond, ServerReported{Server: "1/0", Snapshots: []SnapshotID{7}}},
		{"until they may be asked unheard", reportTimeout, TimerFired{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Options{FirstReportTimeout: reportTimeout})
			d.Step(0, configuration(2, 2))
			d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{7}})
			d.Step(time.Millisecond, arrival(1))
			if sent := sends(d.Step(test.at, test.event)); len(sent) != 1 || sent[0].Range.Start != keysPerGroup {
				t.Fatalf("sent %+v, want the waiting segment", sent)
			}
		})
	}
}

func TestGroupOfOutliersIsStillUsed(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	for _, s := range d.groups[0].servers {
		s.ejectedUntil = time.Hour
	}
	if got := sends(d.Step(0, arrival(1))); len(got) != 1 {
		t.Fatalf("sent %+v, want one sub-request", got)
	}
}

func TestOutlierIsAvoidedWhileAlternativesExist(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	d.groups[0].servers[1].ejectedUntil = time.Hour
	for id := range QueryID(5) {
		sent := sends(d.Step(0, arrival(id+1)))[0]
		if sent.Server != "0/0" {
			t.Fatalf("sent to outlier %s", sent.Server)
		}
	}
}

func TestRepartitionInFlightSplitsRange(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	first := sends(d.Step(0, arrival(1)))[0]
	again := sends(d.Step(0, statusReply(first, ReplyNotOwner)))[0]
	if rest := d.Step(0, statusReply(again, ReplyNotOwner)); len(finishes(rest)) != 0 {
		t.Fatal("gave up before the new configuration arrived")
	}
	repartitioned := configuration(2, 2)
	repartitioned.Service.KeySpace.End = keysPerGroup
	repartitioned.Service.Groups[0].Range = coverage.Range{Start: 0, End: 30}
	repartitioned.Service.Groups[1].Range = coverage.Range{Start: 30, End: keysPerGroup}
	sent := sends(d.Step(time.Millisecond, repartitioned))
	sent = append(sent, sends(d.Step(2*time.Millisecond, ServerReported{Server: "1/0", Snapshots: []SnapshotID{7}}))...)
	if len(sent) != 2 {
		t.Fatalf("sent %+v, want a sub-request for each new group", sent)
	}
	d.Step(3*time.Millisecond, doneReply(sent[0]))
	o := outcome(t, d.Step(3*time.Millisecond, doneReply(sent[1])))
	if !o.Complete || len(o.Parts) != 2 || o.Parts[0].Range.End != 30 {
		t.Fatalf("outcome %+v, want a complete one of two parts", o)
	}
}

func TestQueryRestartsOnAnotherSnapshot(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	sent := sends(d.Step(0, arrival(1)))
	d.Step(0, doneReply(sent[0]))
	d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{8}})
	unknownSnapshot := statusReply(sent[1], ReplyUnknownSnapshot)
	unknownSnapshot.Reply.Snapshots = []SnapshotID{8}
	restarted := sends(d.Step(0, unknownSnapshot))
	if len(restarted) != 2 || restarted[0].Snapshot != 8 || restarted[1].Snapshot != 8 {
		t.Fatalf("sent %+v, want both segments on snapshot 8", restarted)
	}
	d.Step(0, doneReply(restarted[0]))
	o := outcome(t, d.Step(0, doneReply(restarted[1])))
	if !o.Complete || o.Snapshot != 8 || len(o.Parts) != 2 {
		t.Fatalf("outcome %+v, want a complete one of snapshot 8", o)
	}
}

func TestNonRepeatableQueryDoesNotRestartAfterExecution(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	q := arrival(1)
	q.Query.Repeatable = false
	sent := sends(d.Step(0, q))
	d.Step(0, doneReply(sent[0]))
	d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{8}})
	unknownSnapshot := statusReply(sent[1], ReplyUnknownSnapshot)
	unknownSnapshot.Reply.Snapshots = []SnapshotID{8}
	actions := d.Step(0, unknownSnapshot)
	if len(sends(actions)) != 0 {
		t.Fatal("query restarted after a part had been executed")
	}
	if o := outcome(t, actions); o.Coverage != 0.5 || o.Snapshot != 7 {
		t.Fatalf("outcome %+v, want half of the key space of snapshot 7", o)
	}
}

func TestMismatchedReplyIsRejected(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	sent := sends(d.Step(0, arrival(1)))
	mismatched := doneReply(sent[0])
	mismatched.Reply.Range = sent[1].Range
	d.Step(0, mismatched)
	other := doneReply(sent[1])
	other.Reply.Snapshot = 6
	d.Step(0, other)
	o := outcome(t, d.Step(time.Second, TimerFired{}))
	if len(o.Parts) != 0 || o.Execution != ExecutionUnknown {
		t.Fatalf("outcome %+v, want no parts and unknown execution", o)
	}
}

func TestStopsEarlyWithEnoughCoverageWhenRestIsSlow(t *testing.T) {
	d := newConfigured(Options{HedgePolicy: retry.NoHedge{}}, 8, 1)
	for range 100 {
		d.latencies.Add(5 * time.Millisecond)
	}
	sent := sends(d.Step(0, arrival(1)))
	for _, s := range sent[:7] {
		d.Step(5*time.Millisecond, doneReply(s))
	}
	if early := d.Step(10*time.Millisecond, TimerFired{}); len(finishes(early)) != 0 {
		t.Fatal("stopped before the remaining segment was overdue")
	}
	o := outcome(t, d.Step(30*time.Millisecond, TimerFired{}))
	if o.Reason != ReasonEnoughCoverage || o.Complete || o.Coverage != 0.875 || o.Execution != ExecutionDone {
		t.Fatalf("outcome %+v, want one that stopped early with coverage 0.875", o)
	}
}

func TestFinishesEarlyWhenMinimumCoverageIsUnreachable(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	q := arrival(1)
	q.Query.MinimumCoverage = 0.9
	sent := sends(d.Step(0, q))
	d.Step(0, doneReply(sent[0]))
	actions := d.Step(0, statusReply(sent[1], ReplyDraining))
	if o := outcome(t, actions); o.Execution != ExecutionPartial || o.Reason != ReasonNoServer || o.RetryAfter <= 0 {
		t.Fatalf("outcome %+v, want a partial execution with RetryAfter", o)
	}
}
