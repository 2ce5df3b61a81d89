package routing

import "time"

// timer is a pending deadline of exactly one of: a request, the queue of a service, the silence
// check of a zone, or the crash tracker.
type timer struct {
	at      time.Duration
	request *request
	service *service
	zone    *zone
	tracker bool
}

// isCurrent reports whether the timer has not been superseded.
func (t timer) isCurrent() bool {
	switch {
	case t.tracker:
		return true
	case t.service != nil:
		return t.at == t.service.dispatchAt
	case t.zone != nil:
		return t.at == t.zone.silentSince+zoneSilenceTimeout && len(t.zone.silent) > 0
	}
	return !t.request.finished && t.at == t.request.timerAt
}

// schedule updates a request's timer.
func (r *Router) schedule(q *request) {
	if q.finished || q.query.NextTickAt() == q.timerAt {
		return
	}
	q.timerAt = q.query.NextTickAt()
	r.timers.Push(timer{at: q.timerAt, request: q})
}

// runTimers handles all timers that are due.
func (r *Router) runTimers() {
	for r.timers.Len() > 0 && r.timers.First().at <= r.now {
		due := r.timers.Pop()
		if !due.isCurrent() {
			continue
		}
		switch {
		case due.tracker:
			r.tickTracker(due.at)
		case due.service != nil:
			due.service.dispatchAt = 0
			r.dispatchQueued(due.service)
		case due.zone != nil:
			r.checkZone(due.zone, due.at)
		default:
			due.request.timerAt = 0
			due.request.query.Tick(r.now)
			r.schedule(due.request)
		}
	}
}

// updateTimer emits SetTimer if the earliest current timer is due before the one requested last.
func (r *Router) updateTimer() {
	for r.timers.Len() > 0 {
		if r.timers.First().isCurrent() {
			break
		}
		r.timers.Pop()
	}
	if r.timers.Len() == 0 || r.timers.First().at >= r.timerAt {
		return
	}
	r.timerAt = r.timers.First().at
	r.emit(SetTimer{At: r.timerAt})
}
