package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// AnswerQuality classifies a server's answer.
type AnswerQuality int

const (
	// Good answers are complete and on time.
	Good AnswerQuality = iota
	// Failed means that the server reported an error or gave no complete answer.
	Failed
	// Slow answers took much longer than is usual for their route.
	Slow
)

// SlowFactor is the multiple of a route's usual latency from which an answer is slow. Servers of
// one type differ by a factor of up to 1.3, and a version that needs three times as long for work of
// 4 ms is still slower by a factor of 2.2 when the network time is included.
const SlowFactor = 1.8

// Counts holds numbers of answers by quality. Failed and Slow are included in Answers.
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

// subtract returns the answers counted since other. ok is false if the difference is impossible.
func (c Counts) subtract(other Counts) (added Counts, ok bool) {
	added = Counts{Answers: c.Answers - other.Answers, Failed: c.Failed - other.Failed, Slow: c.Slow - other.Slow}
	ok = added.Failed >= 0 && added.Slow >= 0 && added.Failed+added.Slow <= added.Answers
	return added, ok
}

// Cell counts the answers on one route: those of one server of the target, or, if Server is empty,
// those of all servers of the previous versions.
type Cell struct {
	Route  string `json:"route"`
	Server string `json:"server,omitempty"`
	Counts
}

type cellKey struct{ route, server string }

// maxCells bounds the cells per order and version in a node's report. Those with the most answers
// are reported.
const maxCells = 64

// Evidence counts the answers that one node has seen since it learned of an order. The zero value
// is ready to use.
type Evidence struct {
	target, before map[cellKey]*Counts
}

// Target counts an answer of a server of the target version.
func (e *Evidence) Target(route, server string, answer AnswerQuality) {
	countAnswer(&e.target, cellKey{route, server}, answer)
}

// Before counts an answer of a server of the previous versions.
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

// Cells returns the cells of the target and of the previous versions, at most maxCells each, those with
// the most answers first.
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

// Report is what one node reports to the deciders about one order.
type Report struct {
	// Process distinguishes the processes that ran as this node.
	Node    string `json:"node"`
	Process string `json:"process"`
	Service string `json:"service"`
	Order   uint64 `json:"order"`
	// Moved says that the node sends all traffic to the target. Remaining is the number of requests
	// that still run at servers of the previous versions and are still wanted or not repeatable.
	Moved     bool `json:"moved,omitempty"`
	Remaining int  `json:"remaining,omitempty"`
	// Target and Before count the answers of the target and of the previous versions since the node
	// learned of the order.
	Target []Cell `json:"target,omitempty"`
	Before []Cell `json:"before,omitempty"`
}
