package routing

import (
	"cmp"
	"time"

	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/rollout"
)

// service is a set of servers that answer alike.
type service struct {
	name    string
	servers []*server
	// connections is what each server accepts from all nodes; zero is unknown.
	connections int
	// coldRate is the number of requests a second that a cold server bears; zero is no bound.
	coldRate float64
	// dispatchAt is when what waits is looked at again; zero is when something happens.
	dispatchAt time.Duration
	budget     extrabudget.Budget
	queue      *priority.Queue[queuedSegment]
	overload   overloadStats
	// canary is the node's part in the service's roll-outs; nil is that there was none.
	canary *rollout.Canary
	// hadServer says that a server of it could be asked once, and lacks that none can now, since
	// outageSince.
	hadServer, inOutage bool
	outageSince         time.Duration
}

// queuedSegment is a segment that waits until a server of the service has room.
type queuedSegment struct {
	// isLate says that its request will miss its aim anyway; it goes behind those
	// that may still keep it.
	isLate   bool
	priority int
	sequence uint64
	segment  *gather.Segment
	request  *request
}

// less puts what may still be in time first, then by priority, then by age.
func (w queuedSegment) less(other queuedSegment) bool {
	if w.isLate != other.isLate {
		return other.isLate
	}
	return cmp.Or(cmp.Compare(w.priority, other.priority), cmp.Compare(w.sequence, other.sequence)) < 0
}

// enqueue lets a segment wait for room.
func (r *Router) enqueue(s *service, segment *gather.Segment, q *request) {
	r.sequence++
	w := queuedSegment{isLate: q.isLate(), priority: q.asked.Route.Priority, sequence: r.sequence, segment: segment, request: q}
	if r.dispatching == s {
		r.requeued = append(r.requeued, w)
		return
	}
	s.queue.Push(w)
}

// scheduleDispatch arranges that what waits is looked at again when a server may have room that
// nothing else tells of.
func (r *Router) scheduleDispatch(s *service, at time.Duration) {
	if s.dispatchAt == 0 || at < s.dispatchAt {
		s.dispatchAt = at
		r.timers.Push(timer{at: at, service: s})
	}
}

// dispatchQueued sends what waits in a service in which a server may have room now.
func (r *Router) dispatchQueued(s *service) {
	if s.queue.Len() == 0 {
		return
	}
	r.dispatching = s
	for s.queue.Len() > 0 && len(r.requeued) == 0 {
		first := s.queue.Pop()
		if first.request.finished || !first.segment.IsWaiting() {
			continue
		}
		if !first.isLate && first.request.isLate() {
			first.isLate = true
			s.queue.Push(first)
			continue
		}
		first.request.query.ResumeSegment(r.now, first.segment)
		r.schedule(first.request)
	}
	for _, w := range r.requeued {
		s.queue.Push(w)
	}
	clear(r.requeued)
	r.requeued = r.requeued[:0]
	r.dispatching = nil
}

// retryReserve is the part of the budget that is kept for retries: a retry saves a
// request, a hedge only time.
const retryReserve = 0.15

// extraSendAllowed reports whether one more extra send to the service is allowed.
func (r *Router) extraSendAllowed(s *service, kind gather.SendKind) bool {
	left, most := s.budget.Remaining(r.now, r.options.Budget, r.fixedBudgetShare())
	if kind == gather.HedgeSend {
		left -= most * retryReserve
	}
	return left >= 1
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

// uncountSend takes an attempt back of which no byte was written: it was no send.
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

// sinceSent is the time since an attempt was sent.
func (r *Router) sinceSent(a *attempt) time.Duration { return r.now - a.SentAt }
