package routing

import (
	"cmp"
	"time"

	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/rollout"
)

// service is a set of interchangeable servers.
type service struct {
	name    string
	servers []*server
	// connections is the number of connections that each server accepts from all nodes; zero means
	// unknown.
	connections int
	// coldRate is the number of requests per second that a cold server can handle; zero means
	// unlimited.
	coldRate float64
	// dispatchAt is when to retry queued segments; zero means only on the next event.
	dispatchAt time.Duration
	budget     extrabudget.Budget
	queue      *priority.Queue[queuedSegment]
	overload   overloadStats
	// canary limits this node's traffic to the target version of a roll-out; nil if the service
	// never had a roll-out.
	canary *rollout.Canary
	// hadServer is set once the service had a usable server. inOutage is set while it has none,
	// since outageSince.
	hadServer, inOutage bool
	outageSince         time.Duration
}

// queuedSegment is a segment that waits until a server of the service has free capacity.
type queuedSegment struct {
	// isLate is set if the request will miss its latency target anyway. It is then queued behind
	// requests that can still meet theirs.
	isLate   bool
	priority int
	sequence uint64
	segment  *gather.Segment
	request  *request
}

// less orders segments by whether they can still meet the latency target, then by priority, then
// by age.
func (qs queuedSegment) less(other queuedSegment) bool {
	if qs.isLate != other.isLate {
		return other.isLate
	}
	return cmp.Or(cmp.Compare(qs.priority, other.priority), cmp.Compare(qs.sequence, other.sequence)) < 0
}

// enqueue queues a segment until a server has free capacity.
func (r *Router) enqueue(s *service, segment *gather.Segment, q *request) {
	r.sequence++
	qs := queuedSegment{isLate: q.isLate(), priority: q.asked.Route.Priority, sequence: r.sequence, segment: segment, request: q}
	if r.dispatching == s {
		r.requeued = append(r.requeued, qs)
		return
	}
	s.queue.Push(qs)
}

// scheduleDispatch schedules a retry of queued segments for when a server may have capacity again,
// if no event will signal that.
func (r *Router) scheduleDispatch(s *service, at time.Duration) {
	if s.dispatchAt == 0 || at < s.dispatchAt {
		s.dispatchAt = at
		r.timers.Push(timer{at: at, service: s})
	}
}

// dispatchQueued sends queued segments of a service while its servers have free capacity.
func (r *Router) dispatchQueued(s *service) {
	if s.queue.Len() == 0 {
		return
	}
	r.dispatching = s
	for s.queue.Len() > 0 && len(r.requeued) == 0 {
		next := s.queue.Pop()
		if next.request.finished || !next.segment.IsWaiting() {
			continue
		}
		if !next.isLate && next.request.isLate() {
			next.isLate = true
			s.queue.Push(next)
			continue
		}
		next.request.query.ResumeSegment(r.now, next.segment)
		r.schedule(next.request)
	}
	for _, qs := range r.requeued {
		s.queue.Push(qs)
	}
	clear(r.requeued)
	r.requeued = r.requeued[:0]
	r.dispatching = nil
}

// retryReserve is the share of the budget reserved for retries. A retry saves a request, whereas a
// hedge only saves time.
const retryReserve = 0.15

// extraSendAllowed reports whether the budget allows one more extra send to the service.
func (r *Router) extraSendAllowed(s *service, kind gather.SendKind) bool {
	remaining, limit := s.budget.Remaining(r.now, r.options.Budget, r.fixedBudgetShare())
	if kind == gather.HedgeSend {
		remaining -= limit * retryReserve
	}
	return remaining >= 1
}

func (r *Router) countSend(s *service, q *request, part int) (extra bool) {
	if q.parts[part].countedInBudget {
		s.budget.AddExtra(r.now, r.options.Budget.Window)
		return true
	}
	q.parts[part].countedInBudget = true
	s.budget.AddRequest(r.now, r.options.Budget.Window)
	return false
}

// uncountSend reverts countSend for an attempt of which no byte was written.
func (r *Router) uncountSend(a *attempt, q *request) {
	s := a.Segment.Group.(*service)
	window := r.options.Budget.Window
	if r.sinceSent(a) > extrabudget.BucketWidth(window) {
		return
	}
	if a.isExtra {
		s.budget.RemoveExtra(r.now, window)
		return
	}
	s.budget.RemoveRequest(r.now, window)
	q.parts[a.Range.Start].countedInBudget = false
}

func (r *Router) sinceSent(a *attempt) time.Duration { return r.now - a.SentAt }
