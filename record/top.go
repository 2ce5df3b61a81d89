// Package record reduces the parts of an answer to the greatest records among
// them. A part is a sequence of records of fixed size, in no order; bytes that
// do not make a whole record are no record.
package record

import (
	"bytes"
	"container/heap"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// Top returns the count greatest records of all parts, the greatest first, as
// compared byte by byte. Equal records all count. The result is a new slice.
func Top(parts [][]byte, count int) []byte {
	minHeap := make(minHeap, 0, max(count, 0))
	for _, part := range parts {
		for ; len(part) >= Size; part = part[Size:] {
			minHeap.offer(part[:Size], count)
		}
	}
	slices.SortFunc(minHeap, func(a, b []byte) int { return bytes.Compare(b, a) })
	body := make([]byte, 0, len(minHeap)*Size)
	for _, one := range minHeap {
		body = append(body, one...)
	}
	return body
}

// minHeap is a heap of the greatest records so far, the least of them first.
type minHeap [][]byte

func (l *minHeap) offer(record []byte, count int) {
	if len(*l) < count {
		heap.Push(l, record)
		return
	}
	if count > 0 && bytes.Compare(record, (*l)[0]) > 0 {
		(*l)[0] = record
		heap.Fix(l, 0)
	}
}

// Len implements heap.Interface.
func (l minHeap) Len() int { return len(l) }

// Less implements heap.Interface.
func (l minHeap) Less(i, j int) bool { return bytes.Compare(l[i], l[j]) < 0 }

// Swap implements heap.Interface.
func (l minHeap) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *minHeap) Push(x any) { *l = append(*l, x.([]byte)) }

// Pop implements heap.Interface.
func (l *minHeap) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
