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

// A query under which a server ended sends nothing more while something is in flight, then
// one sub-request, and gives up with the third end.
func TestServerCrashSerializesSends(t *testing.T) {
	f := &stubEnvironment{budget: 10}
	q := gather.New(repeatableOptions(false), f)
	q.Start(0)
	q.HandleFailure(time.Millisecond, f.sent[0], gather.ServerCrashed, "")
	if len(f.sent) != 2 {
		t.Fatalf("%d sent while the other part is in flight", len(f.sent))
	}
	q.HandleFailure(2*time.Millisecond, f.sent[1], gather.ServerCrashed, "")
	if len(f.sent) != 3 || !f.sent[2].Alone || f.sent[0].Alone || f.sent[1].Alone {
		t.Fatalf("%d sent after both servers ended; want one alone", len(f.sent))
	}
	q.HandleFailure(3*time.Millisecond, f.sent[2], gather.ServerCrashed, "")
	if len(f.sent) != 3 || f.outcome == nil || f.outcome.Reason != gather.ReasonCrashesServers || f.outcome.Execution != gather.ExecutionUnknown {
		t.Fatalf("%d sent, outcome %+v", len(f.sent), f.outcome)
	}
}

func TestAnswerRestoresParallelSends(t *testing.T) {
	f := &stubEnvironment{budget: 10}
	q := gather.New(repeatableOptions(false), f)
	q.Start(0)
	q.HandleFailure(time.Millisecond, f.sent[0], gather.ServerCrashed, "")
	q.HandleReply(2*time.Millisecond, f.sent[1], doneReply(f.sent[1]))
	if len(f.sent) != 3 || f.sent[2].Alone {
		t.Fatalf("%d sent after a part was answered", len(f.sent))
	}
	q.HandleReply(3*time.Millisecond, f.sent[2], doneReply(f.sent[2]))
	if f.outcome == nil || !f.outcome.Complete {
		t.Fatalf("outcome %+v", f.outcome)
	}
}

// A suspected query asks one server, and all others once that one has answered. A server that
// says that it did not run it proves nothing.
func TestCrashSuspectSendsOneAtATime(t *testing.T) {
	f := &stubEnvironment{budget: 10, hedge: time.Millisecond}
	q := gather.New(repeatableOptions(true), f)
	q.Start(0)
	q.Tick(10 * time.Millisecond)
	if len(f.sent) != 1 || !f.sent[0].Alone {
		t.Fatalf("%d sent", len(f.sent))
	}
	q.HandleReply(11*time.Millisecond, f.sent[0], gather.Reply{Status: gather.ReplyShed})
	if len(f.sent) != 2 || !f.sent[1].Alone {
		t.Fatalf("%d sent after a server shed it", len(f.sent))
	}
	q.HandleReply(12*time.Millisecond, f.sent[1], doneReply(f.sent[1]))
	if len(f.sent) != 3 || f.sent[2].Alone {
		t.Fatalf("%d sent after an answer", len(f.sent))
	}
}

// A part that can't be sent alone lets the next one go.
func TestHeldSegmentIsSentAfterAnotherIsGivenUp(t *testing.T) {
	f := &stubEnvironment{}
	q := gather.New(repeatableOptions(true), f)
	q.Start(0)
	q.HandleFailure(time.Millisecond, f.sent[0], gather.ServerCrashed, "") // no budget for another try
	if len(f.sent) != 2 || f.sent[1].Range == f.sent[0].Range {
		t.Fatalf("%d sent", len(f.sent))
	}
	q.Tick(time.Second)
	if f.outcome == nil || f.outcome.Reason != gather.ReasonDeadline {
		t.Fatalf("outcome %+v", f.outcome)
	}
}

// startWithResetConnections starts a query of two parts whose servers both broke their connections off.
func startWithResetConnections(t *testing.T) (*stubEnvironment, *gather.Query) {
	f := &stubEnvironment{budget: 10}
	q := gather.New(repeatableOptions(false), f)
	q.Start(0)
	q.HandleFailure(time.Millisecond, f.sent[0], gather.CrashUnconfirmed, "")
	if len(f.sent) != 3 || f.sent[2].Alone {
		t.Fatalf("%d sent after a lost connection; want a retry at once", len(f.sent))
	}
	q.HandleFailure(2*time.Millisecond, f.sent[1], gather.CrashUnconfirmed, "")
	if len(f.sent) != 3 {
		t.Fatalf("%d sent while a retry is in flight and it is not known whether servers ended", len(f.sent))
	}
	return f, q
}

// A lost connection costs its request no time; while nothing was answered and its servers may
// have ended, one server more is asked.
func TestUnconfirmedCrashesAllowOneRetry(t *testing.T) {
	t.Run("ended", func(t *testing.T) {
		f, q := startWithResetConnections(t)
		q.ResolveCrash(3*time.Millisecond, true)
		q.ResolveCrash(3*time.Millisecond, false)
		if len(f.sent) != 3 {
			t.Fatalf("%d sent beside the retry of a query under which a server ended", len(f.sent))
		}
		q.HandleFailure(4*time.Millisecond, f.sent[2], gather.ServerCrashed, "")
		if len(f.sent) != 4 || !f.sent[3].Alone {
			t.Fatalf("%d sent; want one more, alone", len(f.sent))
		}
	})
	t.Run("lost", func(t *testing.T) {
		f, q := startWithResetConnections(t)
		q.ResolveCrash(3*time.Millisecond, false)
		q.ResolveCrash(3*time.Millisecond, false)
		if len(f.sent) != 4 || f.sent[3].Alone {
			t.Fatalf("%d sent after both connections were found to be lost only", len(f.sent))
		}
	})
	t.Run("answered", func(t *testing.T) {
		f, q := startWithResetConnections(t)
		q.HandleReply(3*time.Millisecond, f.sent[2], doneReply(f.sent[2]))
		if len(f.sent) != 4 || !q.HasSurvivor() {
			t.Fatalf("%d sent after an answer", len(f.sent))
		}
	})
	t.Run("finished", func(t *testing.T) {
		f, q := startWithResetConnections(t)
		q.Abort(3*time.Millisecond, gather.ReasonStopping)
		q.ResolveCrash(4*time.Millisecond, true)
		q.ResolveCrash(4*time.Millisecond, false)
		if len(f.sent) != 3 {
			t.Fatalf("%d sent after the final answer", len(f.sent))
		}
	})
}

// A hedge that is in flight is the one server more.
func TestUnconfirmedCrashHoldsRetriesDuringHedge(t *testing.T) {
	f := &stubEnvironment{budget: 10, hedge: time.Millisecond}
	q := gather.New(repeatableOptions(false), f)
	q.Start(0)
	q.Tick(2 * time.Millisecond)
	if len(f.sent) != 3 || f.sent[2].Kind != gather.HedgeSend {
		t.Fatalf("%d sent, no hedge", len(f.sent))
	}
	other := f.sent[0]
	if other.Segment == f.sent[2].Segment {
		other = f.sent[1]
	}
	q.HandleFailure(3*time.Millisecond, other, gather.CrashUnconfirmed, "")
	if len(f.sent) != 3 {
		t.Fatalf("%d sent beside a hedge", len(f.sent))
	}
	q.ResolveCrash(4*time.Millisecond, false)
	if len(f.sent) != 4 {
		t.Fatalf("%d sent once it is known that nothing ended", len(f.sent))
	}
}

// partsEnvironment is an environment of more parts.
type partsEnvironment struct {
	stubEnvironment
	parts int
}

func (m *partsEnvironment) Targets(coverage.Range) []gather.Target {
	var targets []gather.Target
	for part := range uint64(m.parts) {
		targets = append(targets, gather.Target{Range: coverage.Range{Start: part * 10, End: (part + 1) * 10}, Group: int(part)})
	}
	return targets
}

// crashParts ends the servers of all parts of a query but the first so many, each so long after the
// one before, and returns the query.
func crashParts(parts, spared int, apart time.Duration) (*partsEnvironment, *gather.Query) {
	m := &partsEnvironment{parts: parts, stubEnvironment: stubEnvironment{budget: 100}}
	options := repeatableOptions(false)
	options.KeySpace = coverage.Range{End: uint64(parts) * 10}
	q := gather.New(options, m)
	q.Start(0)
	for place, a := range m.sent[spared:parts] {
		q.HandleFailure(time.Duration(place+1)*apart, a, gather.ServerCrashed, "")
	}
	return m, q
}

// Where all servers of a fan-out have ended, one after the other, nothing more is sent: a send
// alone would take the last server of its part with it. Ends at one moment, or of a few parts, are
// no proof: servers crash.
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
			m, q := crashParts(test.parts, 0, test.apart)
			if q.CrashedAllServers() != test.proven {
				t.Errorf("proven %v", q.CrashedAllServers())
			}
			if alone := len(m.sent) - test.parts; test.proven && alone != 0 || !test.proven && alone != 1 {
				t.Errorf("%d sent after all have ended", alone)
			}
		})
	}
}

// Servers that say nothing have not ended: nothing is proven of a fan-out that runs into its deadline.
func TestSilentServersAreNotCrashed(t *testing.T) {
	m, q := crashParts(12, 1, 10*time.Millisecond)
	q.Tick(time.Second)
	if m.outcome == nil || m.outcome.Reason != gather.ReasonDeadline || q.CrashedAllServers() {
		t.Errorf("outcome %+v, proven %v", m.outcome, q.CrashedAllServers())
	}
}

// Three ends, one after the other, speak against a query that nobody has answered.
func TestIsCrashSuspectUntilAnswered(t *testing.T) {
	if _, q := crashParts(10, 8, 10*time.Millisecond); q.IsCrashSuspect() {
		t.Error("two ends speak against it")
	}
	if _, q := crashParts(10, 7, 100*time.Microsecond); q.IsCrashSuspect() {
		t.Error("ends at one moment speak against it")
	}
	m, q := crashParts(10, 7, 10*time.Millisecond)
	if !q.IsCrashSuspect() {
		t.Error("three ends, one after the other, don't speak against it")
	}
	q.HandleReply(40*time.Millisecond, m.sent[0], doneReply(m.sent[0]))
	if q.IsCrashSuspect() {
		t.Error("they speak against it though a server has answered")
	}
}
