package spread_test

import (
	"container/heap"
	"time"

	"github.com/banksail/banksail/spread"
)

// delay returns a uniformly distributed one-way delay between 0.5 and 1.5 times
// mean.
func (s *simulation) delay(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)+1))
}

func (s *simulation) drawCallLoss() bool {
	return s.options.PeerLoss > 0 && s.random.Float64() < s.options.PeerLoss
}

// push offers a node's revision to another node.
func (s *simulation) push(from *node, action spread.Push) {
	s.counts.Pushes++
	to := s.byID[action.Member]
	if to.crashed || s.drawCallLoss() {
		s.after(s.options.PeerTimeout, func() {
			s.step(from, spread.PushCompleted{Member: to.id, PushedRevision: action.Revision, Failed: true})
		})
		return
	}
	s.after(s.delay(s.options.PeerDelay), func() {
		if to.core.Revision() < action.Revision {
			s.counts.PushesAdopted++
		}
		s.step(to, spread.RecordOffered{Revision: action.Revision})
		revision := to.core.Revision()
		s.after(s.delay(s.options.PeerDelay), func() {
			s.step(from, spread.PushCompleted{Member: to.id, PushedRevision: action.Revision, Revision: revision})
		})
	})
}

// fetch requests a record above a revision from another node.
func (s *simulation) fetch(from *node, action spread.Fetch) {
	s.counts.Comparisons++
	to := s.byID[action.Member]
	if to.crashed || s.drawCallLoss() {
		s.after(s.options.PeerTimeout, func() {
			s.step(from, spread.FetchCompleted{Member: to.id, Failed: true})
		})
		return
	}
	s.after(s.delay(s.options.PeerDelay), func() {
		revision := max(to.core.Revision(), action.Above)
		if action.Above == 0 || revision > action.Above+1 {
			s.counts.Records++
		}
		s.after(s.delay(s.options.PeerDelay), func() {
			if revision > from.core.Revision() {
				s.counts.ComparisonsAdopted++
				s.step(from, spread.RecordOffered{Revision: revision, From: to.id})
			}
			s.step(from, spread.FetchCompleted{Member: to.id, Revision: revision})
		})
	})
}

// readStore reads or watches the store.
func (s *simulation) readStore(from *node, action spread.ReadStore) {
	s.counts.StoreReads++
	if from.zone >= s.options.StoreZones {
		s.after(s.options.StoreTimeout, func() { s.step(from, spread.StoreReadCompleted{Failed: true}) })
		return
	}
	s.after(s.delay(s.options.StoreDelay), func() {
		held := &watch{node: from, after: from.core.Revision()}
		if s.storeRevision > held.after || action.MaxWait == 0 {
			s.answerWatch(held)
			return
		}
		s.heldWatches = append(s.heldWatches, held)
		s.after(action.MaxWait, func() { s.answerWatch(held) })
	})
}

// answerWatches answers every watch that the store holds.
func (s *simulation) answerWatches() {
	for _, held := range s.heldWatches {
		s.answerWatch(held)
	}
	s.heldWatches = nil
}

func (s *simulation) answerWatch(held *watch) {
	if held.answered {
		return
	}
	held.answered = true
	stored := s.storeRevision
	s.after(s.delay(s.options.StoreDelay), func() {
		s.step(held.node, spread.RecordOffered{Revision: stored})
		s.step(held.node, spread.StoreReadCompleted{})
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
	earliest, _ := heap.Pop(q).(queuedEvent)
	return earliest
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
