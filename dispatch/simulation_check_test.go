package dispatch

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

// checkOutcome checks a final outcome against what the servers did.
func (sim *simulation) checkOutcome(action Finish) {
	q := sim.queries[action.Query]
	q.finishes++
	o := action.Outcome
	q.outcome = &o
	var covered coverage.Set
	for _, part := range o.Parts {
		if covered.Overlaps(part.Range) {
			sim.reportViolation("query %d: parts overlap", q.ID)
		}
		covered.Add(part.Range)
		sim.checkPart(q, o.Snapshot, part)
	}
	space := sim.config.Service.KeySpace
	if got := covered.Fraction(space); got != o.Coverage || o.Complete != (got == 1) {
		sim.reportViolation("query %d: coverage %v, parts hold %v", q.ID, o.Coverage, got)
	}
	if o.Execution != ExecutionDone && o.RetryAfter <= 0 {
		sim.reportViolation("query %d: no time to come back", q.ID)
	}
	if o.Execution == ExecutionNotRun && (q.anyMayHaveRun || sim.inFlight(q)) {
		sim.reportViolation("query %d: said not run", q.ID)
	}
	if o.Execution == ExecutionDone && o.Coverage < sim.requiredCoverage(q) {
		sim.reportViolation("query %d: coverage %v is below the minimum", q.ID, o.Coverage)
	}
	if sim.now > q.arrived+q.Remaining+time.Microsecond {
		sim.reportViolation("query %d: answered %v late", q.ID, sim.now-q.arrived-q.Remaining)
	}
}

func (sim *simulation) requiredCoverage(q *callerQuery) float64 {
	i := slices.IndexFunc(sim.config.Classes, func(c policy.Class) bool { return c.Name == q.Class })
	return sim.config.Classes[i].MinimumCoverage
}

// inFlight reports whether an attempt of the query has been sent and has not ended.
func (sim *simulation) inFlight(q *callerQuery) bool {
	for _, s := range sim.attempts {
		if s.query == q && !s.reported {
			return true
		}
	}
	return false
}

// checkPart checks that the part is the reply to an attempt of the same query on the pinned
// snapshot.
func (sim *simulation) checkPart(q *callerQuery, pinned SnapshotID, part Part) {
	for _, s := range sim.attempts {
		if s.reported && s.body == part.Body {
			if s.query != q || s.Snapshot != pinned || s.Range != part.Range || s.Server != part.Server {
				sim.reportViolation("query %d holds attempt %d of query %d", q.ID, s.Attempt, s.Query)
			}
			return
		}
	}
	sim.reportViolation("query %d holds a reply that no server gave", q.ID)
}

func (sim *simulation) checkEnd() {
	for id := range QueryID(simulationQueries) {
		if q := sim.queries[id+1]; q.finishes != 1 {
			sim.reportViolation("query %d has %d final answers", q.ID, q.finishes)
		}
	}
	for _, s := range sim.d.servers {
		if s.limiter.InFlight() != 0 {
			sim.reportViolation("server %s has %d in flight", s.ID, s.limiter.InFlight())
		}
	}
	if bound := float64(sim.firstSends)*maxHedgeShare + 20; sim.d.budget.Spent() > bound {
		sim.reportViolation("spent %v of %v", sim.d.budget.Spent(), bound)
	}
	if len(sim.d.running)+len(sim.d.attempts)+len(sim.d.requests)+sim.d.queue.Len() > 0 {
		sim.reportViolation("something is left over")
	}
}
