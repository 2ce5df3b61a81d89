package route

import (
	"slices"
	"strings"
)

// shardSetIndex finds the distinct sets of shards among routes: most routes of a
// table name the same few, each of them long.
type shardSetIndex struct {
	indexes map[string]int
	sets    [][]string
}

func newShardSetIndex() *shardSetIndex { return &shardSetIndex{indexes: make(map[string]int)} }

// indexOf is that of the set, counted from zero in the order in which they came.
func (s *shardSetIndex) indexOf(shards []string) int {
	key := strings.Join(shards, "\x00")
	number, known := s.indexes[key]
	if !known {
		number = len(s.sets)
		s.indexes[key] = number
		s.sets = append(s.sets, shards)
	}
	return number
}

// deduplicateShards lets routes with the same shards hold one list of them.
func (d *Definition) deduplicateShards() (distinct [][]string) {
	sets := newShardSetIndex()
	routes := slices.Clone(d.Routes)
	for i := range routes {
		if target := &routes[i].Target; target.IsFanOut() {
			target.Shards = sets.sets[sets.indexOf(target.Shards)]
		}
	}
	d.Routes = routes
	return sets.sets
}
