package priority

import (
	"cmp"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

type entry struct {
	key   int
	index int
}

func newEntryQueue() *Queue[*entry] {
	return NewQueue(
		func(item, other *entry) bool { return item.key < other.key },
		func(item *entry, index int) { item.index = index },
	)
}

func TestPopOrderAndRemove(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("pop gives the sorted items", prop.ForAll(func(keys []int) bool {
		queue := NewQueue(cmp.Less[int], nil)
		for _, key := range keys {
			queue.Push(key)
		}
		var popped []int
		for queue.Len() > 0 {
			first := queue.First()
			if queue.Pop() != first {
				return false
			}
			popped = append(popped, first)
		}
		return slices.Equal(popped, slices.Sorted(slices.Values(keys)))
	}, gen.SliceOf(gen.IntRange(0, 50))))
	properties.Property("what is removed by its place is gone", prop.ForAll(func(keys []int) bool {
		queue := newEntryQueue()
		var kept []int
		var removed []*entry
		for index, key := range keys {
			added := &entry{key: key}
			queue.Push(added)
			if index%3 == 0 {
				removed = append(removed, added)
			} else {
				kept = append(kept, key)
			}
		}
		for _, one := range removed {
			if queue.Remove(one.index) != one {
				return false
			}
		}
		var popped []int
		for queue.Len() > 0 {
			popped = append(popped, queue.Pop().key)
		}
		slices.Sort(kept)
		return slices.Equal(popped, kept)
	}, gen.SliceOf(gen.IntRange(0, 50))))
	properties.TestingRun(t)
}
