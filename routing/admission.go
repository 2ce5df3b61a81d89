package routing

import (
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
)

// priorityStep is the part of the bound on running requests that each rank of
// priority leaves to those above it.
const priorityStep = 0.15

// saturatedTailFactor is the multiple of the usual latency that the slowest part of a
// request takes once it is sent, while servers are crowded.
const saturatedTailFactor = 3

// rejectionReason tells why a request can't be taken now; empty when it can.
func (r *Router) rejectionReason(q *request) gather.Reason {
	bound := float64(r.options.MaxInFlightRequests) * max(1-priorityStep*float64(q.asked.Route.Priority), priorityStep)
	switch {
	case r.stopping:
		return gather.ReasonStopping
	case q.asked.Remaining <= 0:
		return gather.ReasonDeadline
	case float64(len(r.requests)) >= bound:
		return gather.ReasonOverload
	case r.lacksServers(q):
		return gather.ReasonNoServer
	case r.shouldRejectForOverload(q):
		return gather.ReasonQueueWait
	default:
		return ""
	}
}

// reject gives the final answer to a request of which nothing was sent. That this node can't reach
// enough servers says nothing of others: a caller is sent elsewhere only if another one serves.
func (r *Router) reject(q *request, reason gather.Reason) {
	elsewhere := reason == gather.ReasonNoServer && r.cannotServe && r.peerAvailable
	retryAfter := r.options.OverloadRetryAfter
	switch {
	case elsewhere:
		retryAfter = r.options.RedirectRetryAfter
	case reason == gather.ReasonNoServer:
		retryAfter = r.outageRetryAfter(q)
	}
	r.emit(Finish{Request: q.asked.ID, Outcome: Outcome{
		Execution:      gather.ExecutionNotRun,
		Reason:         reason,
		RetryAfter:     retryAfter,
		RetryElsewhere: elsewhere,
	}})
}

// shouldRejectForOverload reports whether the request is to be refused because its servers are
// crowded. Less urgent requests to the same servers are refused at the rate of
// the more urgent ones at least: their own parts may be short enough to pass
// where those of urgent requests are not. One whose caller has tried before is taken
// as long as the crowding is brief: it may be its last try, and late is better than never.
func (r *Router) shouldRejectForOverload(q *request) bool {
	// Routes over the same shards name the same first one.
	p := &r.ensureService(q.serviceNames[0]).overload
	priority := q.asked.Route.Priority
	refused := r.enabled(mechanism.EarlyRejection) && r.serversSaturated(q) ||
		r.enabled(mechanism.PriorityRejection) && r.random.Float64() < p.maxRejectedShareAbove(r.now, priority)
	p.record(r.now, priority, refused)
	lastTry := r.enabled(mechanism.RetryAdmission) && q.isRetry && p.isBrief(r.now)
	return refused && !lastTry
}

// serversSaturated reports whether so many parts would wait for room beyond the route's
// aim that too few were left for an answer. Such a request is refused before
// any of it runs: taken, it would be late, and so would those behind it.
func (r *Router) serversSaturated(q *request) bool {
	limit := q.answerTimeout()
	if q.asked.Route.Aim == 0 {
		limit = q.asked.Remaining
	}
	median := q.stats.median()
	spare := len(q.serviceNames) - q.minParts()
	for _, name := range q.serviceNames {
		s := r.ensureService(name)
		if s.queue.Len() == 0 || r.expectedQueueWait(s, q.asked.Route.Priority, median)+saturatedTailFactor*median <= limit {
			continue
		}
		spare--
		if spare < 0 {
			return true
		}
	}
	return false
}

// minParts is the number of parts that make an answer.
func (q *request) minParts() int {
	if !q.asked.Route.Target.FanOut() {
		return 1
	}
	return minPartsFor(len(q.serviceNames), q.asked.Route.Target.MinimumCoverage)
}

// minPartsFor is the number of parts that make an answer of so many shards.
func minPartsFor(shards int, minimum float64) int {
	for parts := 1; parts < shards; parts++ {
		if float64(parts)/float64(shards) >= minimum {
			return parts
		}
	}
	return shards
}

// expectedQueueWait is how long a part of the given priority would wait for room.
func (r *Router) expectedQueueWait(s *service, priority int, median time.Duration) time.Duration {
	ahead := 0
	for _, w := range s.queue.All() {
		if !w.isLate && w.priority <= priority && !w.request.finished && w.segment.IsWaiting() {
			ahead++
		}
	}
	usable := 0
	for _, srv := range s.servers {
		if srv.isUsable() {
			usable++
		}
	}
	places := max(usable*r.connectionShare(s), 1)
	return time.Duration(ahead) * median / time.Duration(places)
}
