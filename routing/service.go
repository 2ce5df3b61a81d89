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
	// pumpAt is when what waits is looked at again; zero is when something happens.
	pumpAt   time.Duration
	budget   extrabudget.Budget
	waiting  *priority.Queue[waiter]
	pressure pressure
	// trial is the node's part in the service's roll-outs; nil is that there was none.
	trial *rollout.Canary
	// served says that a server of it could be asked once, and lacks that none can now, since
	// lacksSince.
	served, lacks bool
	lacksSince    time.Duration
}

// waiter is a segment that waits until a server of the service has room.
type waiter struct {
	// late says that its request will miss its aim anyway; it goes behind those
	// that may still keep it.
	late     bool
	priority int
	sequence uint64
	segment  *gather.Segment
	request  *request
}

// before puts what may still be in time first, then by priority, then by age.
func (w waiter) before(other waiter) bool {
	if w.late != other.late {
		return other.late
	}
	return cmp.Or(cmp.Compare(w.priority, other.priority), cmp.Compare(w.sequence, other.sequence)) < 0
}

// enqueue lets a segment wait for room.
func (r *Router) enqueue(s *service, segment *gather.Segment, q *request) {
	r.sequence++
	w := waiter{late: q.late(), priority: q.asked.Route.Priority, sequence: r.sequence, segment: segment, request: q}
	if r.pumping == s {
		r.passed = append(r.passed, w)
		return
	}
	s.waiting.Push(w)
}

// pumpLater arranges that what waits is looked at again when a server may have room that
// nothing else tells of.
func (r *Router) pumpLater(s *service, at time.Duration) {
	if s.pumpAt == 0 || at < s.pumpAt {
		s.pumpAt = at
		r.timers.Push(timer{at: at, service: s})
	}
}

// pump sends what waits in a service in which a server may have room now.
func (r *Router) pump(s *service) {
	if s.waiting.Len() == 0 {
		return
	}
	r.pumping = s
	for s.waiting.Len() > 0 && len(r.passed) == 0 {
		first := s.waiting.Pop()
		if first.request.finished || !first.segment.IsWaiting() {
			continue
		}
		if !first.late && first.request.late() {
			first.late = true
			s.waiting.Push(first)
			continue
		}
		first.request.query.ResumeSegment(r.now, first.segment)
		r.schedule(first.request)
	}
	for _, w := range r.passed {
		s.waiting.Push(w)
	}
	clear(r.passed)
	r.passed = r.passed[:0]
	r.pumping = nil
}

// hedgeReserve is the part of the budget that is kept for retries: a retry saves a
// request, a hedge only time.
const hedgeReserve = 0.15

// mayExtra reports whether one more extra send to the service is allowed.
func (r *Router) mayExtra(s *service, kind gather.SendKind) bool {
	left, most := s.budget.Remaining(r.now, r.options.Budget, r.fixedShare())
	if kind == gather.HedgeSend {
		left -= most * hedgeReserve
	}
	return left >= 1
}

func (r *Router) countSend(s *service, q *request, part int) (extra bool) {
	if q.parts[part].counted {
		s.budget.AddExtra(r.now, r.options.Budget.Window)
		return true
	}
	q.parts[part].counted = true
	s.budget.AddRequest(r.now, r.options.Budget.Window)
	return false
}

// uncount takes an attempt back of which no byte was written: it was no send.
func (r *Router) uncount(a *attempt, q *request) {
	s := a.Segment.Group.(*service)
	window := r.options.Budget.Window
	if r.sinceSent(a) > extrabudget.BucketWidth(window) {
		return
	}
	if a.extra {
		s.budget.RemoveExtra(r.now, window)
		return
	}
	s.budget.RemoveRequest(r.now, window)
	q.parts[a.Range.Start].counted = false
}

// sinceSent is the time since an attempt was sent.
func (r *Router) sinceSent(a *attempt) time.Duration { return r.now - a.SentAt }
