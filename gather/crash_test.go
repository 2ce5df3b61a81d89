package gather_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
)

func repeatableOptions(suspected bool) gather.Options {
	return gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, Repeatable: true, CrashSuspect: suspected, MaximumRounds: 2}
}

// After a server crash, a query sends nothing while an attempt is in flight and then one
// sub-request at a time. It is given up at the third crash.
func TestServerCrashSerializesSends(t *testing.T) {
	e := &stubEnvironment{budget: 10}
	q := gather.New(repeatableOptions(false), e)
	q.Start(0)
	q.HandleFailure(time.Millisecond, e.sent[0], gather.ServerCrashed, "")
	if len(e.sent) != 2 {
		t.Fatalf("%d sub-requests sent while another attempt is in flight; want 2", len(e.sent))
	}
	q.HandleFailure(2*time.Millisecond, e.sent[1], gather.ServerCrashed, "")
	if len(e.sent) != 3 || !e.sent[2].Alone || e.sent[0].Alone || e.sent[1].Alone {
		t.Fatalf("%d sub-requests sent after both servers crashed; want one more, alone", len(e.sent))
	}
	q.HandleFailure(3*time.Millisecond, e.sent[2], gather.ServerCrashed, "")
	if len(e.sent) != 3 || e.outcome == nil || e.outcome.Reason != gather.ReasonCrashesServers || e.outcome.Execution != gather.ExecutionUnknown {
		t.Fatalf("%d sub-requests sent, outcome %+v; want 3 and the query given up", len(e.sent), e.outcome)
	}
}

func TestAnswerRestoresParallelSends(t *testing.T) {
	e := &stubEnvironment{budget: 10}
	q := gather.New(repeatableOptions(false), e)
	q.Start(0)
	q.HandleFailure(time.Millisecond, e.sent[0], gather.ServerCrashed, "")
	q.HandleReply(2*time.Millisecond, e.sent[1], doneReply(e.sent[1]))
	if len(e.sent) != 3 || e.sent[2].Alone {
		t.Fatalf("%d sub-requests sent after a segment was answered; want 3, none alone", len(e.sent))
	}
	q.HandleReply(3*time.Millisecond, e.sent[2], doneReply(e.sent[2]))
	if e.outcome == nil || !e.outcome.Complete {
		t.Fatalf("outcome %+v, want a complete one", e.outcome)
	}
}

// A crash suspect sends to one server first and to all others once that one has answered. A
// reply that says that the sub-request was not run proves nothing.
func TestCrashSuspectSendsOneAtATime(t *testing.T) {
	e := &stubEnvironment{budget: 10, hedge: time.Millisecond}
	q := gather.New(repeatableOptions(true), e)
	q.Start(0)
	q.Tick(10 * time.Millisecond)
	if len(e.sent) != 1 || !e.sent[0].Alone {
		t.Fatalf("%d sub-requests sent; want one, alone", len(e.sent))
	}
	q.HandleReply(11*time.Millisecond, e.sent[0], gather.Reply{Status: gather.ReplyShed})
	if len(e.sent) != 2 || !e.sent[1].Alone {
		t.Fatalf("%d sub-requests sent after a server shed the first; want one more, alone", len(e.sent))
	}
	q.HandleReply(12*time.Millisecond, e.sent[1], doneReply(e.sent[1]))
	if len(e.sent) != 3 || e.sent[2].Alone {
		t.Fatalf("%d sub-requests sent after an answer; want 3, the last not alone", len(e.sent))
	}
}

// Without a retry budget, a segment that failed is given up and the next held one is sent.
func TestHeldSegmentIsSentAfterAnotherIsGivenUp(t *testing.T) {
	e := &stubEnvironment{}
	q := gather.New(repeatableOptions(true), e)
	q.Start(0)
	q.HandleFailure(time.Millisecond, e.sent[0], gather.ServerCrashed, "") // no budget for a retry
	if len(e.sent) != 2 || e.sent[1].Range == e.sent[0].Range {
		t.Fatalf("%d sub-requests sent; want one for each segment", len(e.sent))
	}
	q.Tick(time.Second)
	if e.outcome == nil || e.outcome.Reason != gather.ReasonDeadline {
		t.Fatalf("outcome %+v, want one at the deadline", e.outcome)
	}
}

// startWithResetConnections starts a query of two segments whose servers both close their
// connections.
func startWithResetConnections(t *testing.T) (*stubEnvironment, *gather.Query) {
	e := &stubEnvironment{budget: 10}
	q := gather.New(repeatableOptions(false), e)
	q.Start(0)
	q.HandleFailure(time.Millisecond, e.sent[0], gather.CrashUnconfirmed, "")
	if len(e.sent) != 3 || e.sent[2].Alone {
		t.Fatalf("%d sub-requests sent after a lost connection; want an immediate retry", len(e.sent))
	}
	q.HandleFailure(2*time.Millisecond, e.sent[1], gather.CrashUnconfirmed, "")
	if len(e.sent) != 3 {
		t.Fatalf("%d sub-requests sent while a retry is in flight and crashes are unconfirmed; want 3", len(e.sent))
	}
	return e, q
}

// A lost connection must not delay the request. Until a segment has been answered, and while
// servers may have crashed, only one further server is tried.
func TestUnconfirmedCrashesAllowOneRetry(t *testing.T) {
	t.Run("ended", func(t *testing.T) {
		e, q := startWithResetConnections(t)
		q.ResolveCrash(3*time.Millisecond, true)
		q.ResolveCrash(3*time.Millisecond, false)
		if len(e.sent) != 3 {
			t.Fatalf("%d sub-requests sent beside the retry of a query that crashed a server; want 3", len(e.sent))
		}
		q.HandleFailure(4*time.Millisecond, e.sent[2], gather.ServerCrashed, "")
		if len(e.sent) != 4 || !e.sent[3].Alone {
			t.Fatalf("%d sub-requests sent; want one more, alone", len(e.sent))
		}
	})
	t.Run("lost", func(t *testing.T) {
		e, q := startWithResetConnections(t)
		q.ResolveCrash(3*time.Millisecond, false)
		q.ResolveCrash(3*time.Millisecond, false)
		if len(e.sent) != 4 || e.sent[3].Alone {
			t.Fatalf("%d sub-requests sent after neither server turned out to have crashed; want 4, none alone", len(e.sent))
		}
	})
	t.Run("answered", func(t *testing.T) {
		e, q := startWithResetConnections(t)
		q.HandleReply(3*time.Millisecond, e.sent[2], doneReply(e.sent[2]))
		if len(e.sent) != 4 || !q.HasSurvivor() {
			t.Fatalf("%d sub-requests sent after an answer; want 4 and a survivor", len(e.sent))
		}
	})
	t.Run("finished", func(t *testing.T) {
		e, q := startWithResetConnections(t)
		q.Abort(3*time.Millisecond, gather.ReasonStopping)
		q.ResolveCrash(4*time.Millisecond, true)
		q.ResolveCrash(4*time.Millisecond, false)
		if len(e.sent) != 3 {
			t.Fatalf("%d sub-requests sent after the final outcome; want 3", len(e.sent))
		}
	})
}

// A hedge in flight takes the place of the one retry that is allowed while a crash is
// unconfirmed.
func TestUnconfirmedCrashHoldsRetriesDuringHedge(t *testing.T) {
	e := &stubEnvironment{budget: 10, hedge: time.Millisecond}
	q := gather.New(repeatableOptions(false), e)
	q.Start(0)
	q.Tick(2 * time.Millisecond)
	if len(e.sent) != 3 || e.sent[2].Kind != gather.HedgeSend {
		t.Fatalf("%d sub-requests sent; want 3, the last a hedge", len(e.sent))
	}
	other := e.sent[0]
	if other.Segment == e.sent[2].Segment {
		other = e.sent[1]
	}
	q.HandleFailure(3*time.Millisecond, other, gather.CrashUnconfirmed, "")
	if len(e.sent) != 3 {
		t.Fatalf("%d sub-requests sent beside a hedge; want 3", len(e.sent))
	}
	q.ResolveCrash(4*time.Millisecond, false)
	if len(e.sent) != 4 {
		t.Fatalf("%d sub-requests sent after no server turned out to have crashed; want 4", len(e.sent))
	}
}

// partsEnvironment is an Environment with a configurable number of groups.
type partsEnvironment struct {
	stubEnvironment
	parts int
}

func (e *partsEnvironment) Targets(coverage.Range) []gather.Target {
	var targets []gather.Target
	for part := range uint64(e.parts) {
		targets = append(targets, gather.Target{Range: coverage.Range{Start: part * 10, End: (part + 1) * 10}, Group: int(part)})
	}
	return targets
}

// crashParts starts a query and crashes the servers of all its segments but the first spared
// ones, at the given interval.
func crashParts(parts, spared int, interval time.Duration) (*partsEnvironment, *gather.Query) {
	e := &partsEnvironment{parts: parts, stubEnvironment: stubEnvironment{budget: 100}}
	options := repeatableOptions(false)
	options.KeySpace = coverage.Range{End: uint64(parts) * 10}
	q := gather.New(options, e)
	q.Start(0)
	for i, a := range e.sent[spared:parts] {
		q.HandleFailure(time.Duration(i+1)*interval, a, gather.ServerCrashed, "")
	}
	return e, q
}

// If all servers of a fan-out crash one after the other, nothing more is sent, since an attempt
// sent alone would crash the last server of its group as well. Simultaneous crashes, or crashes
// of only a few segments, prove nothing: servers also crash for other reasons.
func TestFanOutCrashingAllServersIsProven(t *testing.T) {
	for what, test := range map[string]struct {
		parts  int
		apart  time.Duration
		proven bool
	}{
		"one after the other": {10, 10 * time.Millisecond, true},
		"at one moment":       {10, time.Millisecond, false},
		"of a few parts":      {6, 20 * time.Millisecond, false},
	} {
		t.Run(what, func(t *testing.T) {
			e, q := crashParts(test.parts, 0, test.apart)
			if q.CrashedAllServers() != test.proven {
				t.Errorf("CrashedAllServers is %v", q.CrashedAllServers())
			}
			if alone := len(e.sent) - test.parts; test.proven && alone != 0 || !test.proven && alone != 1 {
				t.Errorf("%d sub-requests sent after all servers have crashed", alone)
			}
		})
	}
}

// Servers that do not respond have not crashed: a fan-out that runs into its deadline proves
// nothing.
func TestSilentServersAreNotCrashed(t *testing.T) {
	e, q := crashParts(12, 1, 10*time.Millisecond)
	q.Tick(time.Second)
	if e.outcome == nil || e.outcome.Reason != gather.ReasonDeadline || q.CrashedAllServers() {
		t.Errorf("outcome %+v, CrashedAllServers %v; want one at the deadline without proof", e.outcome, q.CrashedAllServers())
	}
}

// A query without an answer is a crash suspect after three crashes that are spread over time.
func TestIsCrashSuspectUntilAnswered(t *testing.T) {
	if _, q := crashParts(10, 8, 10*time.Millisecond); q.IsCrashSuspect() {
		t.Error("crash suspect after two crashes")
	}
	if _, q := crashParts(10, 7, 100*time.Microsecond); q.IsCrashSuspect() {
		t.Error("crash suspect after simultaneous crashes")
	}
	e, q := crashParts(10, 7, 10*time.Millisecond)
	if !q.IsCrashSuspect() {
		t.Error("not a crash suspect after three crashes spread over time")
	}
	q.HandleReply(40*time.Millisecond, e.sent[0], doneReply(e.sent[0]))
	if q.IsCrashSuspect() {
		t.Error("still a crash suspect after a server has answered")
	}
}
