package gather

import (
	"cmp"
	"slices"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// restart starts over whole on another snapshot when that can serve more than
// the pinned one without the segment. It reports whether it did.
func (q *Query) restart(without *Segment) bool {
	if q.restarts >= q.options.MaximumRestarts || !q.mayRestart() {
		return false
	}
	if q.options.Deadline-q.now <= q.environment.TypicalLatency() {
		return false
	}
	tried := append(slices.Clone(q.dropped), q.snapshot)
	servable := q.options.KeySpace.Size() - q.lost - without.Range.Size()
	next, ok := q.environment.NextSnapshot(tried, servable)
	if !ok {
		return false
	}
	if price := q.restartPrice(); price > 0 && !q.environment.SpendRetry(q, price) {
		return false
	}
	q.startOver(next, tried)
	return true
}

// mayRestart reports whether the whole query may be sent again.
func (q *Query) mayRestart() bool {
	return q.options.Repeatable || !q.ran && !q.unknown && q.liveCount() == 0
}

// restartPrice is the price of the work that is done again.
func (q *Query) restartPrice() float64 {
	done := 0
	for _, s := range q.segments {
		if s.state == answered || len(s.live) > 0 {
			done++
		}
	}
	return float64(done) * FullPrice
}

func (q *Query) liveCount() int {
	count := 0
	for _, s := range q.open {
		count += len(s.live)
	}
	return count
}

// startOver drops all that was gathered and begins on another snapshot.
func (q *Query) startOver(next snapshot.ID, tried []snapshot.ID) {
	q.explainRange("started over on another snapshot", q.options.KeySpace)
	for _, s := range q.segments {
		if s.isOpen() {
			q.cancelLive(s)
		}
		q.setState(s, closed)
	}
	q.restarts++
	q.dropped = tried
	q.snapshot = next
	q.covered = 0
	q.failure = ""
	q.begin(RetrySend)
}

// cancelLive cancels the attempts that the segment still awaits.
func (q *Query) cancelLive(s *Segment) {
	for _, a := range s.live {
		a.live = false
		q.unknown = true
		q.explain("cancelled", a)
		q.environment.Cancel(a)
	}
	s.live = s.live[:0]
}

// finish gives the final answer.
func (q *Query) finish(reason Reason) {
	q.finished = true
	for _, s := range q.open {
		q.cancelLive(s)
	}
	outcome := Outcome{Reason: reason}
	var covered coverage.Set
	outcome.Parts, covered = q.parts()
	outcome.Coverage = covered.Fraction(q.options.KeySpace)
	outcome.Complete = outcome.Coverage == 1
	if len(outcome.Parts) > 0 {
		outcome.Snapshot = q.snapshot
	}
	outcome.Execution = q.verdict(&outcome)
	outcome.Explanation = q.steps
	q.open, q.segments, q.due = nil, nil, nil
	q.environment.Finish(q, outcome)
}

// parts lists the replies taken, sorted, and the union of their ranges.
func (q *Query) parts() ([]Part, coverage.Set) {
	var covered coverage.Set
	parts := make([]Part, 0, len(q.segments))
	for _, s := range q.segments {
		if s.state == answered {
			parts = append(parts, Part{Range: s.Range, Server: s.server.ServerID(), Body: s.body})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Range.Start, b.Range.Start) })
	for _, part := range parts {
		covered.Add(part.Range)
	}
	return parts, covered
}

// verdict tells what ran.
func (q *Query) verdict(outcome *Outcome) Execution {
	enough := len(outcome.Parts) > 0 && outcome.Coverage >= q.options.RequiredCoverage
	switch {
	case enough && outcome.Reason != ReasonCallerGone:
		return ExecutionDone
	case q.ran:
		return ExecutionPartial
	case q.unknown:
		return ExecutionUnknown
	default:
		return ExecutionNotRun
	}
}
