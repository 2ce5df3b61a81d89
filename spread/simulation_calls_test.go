package spread_test

import (
	"container/heap"
	"time"

	"github.com/banksail/banksail/spread"
)

// delay returns a uniformly distributed one-way delay between 0.5 and 1.5 times
// mean.
func (r *simulation) delay(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.random.Int64N(int64(mean)+1))
}

func (r *simulation) drawCallLoss() bool {
	return r.options.PeerLoss > 0 && r.random.Float64() < r.options.PeerLoss
}

// push offers a node's revision to another node.
func (r *simulation) push(from *node, action spread.Push) {
	r.counts.Pushes++
	to := r.byID[action.Member]
	if to.crashed || r.drawCallLoss() {
		r.after(r.options.PeerTimeout, func() {
			r.step(from, spread.PushCompleted{Member: to.id, PushedRevision: action.Revision, Failed: true})
		})
		return
	}
	r.after(r.delay(r.options.PeerDelay), func() {
		if to.core.Revision() < action.Revision {
			r.counts.PushesAdopted++
		}
		r.step(to, spread.RecordOffered{Revision: action.Revision})
		revision := to.core.Revision()
		r.after(r.delay(r.options.PeerDelay), func() {
			r.step(from, spread.PushCompleted{Member: to.id, PushedRevision: action.Revision, Revision: revision})
		})
	})
}

// fetch requests a record above a revision from another node.
func (r *simulation) fetch(from *node, action spread.Fetch) {
	r.counts.Comparisons++
	to := r.byID[action.Member]
	if to.crashed || r.drawCallLoss() {
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
				r.counts.ComparisonsAdopted++
				r.step(from, spread.RecordOffered{Revision: revision, From: to.id})
			}
			r.step(from, spread.FetchCompleted{Member: to.id, Revision: revision})
		})
	})
}

// readStore reads or watches the store.
func (r *simulation) readStore(from *node, action spread.ReadStore) {
	r.counts.StoreReads++
	if from.zone >= r.options.StoreZones {
		r.after(r.options.StoreTimeout, func() { r.step(from, spread.StoreReadCompleted{Failed: true}) })
		return
	}
	r.after(r.delay(r.options.StoreDelay), func() {
		held := &watch{node: from, after: from.core.Revision()}
		if r.storeRevision > held.after || action.MaxWait == 0 {
			r.answerWatch(held)
			return
		}
		r.heldWatches = append(r.heldWatches, held)
		r.after(action.MaxWait, func() { r.answerWatch(held) })
	})
}

// answerWatches answers every watch that the store holds.
func (r *simulation) answerWatches() {
	for _, held := range r.heldWatches {
		r.answerWatch(held)
	}
	r.heldWatches = nil
}

func (r *simulation) answerWatch(held *watch) {
	if held.answered {
		return
	}
	held.answered = true
	stored := r.storeRevision
	r.after(r.delay(r.options.StoreDelay), func() {
		r.step(held.node, spread.RecordOffered{Revision: stored})
		r.step(held.node, spread.StoreReadCompleted{})
	})
}

// queuedEvent is one event. Events with the same time run in the order in which
// they were added.
type queuedEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue struct {
	events []queuedEvent
	added  int
}

func (q *eventQueue) add(at time.Duration, do func()) {
	q.added++
	heap.Push(q, queuedEvent{at: at, sequence: q.added, do: do})
}

func (q *eventQueue) popEarliest() queuedEvent {
	taken, _ := heap.Pop(q).(queuedEvent)
	return taken
}

func (q *eventQueue) nextTime() time.Duration { return q.events[0].at }

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
	if added, ok := event.(queuedEvent); ok {
		q.events = append(q.events, added)
	}
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	popped := q.events[last]
	q.events[last] = queuedEvent{}
	q.events = q.events[:last]
	return popped
}
