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

// group is a shard: a key range and its replicas, with the capacity totals of the replicas that
// are not leaving.
type group struct {
	name      string
	keyRange  coverage.Range
	servers   []*server
	latencies *retry.Sketch
	capacity
	// level is the number of priority classes for which the group has capacity, starting with
	// the most urgent.
	level int
	// admits is the number of priority classes, starting with the most urgent, whose queries
	// the group does not block: those with capacity, or all while fewer sub-requests wait here
	// than Options.WaitingAllowance.
	admits    int
	waiting   *priority.Queue[waiter]
	resumable bool // listed in Dispatcher.resumable
}

// hasCapacity reports whether a class with the given rank and share may have another request in
// flight in the group. Headroom is reserved across the whole group, so that it is not rounded
// away by small limits.
func (g *group) hasCapacity(rank int, share float64) bool {
	if rank == 0 {
		return g.urgentReserve > 0
	}
	return g.free > 0 && g.inFlight < limit.AllowedInFlight(g.limit, share)
}

// urgentReserve returns the number of requests beyond a server's limit that a class may have in
// flight. Small limits leave no room for headroom below them.
func (d *Dispatcher) urgentReserve(rank int) int {
	if rank > 0 || len(d.rankedClasses) == 0 || d.rankedClasses[0].Headroom <= 0 {
		return 0
	}
	return d.options.UrgentReserve
}

// level updates the group's level and the counts of blocked groups. A group without usable
// servers blocks no query, because its range cannot be served anyway.
func (d *Dispatcher) level(g *group) {
	level := 0
	for level < len(d.rankedClasses) && (g.usable == 0 || g.hasCapacity(level, d.rankedClasses[level].share)) {
		level++
	}
	admits := level
	if g.waiting.Len() < d.options.WaitingAllowance {
		admits = len(d.rankedClasses)
	}
	for rank := admits; rank < g.admits; rank++ {
		d.blockedGroups[rank]++
	}
	for rank := g.admits; rank < admits; rank++ {
		d.blockedGroups[rank]--
	}
	g.level, g.admits = level, admits
	if level < len(d.rankedClasses) && (d.queue.Len() > 0 || g.waiting.Len() > 0) {
		g.recordDemand()
	}
}

// recordDemand informs the limiters of the group's servers that requests are waiting.
func (g *group) recordDemand() {
	for _, s := range g.servers {
		s.limiter.RecordDemand()
	}
}

// canStart reports whether a query of the given rank may start now. The groups with capacity
// must suffice for an answer of its class or of a less urgent class, whose queries would
// otherwise take that capacity. See updateBlockedShares.
func (d *Dispatcher) canStart(rank int) bool {
	if len(d.running) >= d.options.MaximumRunning {
		return false
	}
	return d.blockedGroups[rank] <= int(d.blockedShares[rank]*float64(len(d.groups)))
}

// waiter is a segment that waits for capacity in a group.
type waiter struct {
	key      admission.Key
	sequence uint64
	segment  *gather.Segment
	running  *running
}

// before orders waiters by urgency and then by age.
func (w waiter) before(other waiter) bool {
	if w.key != other.key {
		return w.key.Less(other.key)
	}
	return w.sequence < other.sequence
}

// enqueueSegment adds the segment to the waiting queue of its group.
func (d *Dispatcher) enqueueSegment(g *group, s *gather.Segment) {
	d.sequence++
	r := runningOf(s.Query())
	w := waiter{key: r.key, sequence: d.sequence, segment: s, running: r}
	if d.resuming == g {
		d.skipped = append(d.skipped, w)
		return
	}
	g.waiting.Push(w)
	d.level(g)
}

// minWaitingLimit is the number of first sub-requests that may always wait in a group.
const minWaitingLimit = 4

// isOverloaded reports whether too many first sub-requests of at least the same urgency are
// already waiting in the group. A longer queue would not get more of them answered, only delay
// them.
func (d *Dispatcher) isOverloaded(g *group, r *running) bool {
	maxWaiting := max(int(float64(g.limit)*d.options.WaitingLimitFactor), minWaitingLimit)
	if g.waiting.Len() < maxWaiting || d.resuming == g {
		return false
	}
	before := 0
	for _, w := range g.waiting.All() {
		if w.running.query != nil && w.segment.IsWaiting() && !r.key.Less(w.key) {
			before++
		}
	}
	return before >= maxWaiting
}

// wouldMissDeadline reports whether the group is unlikely to answer before the query's
// deadline.
func (d *Dispatcher) wouldMissDeadline(g *group, q *gather.Query) bool {
	return q.Deadline()-d.now < g.latencies.Quantile(medianQuantile)
}

// markResumable lists the groups whose waiting segments are to be resumed once the current
// event has been processed.
func (d *Dispatcher) markResumable(groups []*group) {
	for _, g := range groups {
		if g.waiting.Len() > 0 && !g.resumable {
			g.resumable = true
			d.resumable = append(d.resumable, g)
		}
	}
}

// resumeWaiting resumes waiting segments in the groups that may have capacity now.
func (d *Dispatcher) resumeWaiting() {
	for i := 0; i < len(d.resumable); i++ {
		d.resumable[i].resumable = false
		d.resumeWaitingIn(d.resumable[i])
	}
	clear(d.resumable)
	d.resumable = d.resumable[:0]
}

// maxSkipped limits the number of waiting segments that are skipped in search of one that can
// be sent. A segment is skipped if its class has no capacity, or if its only untried server has
// none.
const maxSkipped = 8

// resumeWaitingIn resumes the group's waiting segments in order. Segments that would miss their
// deadline are given up.
func (d *Dispatcher) resumeWaitingIn(g *group) {
	d.resuming = g
	for g.waiting.Len() > 0 && len(d.skipped) < maxSkipped && (g.usable == 0 || g.level > 0) {
		first := g.waiting.Pop()
		switch {
		case first.running.query == nil || !first.segment.IsWaiting():
		case g.usable > 0 && g.level <= first.running.class.rank:
			d.skipped = append(d.skipped, first)
		case d.wouldMissDeadline(g, first.running.query):
			first.running.query.GiveUpSegment(d.now, first.segment)
		default:
			first.running.query.ResumeSegment(d.now, first.segment)
			d.scheduleTick(first.running)
		}
	}
	for _, w := range d.skipped {
		g.waiting.Push(w)
	}
	clear(d.skipped)
	d.skipped = d.skipped[:0]
	d.resuming = nil
	d.level(g)
}

// targetsOf splits the range by the groups that hold it.
func (d *Dispatcher) targetsOf(r coverage.Range) []gather.Target {
	first := sort.Search(len(d.groups), func(i int) bool { return d.groups[i].keyRange.End > r.Start })
	var targets []gather.Target
	if r == d.keySpace {
		targets = make([]gather.Target, 0, len(d.groups))
	}
	for _, g := range d.groups[first:] {
		shared, ok := g.keyRange.Intersect(r)
		if !ok {
			break
		}
		targets = append(targets, gather.Target{Range: shared, Group: g})
	}
	return targets
}
