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

// withHedgeBudget gives the urgent class a budget for hedges.
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

// outcome returns the one final answer among the actions.
func outcome(t *testing.T, actions []Action) Outcome {
	t.Helper()
	ended := finishes(actions)
	if len(ended) != 1 {
		t.Fatalf("%d final answers in %+v", len(ended), actions)
	}
	return ended[0].Outcome
}

func TestHedgeUsesOtherReplicaAndFirstReplyWins(t *testing.T) {
	d := withHedgeBudget(newConfigured(hedgingOptions(), 1, 2))
	first := sends(d.Step(0, arrival(1)))[0]
	hedges := sends(d.Step(hedgeAfter, TimerFired{}))
	if len(hedges) != 1 || hedges[0].Kind != HedgeSend || hedges[0].Server == first.Server {
		t.Fatalf("hedges %+v", hedges)
	}
	actions := d.Step(2*hedgeAfter, doneReply(hedges[0]))
	if got := cancels(actions); len(got) != 1 || got[0] != first.Attempt {
		t.Fatalf("cancelled %v", got)
	}
	if o := outcome(t, actions); !o.Complete || o.Parts[0].Server != hedges[0].Server {
		t.Fatalf("outcome %+v", o)
	}
	if late := d.Step(3*hedgeAfter, doneReply(first)); len(sends(late))+len(finishes(late)) != 0 {
		t.Fatalf("a late reply had an effect: %+v", late)
	}
	if got := d.servers[first.Server].latency; got != float64(3*hedgeAfter) {
		t.Fatalf("latency of the late reply not learned: %v", time.Duration(got))
	}
}

func TestNoHedge(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(d *Dispatcher, first Send)
		ask     func(*Query)
		broke   bool
	}{
		{name: "of a query that is not repeatable", ask: func(q *Query) { q.Repeatable = false }},
		{name: "without budget", broke: true},
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
			if !test.broke {
				withHedgeBudget(d)
			}
			q := arrival(1)
			if test.ask != nil {
				test.ask(&q.Query)
			}
			first := sends(d.Step(0, q))[0]
			if test.prepare != nil {
				test.prepare(d, first)
			}
			if got := sends(d.Step(2*hedgeAfter, TimerFired{})); len(got) != 0 {
				t.Fatalf("sent %+v", got)
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
			away := sends(d.Step(0, arrival(1)))[0]
			event(d, away)
			for id := range QueryID(10) {
				for _, s := range sends(d.Step(time.Millisecond, arrival(id+2))) {
					if s.Server == away.Server {
						t.Fatal("sent to a server that leaves")
					}
				}
				d.Step(time.Millisecond, CallerGone{Query: id + 2})
			}
			d.Step(time.Millisecond, ServerReported{Server: away.Server, Snapshots: []SnapshotID{7, 8}})
			if !d.servers[away.Server].isLeaving() {
				t.Fatal("its own account ended its leaving")
			}
			d.Step(time.Millisecond, ServerChanged{Server: away.Server, State: ServerLive})
			if d.servers[away.Server].isLeaving() {
				t.Fatal("still leaving after it came back")
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
				t.Fatalf("sent %+v", sent)
			}
		})
	}
}

func TestSegmentWaitsForFirstReport(t *testing.T) {
	const hearing = 50 * time.Millisecond
	tests := []struct {
		name  string
		at    time.Duration
		event Event
	}{
		{"until one of its servers is heard", 20 * time.Millisecond, ServerReported{Server: "1/0", Snapshots: []SnapshotID{7}}},
		{"until they may be asked unheard", hearing, TimerFired{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(Options{FirstReportTimeout: hearing})
			d.Step(0, configuration(2, 2))
			d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{7}})
			d.Step(time.Millisecond, arrival(1))
			if sent := sends(d.Step(test.at, test.event)); len(sent) != 1 || sent[0].Range.Start != keysPerGroup {
				t.Fatalf("sent %+v", sent)
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
		t.Fatalf("sent %+v", got)
	}
}

func TestOutlierIsAvoidedWhileAlternativesExist(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	d.groups[0].servers[1].ejectedUntil = time.Hour
	for id := range QueryID(5) {
		sent := sends(d.Step(0, arrival(id+1)))[0]
		if sent.Server != "0/0" {
			t.Fatalf("sent to %s", sent.Server)
		}
	}
}

func TestRepartitionInFlightSplitsRange(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	first := sends(d.Step(0, arrival(1)))[0]
	again := sends(d.Step(0, statusReply(first, ReplyNotOwner)))[0]
	if rest := d.Step(0, statusReply(again, ReplyNotOwner)); len(finishes(rest)) != 0 {
		t.Fatal("gave up before the new configuration came")
	}
	divided := configuration(2, 2)
	divided.Service.KeySpace.End = keysPerGroup
	divided.Service.Groups[0].Range = coverage.Range{Start: 0, End: 30}
	divided.Service.Groups[1].Range = coverage.Range{Start: 30, End: keysPerGroup}
	sent := sends(d.Step(time.Millisecond, divided))
	sent = append(sent, sends(d.Step(2*time.Millisecond, ServerReported{Server: "1/0", Snapshots: []SnapshotID{7}}))...)
	if len(sent) != 2 {
		t.Fatalf("sent %+v", sent)
	}
	d.Step(3*time.Millisecond, doneReply(sent[0]))
	o := outcome(t, d.Step(3*time.Millisecond, doneReply(sent[1])))
	if !o.Complete || len(o.Parts) != 2 || o.Parts[0].Range.End != 30 {
		t.Fatalf("outcome %+v", o)
	}
}

func TestQueryRestartsOnAnotherSnapshot(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	sent := sends(d.Step(0, arrival(1)))
	d.Step(0, doneReply(sent[0]))
	d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{8}})
	lacking := statusReply(sent[1], ReplyUnknownSnapshot)
	lacking.Reply.Snapshots = []SnapshotID{8}
	over := sends(d.Step(0, lacking))
	if len(over) != 2 || over[0].Snapshot != 8 || over[1].Snapshot != 8 {
		t.Fatalf("sent %+v", over)
	}
	d.Step(0, doneReply(over[0]))
	o := outcome(t, d.Step(0, doneReply(over[1])))
	if !o.Complete || o.Snapshot != 8 || len(o.Parts) != 2 {
		t.Fatalf("outcome %+v", o)
	}
}

func TestNonRepeatableQueryDoesNotRestartAfterExecution(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	q := arrival(1)
	q.Query.Repeatable = false
	sent := sends(d.Step(0, q))
	d.Step(0, doneReply(sent[0]))
	d.Step(0, ServerReported{Server: "0/0", Snapshots: []SnapshotID{8}})
	lacking := statusReply(sent[1], ReplyUnknownSnapshot)
	lacking.Reply.Snapshots = []SnapshotID{8}
	actions := d.Step(0, lacking)
	if len(sends(actions)) != 0 {
		t.Fatal("started over")
	}
	if o := outcome(t, actions); o.Coverage != 0.5 || o.Snapshot != 7 {
		t.Fatalf("outcome %+v", o)
	}
}

func TestMismatchedReplyIsRejected(t *testing.T) {
	d := newConfigured(Options{}, 2, 1)
	sent := sends(d.Step(0, arrival(1)))
	crossed := doneReply(sent[0])
	crossed.Reply.Range = sent[1].Range
	d.Step(0, crossed)
	other := doneReply(sent[1])
	other.Reply.Snapshot = 6
	d.Step(0, other)
	o := outcome(t, d.Step(time.Second, TimerFired{}))
	if len(o.Parts) != 0 || o.Execution != ExecutionUnknown {
		t.Fatalf("outcome %+v", o)
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
		t.Fatal("stopped while the rest may come")
	}
	o := outcome(t, d.Step(30*time.Millisecond, TimerFired{}))
	if o.Reason != ReasonEnoughCoverage || o.Complete || o.Coverage != 0.875 || o.Execution != ExecutionDone {
		t.Fatalf("outcome %+v", o)
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
		t.Fatalf("outcome %+v", o)
	}
}
