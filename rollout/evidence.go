package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// AnswerQuality is how a server's answer is judged.
type AnswerQuality int

const (
	// Good answers come whole and in time.
	Good AnswerQuality = iota
	// Failed says that the server answered that it failed, or gave no whole answer.
	Failed
	// Slow answers take much longer than is usual for their route.
	Slow
)

// SlowFactor is the multiple of what is usual for a route from which on an answer is slow.
// Servers of one kind differ by 1.3 at most, and a version that takes three times as long
// for a work of 4 ms still takes 2.2 times as long with the way there.
const SlowFactor = 1.8

// Counts are answers by how they were judged.
type Counts struct {
	Answers int `json:"answers"`
	Failed  int `json:"failed,omitempty"`
	Slow    int `json:"slow,omitempty"`
}

func (c *Counts) add(answer AnswerQuality) {
	c.Answers++
	switch answer {
	case Failed:
		c.Failed++
	case Slow:
		c.Slow++
	case Good:
	}
}

// subtract is what was added since other; ok is false when that is nonsense.
func (c Counts) subtract(other Counts) (added Counts, ok bool) {
	added = Counts{Answers: c.Answers - other.Answers, Failed: c.Failed - other.Failed, Slow: c.Slow - other.Slow}
	ok = added.Failed >= 0 && added.Slow >= 0 && added.Failed+added.Slow <= added.Answers
	return added, ok
}

// Cell counts the answers of one server of the target on one route, or of all servers of
// the versions before on that route, whose Server is empty.
type Cell struct {
	Route  string `json:"route"`
	Server string `json:"server,omitempty"`
	Counts
}

type cellKey struct{ route, server string }

// maxCells bounds what one node tells of one order: the cells with the most answers.
const maxCells = 64

// Evidence counts what one node has seen of an order's answers since it knew of it; the
// zero value has seen none.
type Evidence struct {
	target, before map[cellKey]*Counts
}

// Target notes an answer of a server of the target.
func (e *Evidence) Target(route, server string, answer AnswerQuality) {
	countAnswer(&e.target, cellKey{route, server}, answer)
}

// Before notes an answer of a server of the versions before.
func (e *Evidence) Before(route string, answer AnswerQuality) {
	countAnswer(&e.before, cellKey{route: route}, answer)
}

func countAnswer(cells *map[cellKey]*Counts, key cellKey, answer AnswerQuality) {
	if *cells == nil {
		*cells = make(map[cellKey]*Counts)
	}
	counts := (*cells)[key]
	if counts == nil {
		counts = new(Counts)
		(*cells)[key] = counts
	}
	counts.add(answer)
}

// Cells lists what was counted, most answers first.
func (e *Evidence) Cells() (target, before []Cell) { return listCells(e.target), listCells(e.before) }

func listCells(counted map[cellKey]*Counts) []Cell {
	listed := make([]Cell, 0, len(counted))
	for _, key := range slices.SortedFunc(maps.Keys(counted), compareKeys) {
		listed = append(listed, Cell{Route: key.route, Server: key.server, Counts: *counted[key]})
	}
	slices.SortStableFunc(listed, func(a, b Cell) int { return cmp.Compare(b.Answers, a.Answers) })
	return listed[:min(len(listed), maxCells)]
}

func compareKeys(a, b cellKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.server, b.server))
}

// Report is what one node tells the deciders of one order.
type Report struct {
	// Node is the node, and Process tells this process from earlier ones of it.
	Node    string `json:"node"`
	Process string `json:"process"`
	Service string `json:"service"`
	Order   uint64 `json:"order"`
	// Moved says that the node sends everything to the target, and Remaining how much of
	// value still runs at the servers of the versions before.
	Moved     bool `json:"moved,omitempty"`
	Remaining int  `json:"remaining,omitempty"`
	// Target and Before count the answers since the node knew of the order.
	Target []Cell `json:"target,omitempty"`
	Before []Cell `json:"before,omitempty"`
}
