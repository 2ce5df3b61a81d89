// Package priority provides a generic priority queue based on container/heap.
package priority

import "container/heap"

// Queue returns its items in order of priority. Items of equal priority are
// returned in no particular order, so the comparison should break ties. A Queue
// is not safe for concurrent use.
type Queue[T any] struct {
	entries entries[T]
}

// NewQueue returns an empty Queue. before reports whether item precedes other.
// If onMove is not nil, it is called with the new index of an item whenever
// that changes; Remove expects this index.
func NewQueue[T any](before func(item, other T) bool, onMove func(item T, index int)) *Queue[T] {
	return &Queue[T]{entries: entries[T]{before: before, onMove: onMove}}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.entries.items) }

// First returns the first item without removing it; the queue must not be empty.
func (q *Queue[T]) First() T { return q.entries.items[0] }

// All returns the items in no particular order; the caller must not modify the slice.
func (q *Queue[T]) All() []T { return q.entries.items }

// Push adds an item.
func (q *Queue[T]) Push(item T) {
	index := len(q.entries.items)
	q.entries.items = append(q.entries.items, item)
	q.entries.notifyMoved(index)
	heap.Fix(&q.entries, index)
}

// Pop removes and returns the first item; the queue must not be empty.
func (q *Queue[T]) Pop() T { return q.Remove(0) }

// Remove removes and returns the item at the index last passed to onMove.
func (q *Queue[T]) Remove(index int) T {
	last := len(q.entries.items) - 1
	if index != last {
		q.entries.Swap(index, last)
	}
	removed := q.entries.items[last]
	var none T
	q.entries.items[last] = none
	q.entries.items = q.entries.items[:last]
	if index != last {
		heap.Fix(&q.entries, index)
	}
	return removed
}

// entries implements heap.Interface. Queue grows and shrinks items itself
// instead of calling heap.Push and heap.Pop, which would allocate for each item
// that is not a pointer.
type entries[T any] struct {
	items  []T
	before func(item, other T) bool
	onMove func(item T, index int)
}

// notifyMoved passes the index of the item there to onMove.
func (e *entries[T]) notifyMoved(index int) {
	if e.onMove != nil {
		e.onMove(e.items[index], index)
	}
}

// Len implements heap.Interface.
func (e *entries[T]) Len() int { return len(e.items) }

// Less implements heap.Interface.
func (e *entries[T]) Less(i, j int) bool { return e.before(e.items[i], e.items[j]) }

// Swap implements heap.Interface.
func (e *entries[T]) Swap(i, j int) {
	e.items[i], e.items[j] = e.items[j], e.items[i]
	e.notifyMoved(i)
	e.notifyMoved(j)
}

// Push implements heap.Interface; heap.Fix does not call it.
func (e *entries[T]) Push(item any) { e.items = append(e.items, item.(T)) }

// Pop implements heap.Interface; heap.Fix does not call it.
func (e *entries[T]) Pop() any {
	last := e.items[len(e.items)-1]
	e.items = e.items[:len(e.items)-1]
	return last
}
