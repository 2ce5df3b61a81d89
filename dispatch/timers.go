package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// timer is a time at which a query must be looked at.
type timer struct {
	at    time.Duration
	query QueryID
}

// timers is a heap of timers, the earliest first, ties by query.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].query < t[j].query
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// expire handles the timers that are due.
func (d *Dispatcher) expire() {
	for len(d.timers) > 0 && d.timers[0].at <= d.now {
		due := heap.Pop(&d.timers).(timer)
		if q := d.queries[due.query]; q != nil && q.deadline <= d.now {
			d.finish(q, ReasonDeadline)
		}
	}
}

// wake asks for the next timer, when it changed.
func (d *Dispatcher) wake() {
	for len(d.timers) > 0 && d.queries[d.timers[0].query] == nil {
		heap.Pop(&d.timers)
	}
	if len(d.timers) == 0 || d.timers[0].at == d.wakeAt {
		return
	}
	d.wakeAt = d.timers[0].at
	d.emit(Wake{At: d.wakeAt})
}
