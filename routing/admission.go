package routing

import (
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
)

// priorityStep is the share of MaxInFlightRequests that each priority level leaves to more urgent
// ones.
const priorityStep = 0.15

// saturatedTailFactor is how many times the median latency the slowest part of a request takes
// once it is sent, while servers are overloaded.
const saturatedTailFactor = 3

// rejectionReason returns why the request cannot be accepted now; empty if it can.
func (r *Router) rejectionReason(q *request) gather.Reason {
	bound := float64(r.options.MaxInFlightRequests) * max(1-priorityStep*float64(q.asked.Route.Priority), priorityStep)
	switch {
	case r.stopping || r.outlastsShutdown(q):
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

// unrepeatableTimeFactor is how many times the median latency must be left before the node shuts down for
// a request that must not be repeated: its caller cannot ask again if it is aborted.
const unrepeatableTimeFactor = 2

// outlastsShutdown reports whether the request would probably be aborted when the node shuts down. Another
// node can still serve it.
func (r *Router) outlastsShutdown(q *request) bool {
	if r.abortAt == 0 {
		return false
	}
	needed := q.stats.median()
	if !q.asked.Route.Repeatable {
		needed *= unrepeatableTimeFactor
	}
	return needed > r.abortAt-r.now
}

// reject sends the final answer to a request of which nothing was sent. That this node cannot
// reach enough servers does not mean that others can: the caller is redirected only if another
// node is known to serve.
func (r *Router) reject(q *request, reason gather.Reason) {
	elsewhere := reason == gather.ReasonNoServer && r.cannotServe && r.peerAvailable
	retryAfter := r.options.OverloadRetryAfter
	switch {
	case elsewhere || reason == gather.ReasonStopping:
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

// shouldRejectForOverload reports whether to reject the request because its servers are
// overloaded. Lower-priority requests to the same servers are rejected at least at the rate of
// more urgent ones, because their parts may be short enough to fit where those of urgent requests
// do not. A retry by the caller is accepted while the overload is brief: it may be the caller's
// last attempt, and a late answer is better than none.
func (r *Router) shouldRejectForOverload(q *request) bool {
	// Routes over the same shards share the statistics of their first shard.
	p := &r.ensureService(q.serviceNames[0]).overload
	priority := q.asked.Route.Priority
	refused := r.enabled(mechanism.EarlyRejection) && r.serversSaturated(q) ||
		r.enabled(mechanism.PriorityRejection) && r.random.Float64() < p.maxRejectedShareAbove(r.now, priority)
	p.record(r.now, priority, refused)
	lastTry := r.enabled(mechanism.RetryAdmission) && q.isRetry && p.isBrief(r.now)
	return refused && !lastTry
}

// serversSaturated reports whether so many parts would queue beyond the route's latency target
// that the rest is too few for an answer. Such a request is rejected before any part runs: if
// accepted, it would be late and delay those behind it.
func (r *Router) serversSaturated(q *request) bool {
	limit := q.answerTimeout()
	if q.asked.Route.LatencyTarget == 0 {
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

// minParts returns the number of parts that are enough for an answer.
func (q *request) minParts() int {
	if !q.asked.Route.Target.IsFanOut() {
		return 1
	}
	return minPartsFor(len(q.serviceNames), q.asked.Route.Target.MinimumCoverage)
}

// minPartsFor returns the number of parts that reaches the minimum coverage of the given number of
// shards.
func minPartsFor(shards int, minimum float64) int {
	for parts := 1; parts < shards; parts++ {
		if float64(parts)/float64(shards) >= minimum {
			return parts
		}
	}
	return shards
}

// expectedQueueWait returns the expected queueing time of a part with the given priority.
func (r *Router) expectedQueueWait(s *service, priority int, median time.Duration) time.Duration {
	ahead := 0
	for _, queued := range s.queue.All() {
		if !queued.isLate && queued.priority <= priority && !queued.request.finished && queued.segment.IsWaiting() {
			ahead++
		}
	}
	usable := 0
	for _, srv := range s.servers {
		if srv.isUsable() {
			usable++
		}
	}
	slots := max(usable*r.connectionShare(s), 1)
	return time.Duration(ahead) * median / time.Duration(slots)
}
