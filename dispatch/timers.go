package dispatch

import (
	"math"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// timer is a time at which a query must be ticked or a server's capacity updated. Exactly one
// of running and server is set.
type timer struct {
	at       time.Duration
	sequence uint64
	running  *running
	server   *server
}

// isStale reports whether the timer's query has finished or has been rescheduled.
func (t timer) isStale() bool {
	return t.running != nil && (t.running.query == nil || t.running.timerAt != t.at)
}

// newTimers returns a priority queue of timers, ordered by time and then by when they were set.
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

// scheduleTick sets a timer for the query's next tick, unless one that is due no later is
// already set.
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

// runDueTimers handles timers and queue expiries that are due.
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

// updateOwnerTimer emits a SetTimer action if something is due before the time of the owner's
// timer.
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
