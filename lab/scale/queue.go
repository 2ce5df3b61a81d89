package scale

import (
	"container/heap"
	"time"
)

// Queue runs functions in order of virtual time. Functions of the same time run
// in the order in which they were added, so that runs repeat exactly.
type Queue struct {
	now     time.Duration
	entries entryHeap
	added   uint64
}

// Now is the virtual time of the function that runs.
func (q *Queue) Now() time.Duration { return q.now }

// After adds a function to run when delay has passed.
func (q *Queue) After(delay time.Duration, run func()) {
	q.added++
	heap.Push(&q.entries, entry{at: q.now + max(delay, 0), order: q.added, run: run})
}

// RunUntil runs all functions up to and including the time end.
func (q *Queue) RunUntil(end time.Duration) {
	for len(q.entries) > 0 && q.entries[0].at <= end {
		next, _ := heap.Pop(&q.entries).(entry)
		q.now = next.at
		next.run()
	}
	q.now = max(q.now, end)
}

type entry struct {
	at    time.Duration
	order uint64
	run   func()
}

type entryHeap []entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *entryHeap) Push(added any) {
	next, _ := added.(entry)
	*h = append(*h, next)
}

// Pop is part of heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = entry{}
	*h = (*h)[:last]
	return popped
}
