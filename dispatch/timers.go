package dispatch

import (
	"math"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// timer is a time at which a query or a server must be looked at.
type timer struct {
	at       time.Duration
	sequence uint64
	running  *running
	server   *server
}

// isStale reports that nothing is to be done at the timer's time.
func (t timer) isStale() bool {
	return t.running != nil && (t.running.query == nil || t.running.timerAt != t.at)
}

// newTimers returns a queue of timers, the earliest first, ties in the order of setting.
func newTimers() *priority.Queue[timer] {
	before := func(t, other timer) bool {
		if t.at != other.at {
			return t.at < other.at
		}
		return t.sequence < other.sequence
	}
	return priority.NewQueue(before, nil)
}

func (d *Dispatcher) setTimer(t timer) {
	d.sequence++
	t.sequence = d.sequence
	d.timers.Push(t)
}

// scheduleTick makes the dispatcher wake for the query's next time.
func (d *Dispatcher) scheduleTick(r *running) {
	if r.query == nil {
		return
	}
	at := r.query.NextTickAt()
	if r.timerAt != 0 && r.timerAt <= at {
		return
	}
	r.timerAt = at
	d.setTimer(timer{at: at, running: r})
}

// runDueTimers handles what is due.
func (d *Dispatcher) runDueTimers() {
	for d.timers.Len() > 0 && d.timers.First().at <= d.now {
		due := d.timers.Pop()
		switch {
		case due.isStale():
		case due.running != nil:
			due.running.timerAt = 0
			due.running.query.Tick(d.now)
			d.scheduleTick(due.running)
		case due.server != nil:
			d.updateCapacity(due.server)
			d.markResumable(due.server.groups)
		}
	}
	for _, item := range d.queue.Expire(d.now) {
		d.refuseQueued(QueryID(item.ID), ReasonQueueWait)
	}
}

// updateOwnerTimer asks for a TimerFired event at the next time at which something is due.
func (d *Dispatcher) updateOwnerTimer() {
	for d.timers.Len() > 0 && d.timers.First().isStale() {
		d.timers.Pop()
	}
	next := never
	if d.timers.Len() > 0 {
		next = d.timers.First().at
	}
	if at, ok := d.queue.NextExpiry(); ok {
		next = min(next, at)
	}
	if d.ownerTimerAt <= d.now {
		d.ownerTimerAt = never
	}
	if next < d.ownerTimerAt {
		d.ownerTimerAt = next
		d.emit(SetTimer{At: next})
	}
}
