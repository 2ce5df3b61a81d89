package gather_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
)

// wideEnvironment is an Environment with many groups, all as quick as is typical. It
// counts how often it is asked what to expect.
type wideEnvironment struct {
	stubEnvironment
	groups int
	asked  int
}

func (w *wideEnvironment) Targets(coverage.Range) []gather.Target {
	targets := make([]gather.Target, 0, w.groups)
	for i := range w.groups {
		targets = append(targets, gather.Target{
			Range: coverage.Range{Start: uint64(i), End: uint64(i + 1)},
			Group: i,
		})
	}
	return targets
}

func (w *wideEnvironment) TypicalLatency() time.Duration { return time.Millisecond }

func (w *wideEnvironment) ExpectedLatency(*gather.Segment) time.Duration {
	w.asked++
	return time.Millisecond
}

// TestStopDecisionCostIsConstantPerReply: a query with many segments looks at few
// of those still awaited after each reply.
func TestStopDecisionCostIsConstantPerReply(t *testing.T) {
	const groups = 350
	w := &wideEnvironment{groups: groups}
	q := gather.New(gather.Options{
		KeySpace:   coverage.Range{End: groups},
		Snapshot:   7,
		Deadline:   time.Second,
		Repeatable: true,
		Stop:       gather.StopWhenSlow{},
	}, w)
	q.Start(0)
	for _, attempt := range w.sent {
		q.HandleReply(0, attempt, doneReply(attempt))
	}
	if w.outcome == nil || !w.outcome.Complete {
		t.Fatalf("outcome %+v", w.outcome)
	}
	if w.asked > groups {
		t.Fatalf("asked %d times what to expect, for %d replies", w.asked, groups)
	}
}
