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
	least := make(least, 0, max(count, 0))
	for _, part := range parts {
		for ; len(part) >= Size; part = part[Size:] {
			least.offer(part[:Size], count)
		}
	}
	slices.SortFunc(least, func(a, b []byte) int { return bytes.Compare(b, a) })
	body := make([]byte, 0, len(least)*Size)
	for _, one := range least {
		body = append(body, one...)
	}
	return body
}

// least is a heap of the greatest records so far, the least of them first.
type least [][]byte

func (l *least) offer(one []byte, count int) {
	if len(*l) < count {
		heap.Push(l, one)
		return
	}
	if count > 0 && bytes.Compare(one, (*l)[0]) > 0 {
		(*l)[0] = one
		heap.Fix(l, 0)
	}
}

// Len implements heap.Interface.
func (l least) Len() int { return len(l) }

// Less implements heap.Interface.
func (l least) Less(i, j int) bool { return bytes.Compare(l[i], l[j]) < 0 }

// Swap implements heap.Interface.
func (l least) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *least) Push(x any) { *l = append(*l, x.([]byte)) }

// Pop implements heap.Interface.
func (l *least) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}
