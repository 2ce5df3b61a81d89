package gather

import (
	"cmp"
	"slices"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// restart restarts the whole query on another snapshot if that snapshot can serve more keys
// than the pinned one can without the excluded segment. It reports whether the query was
// restarted.
func (q *Query) restart(excluded *Segment) bool {
	if q.restarts >= q.options.MaximumRestarts || !q.canRestart() {
		return false
	}
	if q.options.Deadline-q.now <= q.environment.TypicalLatency() {
		return false
	}
	tried := append(slices.Clone(q.abandonedSnapshots), q.snapshot)
	servable := q.options.KeySpace.Size() - q.lostKeys - excluded.Range.Size()
	next, ok := q.environment.NextSnapshot(tried, servable)
	if !ok {
		return false
	}
	if price := q.restartPrice(); price > 0 && !q.environment.SpendRetry(q, price) {
		return false
	}
	q.restartOn(next, tried)
	return true
}

// canRestart reports whether the whole query may be sent again.
func (q *Query) canRestart() bool {
	return q.options.Repeatable || !q.executed && !q.outcomeUnknown && q.pendingCount() == 0
}

// restartPrice returns the cost of the work that a restart would repeat.
func (q *Query) restartPrice() float64 {
	done := 0
	for _, s := range q.segments {
		if s.state == answered || len(s.pending) > 0 {
			done++
		}
	}
	return float64(done) * FullPrice
}

func (q *Query) pendingCount() int {
	count := 0
	for _, s := range q.open {
		count += len(s.pending)
	}
	return count
}

// restartOn discards all gathered answers and sends the query again on the next snapshot.
func (q *Query) restartOn(next snapshot.ID, tried []snapshot.ID) {
	q.recordRangeStep("started over on another snapshot", q.options.KeySpace)
	for _, s := range q.segments {
		if s.isOpen() {
			q.cancelPending(s)
		}
		q.setState(s, closed)
	}
	q.restarts++
	q.abandonedSnapshots = tried
	q.snapshot = next
	q.coveredKeys = 0
	q.firstFailure = ""
	q.fanOut(RetrySend)
}

// cancelPending cancels the segment's pending attempts. Their outcome remains unknown.
func (q *Query) cancelPending(s *Segment) {
	for _, a := range s.pending {
		a.pending = false
		q.outcomeUnknown = true
		q.recordStep("cancelled", a)
		q.environment.Cancel(a)
	}
	s.pending = s.pending[:0]
}

// finish cancels all pending attempts and delivers the final outcome.
func (q *Query) finish(reason Reason) {
	q.finished = true
	for _, s := range q.open {
		q.cancelPending(s)
	}
	outcome := Outcome{Reason: reason}
	var covered coverage.Set
	outcome.Parts, covered = q.collectParts()
	outcome.Coverage = covered.Fraction(q.options.KeySpace)
	outcome.Complete = outcome.Coverage == 1
	if len(outcome.Parts) > 0 {
		outcome.Snapshot = q.snapshot
	}
	outcome.Execution = q.classifyExecution(&outcome)
	outcome.Explanation = q.steps
	q.open, q.segments, q.dueSegments = nil, nil, nil
	q.environment.Finish(q, outcome)
}

// collectParts returns the accepted replies, sorted by range, and the union of their ranges.
func (q *Query) collectParts() ([]Part, coverage.Set) {
	var covered coverage.Set
	parts := make([]Part, 0, len(q.segments))
	for _, s := range q.segments {
		if s.state == answered {
			parts = append(parts, Part{Range: s.Range, Server: s.answeredBy.ServerID(), Body: s.body})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Range.Start, b.Range.Start) })
	for _, part := range parts {
		covered.Add(part.Range)
	}
	return parts, covered
}

// classifyExecution returns whether, and how far, the query was executed.
func (q *Query) classifyExecution(outcome *Outcome) Execution {
	enough := len(outcome.Parts) > 0 && outcome.Coverage >= q.options.RequiredCoverage
	switch {
	case enough && outcome.Reason != ReasonCallerGone:
		return ExecutionDone
	case q.executed:
		return ExecutionPartial
	case q.outcomeUnknown:
		return ExecutionUnknown
	default:
		return ExecutionNotRun
	}
}
