package gather_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
)

// wideEnvironment is an Environment with many groups that all have the typical latency. It
// counts the calls of ExpectedLatency.
type wideEnvironment struct {
	stubEnvironment
	groups        int
	expectedCalls int
}

func (e *wideEnvironment) Targets(coverage.Range) []gather.Target {
	targets := make([]gather.Target, 0, e.groups)
	for i := range e.groups {
		targets = append(targets, gather.Target{
			Range: coverage.Range{Start: uint64(i), End: uint64(i + 1)},
			Group: i,
		})
	}
	return targets
}

func (e *wideEnvironment) TypicalLatency() time.Duration { return time.Millisecond }

func (e *wideEnvironment) ExpectedLatency(*gather.Segment) time.Duration {
	e.expectedCalls++
	return time.Millisecond
}

// A query with many segments must not visit all open segments after each reply.
func TestStopDecisionCostIsConstantPerReply(t *testing.T) {
	const groups = 350
	e := &wideEnvironment{groups: groups}
	q := gather.New(gather.Options{
		KeySpace:   coverage.Range{End: groups},
		Snapshot:   7,
		Deadline:   time.Second,
		Repeatable: true,
		Stop:       gather.StopWhenSlow{},
	}, e)
	q.Start(0)
	for _, attempt := range e.sent {
		q.HandleReply(0, attempt, doneReply(attempt))
	}
	if e.outcome == nil || !e.outcome.Complete {
		t.Fatalf("outcome %+v, want a complete one", e.outcome)
	}
	if e.expectedCalls > groups {
		t.Fatalf("ExpectedLatency called %d times for %d replies", e.expectedCalls, groups)
	}
}
