package spread_test

import (
	"container/heap"
	"time"

	"github.com/banksail/banksail/spread"
)

// delay draws a one-way delay, evenly between half and one and a half times the mean.
func (r *run) delay(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)+1))
}

func (r *run) lost() bool {
	return r.options.PeerLoss > 0 && r.random.Float64() < r.options.PeerLoss
}

// push offers a node's revision to another one.
func (r *run) push(from *node, action spread.Push) {
	r.counts.Pushes++
	to := r.byID[action.Member]
	if to.dead || r.lost() {
		r.after(r.options.PeerTimeout, func() {
			r.step(from, spread.PushCompleted{Member: to.id, PushedRevision: action.Revision, Failed: true})
		})
		return
	}
	r.after(r.delay(r.options.PeerDelay), func() {
		if to.core.Revision() < action.Revision {
			r.counts.PushesTaken++
		}
		r.step(to, spread.RecordOffered{Revision: action.Revision})
		revision := to.core.Revision()
		r.after(r.delay(r.options.PeerDelay), func() {
			r.step(from, spread.PushCompleted{Member: to.id, PushedRevision: action.Revision, Revision: revision})
		})
	})
}

// fetch asks another node for a record above a revision.
func (r *run) fetch(from *node, action spread.Fetch) {
	r.counts.Comparisons++
	to := r.byID[action.Member]
	if to.dead || r.lost() {
		r.after(r.options.PeerTimeout, func() {
			r.step(from, spread.FetchCompleted{Member: to.id, Failed: true})
		})
		return
	}
	r.after(r.delay(r.options.PeerDelay), func() {
		revision := max(to.core.Revision(), action.Above)
		if action.Above == 0 || revision > action.Above+1 {
			r.counts.Records++
		}
		r.after(r.delay(r.options.PeerDelay), func() {
			if revision > from.core.Revision() {
				r.counts.ComparisonsTaken++
				r.step(from, spread.RecordOffered{Revision: revision, From: to.id})
			}
			r.step(from, spread.FetchCompleted{Member: to.id, Revision: revision})
		})
	})
}

// readStore reads the store, or watches it.
func (r *run) readStore(from *node, action spread.ReadStore) {
	r.counts.StoreReads++
	if from.zone >= r.options.StoreZones {
		r.after(r.options.StoreTimeout, func() { r.step(from, spread.StoreReadCompleted{Failed: true}) })
		return
	}
	r.after(r.delay(r.options.StoreDelay), func() {
		held := &watch{node: from, after: from.core.Revision()}
		if r.stored > held.after || action.MaxWait == 0 {
			r.answer(held)
			return
		}
		r.waiting = append(r.waiting, held)
		r.after(action.MaxWait, func() { r.answer(held) })
	})
}

// endWatches answers every watch that the store holds.
func (r *run) endWatches() {
	for _, held := range r.waiting {
		r.answer(held)
	}
	r.waiting = nil
}

func (r *run) answer(held *watch) {
	if held.done {
		return
	}
	held.done = true
	stored := r.stored
	r.after(r.delay(r.options.StoreDelay), func() {
		r.step(held.node, spread.RecordOffered{Revision: stored})
		r.step(held.node, spread.StoreReadCompleted{})
	})
}

// queued is one event; events of one time run in the order in which they were added.
type queued struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events.
type eventQueue struct {
	events []queued
	added  int
}

func (q *eventQueue) add(at time.Duration, do func()) {
	q.added++
	heap.Push(q, queued{at: at, sequence: q.added, do: do})
}

func (q *eventQueue) take() queued {
	taken, _ := heap.Pop(q).(queued)
	return taken
}

func (q *eventQueue) next() time.Duration { return q.events[0].at }

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(a, b int) bool {
	if q.events[a].at != q.events[b].at {
		return q.events[a].at < q.events[b].at
	}
	return q.events[a].sequence < q.events[b].sequence
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(a, b int) { q.events[a], q.events[b] = q.events[b], q.events[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(event any) {
	if added, ok := event.(queued); ok {
		q.events = append(q.events, added)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	popped := q.events[last]
	q.events[last] = queued{}
	q.events = q.events[:last]
	return popped
}
