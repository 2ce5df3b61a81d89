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

// stale reports that nothing is to be done at the timer's time.
func (t timer) stale() bool {
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

// schedule makes the dispatcher wake for the query's next time.
func (d *Dispatcher) schedule(r *running) {
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

// expire handles what is due.
func (d *Dispatcher) expire() {
	for d.timers.Len() > 0 && d.timers.First().at <= d.now {
		due := d.timers.Pop()
		switch {
		case due.stale():
		case due.running != nil:
			due.running.timerAt = 0
			due.running.query.Tick(d.now)
			d.schedule(due.running)
		case due.server != nil:
			d.account(due.server)
			d.markRoomy(due.server.groups)
		}
	}
	for _, item := range d.queue.Expire(d.now) {
		d.dequeue(QueryID(item.ID), ReasonQueueWait)
	}
}

// wake asks for a TimerFired event at the next time at which something is due.
func (d *Dispatcher) wake() {
	for d.timers.Len() > 0 && d.timers.First().stale() {
		d.timers.Pop()
	}
	next := never
	if d.timers.Len() > 0 {
		next = d.timers.First().at
	}
	if at, ok := d.queue.NextExpiry(); ok {
		next = min(next, at)
	}
	if d.wakeAt <= d.now {
		d.wakeAt = never
	}
	if next < d.wakeAt {
		d.wakeAt = next
		d.emit(SetTimer{At: next})
	}
}
