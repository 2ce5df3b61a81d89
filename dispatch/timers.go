package dispatch

import (
	"container/heap"
	"math"
	"time"
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

// timers is a heap of timers, the earliest first, ties in the order of setting.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

func (d *Dispatcher) setTimer(t timer) {
	d.sequence++
	t.sequence = d.sequence
	heap.Push(&d.timers, t)
}

// schedule makes the dispatcher wake for the query's next time.
func (d *Dispatcher) schedule(r *running) {
	if r.query == nil {
		return
	}
	at := r.query.NextAt()
	if r.timerAt != 0 && r.timerAt <= at {
		return
	}
	r.timerAt = at
	d.setTimer(timer{at: at, running: r})
}

// expire handles what is due.
func (d *Dispatcher) expire() {
	for len(d.timers) > 0 && d.timers[0].at <= d.now {
		due := heap.Pop(&d.timers).(timer)
		switch {
		case due.stale():
		case due.running != nil:
			due.running.timerAt = 0
			due.running.query.Tick(d.now)
			d.schedule(due.running)
		case due.server != nil:
			d.account(due.server)
		}
	}
	for _, item := range d.queue.Expire(d.now) {
		d.dequeue(QueryID(item.ID), ReasonQueueWait)
	}
}

// wake asks for a Woken event at the next time at which something is due.
func (d *Dispatcher) wake() {
	for len(d.timers) > 0 && d.timers[0].stale() {
		heap.Pop(&d.timers)
	}
	next := never
	if len(d.timers) > 0 {
		next = d.timers[0].at
	}
	if at, ok := d.queue.NextExpiry(); ok {
		next = min(next, at)
	}
	if d.wakeAt <= d.now {
		d.wakeAt = never
	}
	if next < d.wakeAt {
		d.wakeAt = next
		d.emit(Wake{At: next})
	}
}
