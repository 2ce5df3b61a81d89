package cluster

import (
	"container/heap"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// entryKind is the kind of an entry of the event queue.
type entryKind uint8

const (
	kindArrival entryKind = iota + 1
	kindDeliver
	kindComplete
	kindCancel
	kindNodeEvent
	kindTimer
	kindReport
	kindFault
	kindConnected
)

// entry is one scheduled event. Entries with the same time are handled in the order
// in which they were scheduled.
type entry struct {
	at       time.Duration
	sequence uint64
	kind     entryKind
	// index is the index of a class, node, server or fault, depending on kind.
	index int
	// number is, depending on kind, an arrival's number within its class, a
	// timer's generation, faultStarts or faultEnds, or the index of the server of
	// a spare connection.
	number  uint64
	attempt *attempt
	event   dispatch.Event
}

// eventQueue orders entries by time, then by sequence.
type eventQueue struct {
	entries  []entry
	sequence uint64
}

func (q *eventQueue) push(planned entry) {
	q.sequence++
	planned.sequence = q.sequence
	heap.Push((*entryHeap)(&q.entries), planned)
}

func (q *eventQueue) pop() entry {
	return heap.Pop((*entryHeap)(&q.entries)).(entry)
}

func (q *eventQueue) empty() bool { return len(q.entries) == 0 }

type entryHeap []entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *entryHeap) Push(value any) { *h = append(*h, value.(entry)) }

func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = entry{}
	*h = old[:len(old)-1]
	return last
}
