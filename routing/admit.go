package routing

import (
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
)

// urgencyStep is the part of the bound on running requests that each rank of
// priority leaves to those above it.
const urgencyStep = 0.15

// crowdedTail is the multiple of the usual latency that the slowest part of a
// request takes once it is sent, while servers are crowded.
const crowdedTail = 3

// refusal tells why a request can't be taken now; empty when it can.
func (r *Router) refusal(q *request) gather.Reason {
	bound := float64(r.options.MaxInFlightRequests) * max(1-urgencyStep*float64(q.asked.Route.Priority), urgencyStep)
	switch {
	case r.stopping:
		return gather.ReasonStopping
	case q.asked.Remaining <= 0:
		return gather.ReasonDeadline
	case float64(len(r.running)) >= bound:
		return gather.ReasonOverload
	case r.unservable(q):
		return gather.ReasonNoServer
	case r.pressed(q):
		return gather.ReasonQueueWait
	default:
		return ""
	}
}

// refuse gives the final answer to a request of which nothing was sent. That this node can't reach
// enough servers says nothing of others: a caller is sent elsewhere only if another one serves.
func (r *Router) refuse(q *request, reason gather.Reason) {
	elsewhere := reason == gather.ReasonNoServer && r.unable && r.othersServe
	retryAfter := r.options.OverloadRetryAfter
	switch {
	case elsewhere:
		retryAfter = r.options.RedirectRetryAfter
	case reason == gather.ReasonNoServer:
		retryAfter = r.awaited(q)
	}
	r.emit(Finish{Request: q.asked.ID, Outcome: Outcome{
		Execution:      gather.ExecutionNotRun,
		Reason:         reason,
		RetryAfter:     retryAfter,
		RetryElsewhere: elsewhere,
	}})
}

// pressed reports whether the request is to be refused because its servers are
// crowded. Less urgent requests to the same servers are refused at the rate of
// the more urgent ones at least: their own parts may be short enough to pass
// where those of urgent requests are not. One whose caller has tried before is taken
// as long as the crowding is brief: it may be its last try, and late is better than never.
func (r *Router) pressed(q *request) bool {
	// Routes over the same shards name the same first one.
	p := &r.serviceNamed(q.names[0]).pressure
	priority := q.asked.Route.Priority
	refused := r.on(mechanism.EarlyRejection) && r.crowded(q) ||
		r.on(mechanism.PriorityRejection) && r.random.Float64() < p.aboveRefused(r.now, priority)
	p.count(r.now, priority, refused)
	lastTry := r.on(mechanism.RetryAdmission) && q.returned && p.brief(r.now)
	return refused && !lastTry
}

// crowded reports whether so many parts would wait for room beyond the route's
// aim that too few were left for an answer. Such a request is refused before
// any of it runs: taken, it would be late, and so would those behind it.
func (r *Router) crowded(q *request) bool {
	limit := q.answerBy()
	if q.asked.Route.Aim == 0 {
		limit = q.asked.Remaining
	}
	usual := q.latency.usual()
	spare := len(q.names) - q.least()
	for _, name := range q.names {
		s := r.serviceNamed(name)
		if s.waiting.Len() == 0 || r.expectedWait(s, q.asked.Route.Priority, usual)+crowdedTail*usual <= limit {
			continue
		}
		spare--
		if spare < 0 {
			return true
		}
	}
	return false
}

// least is the number of parts that make an answer.
func (q *request) least() int {
	if !q.asked.Route.Target.FanOut() {
		return 1
	}
	return leastParts(len(q.names), q.asked.Route.Target.MinimumCoverage)
}

// leastParts is the number of parts that make an answer of so many shards.
func leastParts(shards int, minimum float64) int {
	for parts := 1; parts < shards; parts++ {
		if float64(parts)/float64(shards) >= minimum {
			return parts
		}
	}
	return shards
}

// expectedWait is how long a part of the given priority would wait for room.
func (r *Router) expectedWait(s *service, priority int, usual time.Duration) time.Duration {
	ahead := 0
	for _, w := range s.waiting.All() {
		if !w.late && w.priority <= priority && !w.request.finished && w.segment.IsWaiting() {
			ahead++
		}
	}
	usable := 0
	for _, one := range s.servers {
		if one.usable() {
			usable++
		}
	}
	places := max(usable*r.share(s), 1)
	return time.Duration(ahead) * usual / time.Duration(places)
}
