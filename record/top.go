// Package record merges the parts of an answer and keeps the greatest records. A
// part is an unordered sequence of records of fixed size; trailing bytes that do
// not form a complete record are ignored.
package record

import (
	"bytes"
	"container/heap"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// Top returns the count greatest records of all parts, concatenated in descending
// order. Records are compared byte by byte, and duplicates are kept. The result
// does not share memory with the parts.
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

// minHeap holds the greatest records so far, with the smallest of them at the
// root.
type minHeap [][]byte

// offer adds the record if fewer than count are held, or replaces the smallest
// one if the record is greater.
func (h *minHeap) offer(record []byte, count int) {
	if len(*h) < count {
		heap.Push(h, record)
		return
	}
	if count > 0 && bytes.Compare(record, (*h)[0]) > 0 {
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}

// Len implements heap.Interface.
func (h minHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h minHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *minHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop implements heap.Interface.
func (h *minHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
