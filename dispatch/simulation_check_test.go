package dispatch

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

// checkOutcome checks a final answer against what the servers did.
func (w *simulation) checkOutcome(action Finish) {
	q := w.queries[action.Query]
	q.finishes++
	o := action.Outcome
	q.outcome = &o
	var covered coverage.Set
	for _, part := range o.Parts {
		if covered.Overlaps(part.Range) {
			w.reportViolation("query %d: parts overlap", q.ID)
		}
		covered.Add(part.Range)
		w.checkPart(q, o.Snapshot, part)
	}
	space := w.config.Service.KeySpace
	if got := covered.Fraction(space); got != o.Coverage || o.Complete != (got == 1) {
		w.reportViolation("query %d: coverage %v, parts hold %v", q.ID, o.Coverage, got)
	}
	if o.Execution != ExecutionDone && o.RetryAfter <= 0 {
		w.reportViolation("query %d: no time to come back", q.ID)
	}
	if o.Execution == ExecutionNotRun && (q.anyMayHaveRun || w.inFlight(q)) {
		w.reportViolation("query %d: said not run", q.ID)
	}
	if o.Execution == ExecutionDone && o.Coverage < w.requiredCoverage(q) {
		w.reportViolation("query %d: coverage %v is below the minimum", q.ID, o.Coverage)
	}
	if w.now > q.arrived+q.Remaining+time.Microsecond {
		w.reportViolation("query %d: answered %v late", q.ID, w.now-q.arrived-q.Remaining)
	}
}

func (w *simulation) requiredCoverage(q *callerQuery) float64 {
	i := slices.IndexFunc(w.config.Classes, func(c policy.Class) bool { return c.Name == q.Class })
	return w.config.Classes[i].MinimumCoverage
}

// inFlight reports whether an attempt of the query was sent and not reported.
func (w *simulation) inFlight(q *callerQuery) bool {
	for _, s := range w.attempts {
		if s.query == q && !s.reported {
			return true
		}
	}
	return false
}

// checkPart checks that the part is the reply to the query's own attempt, under
// the answer's snapshot.
func (w *simulation) checkPart(q *callerQuery, pinned SnapshotID, part Part) {
	for _, s := range w.attempts {
		if s.reported && s.body == part.Body {
			if s.query != q || s.Snapshot != pinned || s.Range != part.Range || s.Server != part.Server {
				w.reportViolation("query %d holds attempt %d of query %d", q.ID, s.Attempt, s.Query)
			}
			return
		}
	}
	w.reportViolation("query %d holds a reply that no server gave", q.ID)
}

func (w *simulation) checkEnd() {
	for id := range QueryID(simulationQueries) {
		if q := w.queries[id+1]; q.finishes != 1 {
			w.reportViolation("query %d has %d final answers", q.ID, q.finishes)
		}
	}
	for _, s := range w.d.servers {
		if s.limiter.InFlight() != 0 {
			w.reportViolation("server %s has %d in flight", s.ID, s.limiter.InFlight())
		}
	}
	if bound := float64(w.firstSends)*maxHedgeShare + 20; w.d.budget.Spent() > bound {
		w.reportViolation("spent %v of %v", w.d.budget.Spent(), bound)
	}
	if len(w.d.running)+len(w.d.attempts)+len(w.d.requests)+w.d.queue.Len() > 0 {
		w.reportViolation("something is left over")
	}
}
