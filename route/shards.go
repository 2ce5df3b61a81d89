package route

import (
	"slices"
	"strings"
)

// shardSets finds the distinct sets of shards among routes: most routes of a
// table name the same few, each of them long.
type shardSets struct {
	numbers map[string]int
	sets    [][]string
}

func newShardSets() *shardSets { return &shardSets{numbers: make(map[string]int)} }

// number is that of the set, counted from zero in the order in which they came.
func (s *shardSets) number(shards []string) int {
	key := strings.Join(shards, "\x00")
	number, known := s.numbers[key]
	if !known {
		number = len(s.sets)
		s.numbers[key] = number
		s.sets = append(s.sets, shards)
	}
	return number
}

// share lets routes with the same shards hold one list of them.
func (d *Definition) share() (distinct [][]string) {
	sets := newShardSets()
	routes := slices.Clone(d.Routes)
	for i := range routes {
		if target := &routes[i].Target; target.IsFanOut() {
			target.Shards = sets.sets[sets.number(target.Shards)]
		}
	}
	d.Routes = routes
	return sets.sets
}
