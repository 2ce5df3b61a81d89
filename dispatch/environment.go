package dispatch

import (
	"math"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/retry"
	"github.com/banksail/banksail/snapshot"
)

// environment adapts a Dispatcher to gather.Environment.
type environment Dispatcher

// Generation implements gather.Environment.
func (e *environment) Generation() uint64 { return e.generation }

// Targets implements gather.Environment.
func (e *environment) Targets(r coverage.Range) []gather.Target {
	return (*Dispatcher)(e).targetsOf(r)
}

// Place implements gather.Environment. If no server has capacity, the segment is enqueued to
// wait for it, unless it is a hedge or its group is overloaded.
func (e *environment) Place(s *gather.Segment, kind SendKind) (gather.Server, gather.Placement) {
	d := (*Dispatcher)(e)
	g := s.Group.(*group)
	chosen, placement := d.chooseReplica(g, s, kind)
	if placement == gather.Placed {
		return chosen, placement
	}
	if placement != gather.Busy || kind == HedgeSend {
		return nil, placement
	}
	if kind == FirstSend && d.isOverloaded(g, runningOf(s.Query())) {
		return nil, gather.Overloaded
	}
	d.enqueueSegment(g, s)
	return nil, placement
}

// HedgeDelay implements gather.Environment.
func (e *environment) HedgeDelay(s *gather.Segment) (time.Duration, bool) {
	g := s.Group.(*group)
	if len(g.servers) < 2 {
		return 0, false
	}
	return e.options.HedgePolicy.Delay(retry.HedgeInput{
		Share:   runningOf(s.Query()).class.HedgeShare,
		Group:   g.latencies,
		Service: &e.latencies,
	})
}

// SpendHedge implements gather.Environment.
func (e *environment) SpendHedge(q *gather.Query, price float64) bool {
	return e.budget.SpendHedge(runningOf(q).class.rank, price)
}

// SpendRetry implements gather.Environment.
func (e *environment) SpendRetry(q *gather.Query, price float64) bool {
	return e.budget.SpendRetry(runningOf(q).class.rank, price)
}

// NextSnapshot implements gather.Environment.
func (e *environment) NextSnapshot(tried []snapshot.ID, keys uint64) (snapshot.ID, bool) {
	choice, ok := e.catalog.Choose(tried...)
	return choice.ID, ok && choice.Keys > keys
}

// TypicalLatency implements gather.Environment.
func (e *environment) TypicalLatency() time.Duration {
	return e.latencies.Quantile(e.options.TypicalQuantile)
}

// ExpectedLatency implements gather.Environment.
func (e *environment) ExpectedLatency(s *gather.Segment) time.Duration {
	median := float64(e.latencies.Quantile(medianQuantile))
	lowest := math.Inf(1)
	for _, replica := range s.Group.(*group).servers {
		if !replica.isLeaving() {
			lowest = min(lowest, replica.expectedLatency(e.now, median, e.options.LatencyHalfLife))
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return time.Duration(lowest)
}

// minBackoff is the delay before the first retry round; it doubles with each round.
const minBackoff = 10 * time.Millisecond

// Backoff implements gather.Environment. It adds up to 50% of random jitter.
func (e *environment) Backoff(round int) time.Duration {
	backoff := minBackoff << min(round, maxDoublings)
	return backoff + time.Duration(e.random.Float64()*float64(backoff)/2)
}

// NextAttemptID implements gather.Environment.
func (e *environment) NextAttemptID() AttemptID {
	e.lastAttemptID++
	return e.lastAttemptID
}

// Send implements gather.Environment.
func (e *environment) Send(a *gather.Attempt) {
	d := (*Dispatcher)(e)
	q := a.Query()
	r := runningOf(q)
	s := a.Server.(*server)
	d.attempts[a.ID] = a
	s.limiter.Start()
	if a.Kind == FirstSend {
		d.budget.Credit(r.class.rank, 1, r.class.HedgeShare)
	}
	d.emit(Send{
		Attempt:   a.ID,
		Query:     r.request.ID,
		Server:    s.ID,
		Address:   s.Address,
		Range:     a.Range,
		Snapshot:  a.Snapshot,
		Remaining: q.Deadline() - d.now,
		Kind:      a.Kind,
	})
	d.updateCapacity(s)
}

// Cancel implements gather.Environment.
func (e *environment) Cancel(a *gather.Attempt) {
	(*Dispatcher)(e).emit(Cancel{Attempt: a.ID})
}

// Finish implements gather.Environment.
func (e *environment) Finish(q *gather.Query, outcome Outcome) {
	d := (*Dispatcher)(e)
	r := runningOf(q)
	r.query = nil
	delete(d.running, r.request.ID)
	if outcome.Execution != ExecutionDone {
		outcome.RetryAfter = d.options.RetryAfter
	}
	d.emit(Finish{Query: r.request.ID, Outcome: outcome})
}
