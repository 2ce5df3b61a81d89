package dispatch

import (
	"sort"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/retry"
)

// group is a shard with the sums over its servers that leave none out.
type group struct {
	name      string
	span      coverage.Range
	servers   []*server
	latencies *retry.Sketch
	contribution
	// level is the number of classes that have room, the most urgent first.
	level int
	// admits is the number of classes, the most urgent first, whose queries may
	// start: those that have room, or all while few sub-requests wait here.
	admits  int
	waiting *priority.Queue[waiter]
	roomy   bool // is listed in the dispatcher's roomy groups
}

// room reports whether the class with the given rank may have one more request
// in flight. Headroom is kept over the group, so that small limits don't round
// it away.
func (g *group) room(rank int, share float64) bool {
	if rank == 0 {
		return g.reserve > 0
	}
	return g.free > 0 && g.inFlight < limit.AllowedInFlight(g.limit, share)
}

// reserve is the number of requests above a server's limit that a class may have
// in flight: small limits leave no room for headroom below them.
func (d *Dispatcher) reserve(rank int) int {
	if rank > 0 || len(d.ranked) == 0 || d.ranked[0].Headroom <= 0 {
		return 0
	}
	return d.options.UrgentReserve
}

// level brings the group's level, and the counts of blocked groups, up to date.
// A group without usable servers blocks no query: its range can't be served.
func (d *Dispatcher) level(g *group) {
	level := 0
	for level < len(d.ranked) && (g.usable == 0 || g.room(level, d.ranked[level].share)) {
		level++
	}
	admits := level
	if g.waiting.Len() < d.options.WaitingAllowance {
		admits = len(d.ranked)
	}
	for rank := admits; rank < g.admits; rank++ {
		d.blocked[rank]++
	}
	for rank := g.admits; rank < admits; rank++ {
		d.blocked[rank]--
	}
	g.level, g.admits = level, admits
	if level < len(d.ranked) && (d.queue.Len() > 0 || g.waiting.Len() > 0) {
		g.want()
	}
}

// want tells the limiters of the group's servers that something waits.
func (g *group) want() {
	for _, s := range g.servers {
		s.limiter.RecordDemand()
	}
}

// hasRoom reports whether a query of the given rank may start now: whether the
// groups that have room can give an answer of its class, or of a less urgent
// one, which would take that room.
func (d *Dispatcher) hasRoom(rank int) bool {
	if len(d.running) >= d.options.MaximumRunning {
		return false
	}
	return d.blocked[rank] <= int(d.blockedShares[rank]*float64(len(d.groups)))
}

// waiter is a segment that waits for room in a group.
type waiter struct {
	key      admission.Key
	sequence uint64
	segment  *gather.Segment
	running  *running
}

// before puts the more urgent first, then the older.
func (w waiter) before(other waiter) bool {
	if w.key != other.key {
		return w.key.Less(other.key)
	}
	return w.sequence < other.sequence
}

// enqueue lets the segment wait for room in its group.
func (d *Dispatcher) enqueue(g *group, s *gather.Segment) {
	d.sequence++
	r := owner(s.Query())
	w := waiter{key: r.key, sequence: d.sequence, segment: s, running: r}
	if d.pumped == g {
		d.passed = append(d.passed, w)
		return
	}
	g.waiting.Push(w)
	d.level(g)
}

// leastWaiting is the number of first sub-requests that may always wait for a group.
const leastWaiting = 4

// crowded reports whether too many sub-requests that go first wait for the group
// already. A longer queue would answer no more of them, only later.
func (d *Dispatcher) crowded(g *group, r *running) bool {
	most := max(int(float64(g.limit)*d.options.WaitingLimitFactor), leastWaiting)
	if g.waiting.Len() < most || d.pumped == g {
		return false
	}
	before := 0
	for _, w := range g.waiting.All() {
		if w.running.query != nil && w.segment.IsWaiting() && !r.key.Less(w.key) {
			before++
		}
	}
	return before >= most
}

// tooLate reports that the group is not likely to answer before the query's deadline.
func (d *Dispatcher) tooLate(g *group, q *gather.Query) bool {
	return q.Deadline()-d.now < g.latencies.Quantile(medianQuantile)
}

// markRoomy lists the groups, to be pumped once the query at hand is done with.
func (d *Dispatcher) markRoomy(groups []*group) {
	for _, g := range groups {
		if g.waiting.Len() > 0 && !g.roomy {
			g.roomy = true
			d.roomy = append(d.roomy, g)
		}
	}
}

// pump sends what waits in the groups that may have room now.
func (d *Dispatcher) pump() {
	for i := 0; i < len(d.roomy); i++ {
		d.roomy[i].roomy = false
		d.pumpGroup(d.roomy[i])
	}
	clear(d.roomy)
	d.roomy = d.roomy[:0]
}

// maximumPassed bounds the segments that are passed over to find one that can
// be sent: one whose class has no room, or whose only untried server has none.
const maximumPassed = 8

// pumpGroup tries the segments that wait, the first ones first.
func (d *Dispatcher) pumpGroup(g *group) {
	d.pumped = g
	for g.waiting.Len() > 0 && len(d.passed) < maximumPassed && (g.usable == 0 || g.level > 0) {
		first := g.waiting.Pop()
		switch {
		case first.running.query == nil || !first.segment.IsWaiting():
		case g.usable > 0 && g.level <= first.running.class.rank:
			d.passed = append(d.passed, first)
		case d.tooLate(g, first.running.query):
			first.running.query.GiveUpSegment(d.now, first.segment)
		default:
			first.running.query.ResumeSegment(d.now, first.segment)
			d.schedule(first.running)
		}
	}
	for _, w := range d.passed {
		g.waiting.Push(w)
	}
	clear(d.passed)
	d.passed = d.passed[:0]
	d.pumped = nil
	d.level(g)
}

// groupsOf divides the range among the groups that hold it.
func (d *Dispatcher) groupsOf(r coverage.Range) []gather.Target {
	first := sort.Search(len(d.groups), func(i int) bool { return d.groups[i].span.End > r.Start })
	var targets []gather.Target
	if r == d.space {
		targets = make([]gather.Target, 0, len(d.groups))
	}
	for _, g := range d.groups[first:] {
		shared, ok := g.span.Intersect(r)
		if !ok {
			break
		}
		targets = append(targets, gather.Target{Range: shared, Group: g})
	}
	return targets
}
