package gather_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
)

// wide is an Environment with many groups, all as quick as is typical. It
// counts how often it is asked what to expect.
type wide struct {
	fixed
	groups int
	asked  int
}

func (w *wide) Targets(coverage.Range) []gather.Target {
	targets := make([]gather.Target, 0, w.groups)
	for i := range w.groups {
		targets = append(targets, gather.Target{
			Range: coverage.Range{Start: uint64(i), End: uint64(i + 1)},
			Group: i,
		})
	}
	return targets
}

func (w *wide) TypicalLatency() time.Duration { return time.Millisecond }

func (w *wide) ExpectedLatency(*gather.Segment) time.Duration {
	w.asked++
	return time.Millisecond
}

// TestStoppingIsWeighedInConstantTime: a query with many segments looks at few
// of those still awaited after each reply.
func TestStoppingIsWeighedInConstantTime(t *testing.T) {
	const groups = 350
	w := &wide{groups: groups}
	q := gather.New(gather.Options{
		KeySpace:   coverage.Range{End: groups},
		Snapshot:   7,
		Deadline:   time.Second,
		Repeatable: true,
		Stop:       gather.StopWhenSlow{},
	}, w)
	q.Start(0)
	for _, attempt := range w.sent {
		q.HandleReply(0, attempt, done(attempt))
	}
	if w.outcome == nil || !w.outcome.Complete {
		t.Fatalf("outcome %+v", w.outcome)
	}
	if w.asked > groups {
		t.Fatalf("asked %d times what to expect, for %d replies", w.asked, groups)
	}
}
