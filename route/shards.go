package route

import (
	"slices"
	"strings"
)

// shardSetIndex collects the distinct sets of shards of the routes. Most routes of a table use one
// of a few long sets.
type shardSetIndex struct {
	indexes map[string]int
	sets    [][]string
}

func newShardSetIndex() *shardSetIndex { return &shardSetIndex{indexes: make(map[string]int)} }

// indexOf returns the index of a set, and adds the set if it is new. Indexes start at zero and
// follow the order of insertion.
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

// deduplicateShards makes routes with equal sets of shards share one slice, and returns the distinct
// sets. The caller's routes are not modified.
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
