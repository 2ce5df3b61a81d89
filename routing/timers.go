package routing

import "time"

// timer is when a request must be looked at, what waits in a service, a zone from which
// nothing has come, or the ledger.
type timer struct {
	at      time.Duration
	request *request
	service *service
	zone    *zone
	ledger  bool
}

// isCurrent reports whether the timer was not replaced by another one.
func (t timer) isCurrent() bool {
	switch {
	case t.ledger:
		return true
	case t.service != nil:
		return t.at == t.service.dispatchAt
	case t.zone != nil:
		return t.at == t.zone.silentSince+zoneSilenceTimeout && len(t.zone.silent) > 0
	}
	return !t.request.finished && t.at == t.request.timerAt
}

// schedule sets a request's timer.
func (r *Router) schedule(q *request) {
	if q.finished || q.query.NextTickAt() == q.timerAt {
		return
	}
	q.timerAt = q.query.NextTickAt()
	r.timers.Push(timer{at: q.timerAt, request: q})
}

// runTimers looks at the requests whose time has come.
func (r *Router) runTimers() {
	for r.timers.Len() > 0 && r.timers.First().at <= r.now {
		due := r.timers.Pop()
		if !due.isCurrent() {
			continue
		}
		switch {
		case due.ledger:
			r.tickLedger(due.at)
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

// updateTimer asks to be woken for the first timer that still counts.
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
