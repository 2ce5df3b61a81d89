package gather

import (
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// Options configures a Query.
type Options struct {
	// Owner is an opaque reference for the owner, returned by Query.Owner.
	Owner any
	// KeySpace is the range that the query covers; coverage is a fraction of it.
	KeySpace coverage.Range
	// Snapshot is the snapshot to which the query is initially pinned.
	Snapshot snapshot.ID
	// Arrived is when the query arrived; times in the explanation are relative to it.
	Arrived time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// RequiredCoverage is the minimum coverage of a usable answer, as a fraction.
	RequiredCoverage float64
	// Rank is the rank of the query's priority class; zero is the most urgent.
	Rank int
	// Repeatable allows sub-requests to run more than once.
	Repeatable bool
	// CrashSuspect says that servers have crashed under the same request before. Sub-requests
	// are then sent one at a time until one is answered.
	CrashSuspect bool
	// Stop decides when to stop waiting for missing segments; default StopAtDeadline.
	Stop StopPolicy
	// MaximumRestarts limits how often the query restarts on another snapshot.
	MaximumRestarts int
	// MaximumRounds limits how often servers are retried after all of them have been tried.
	MaximumRounds int
	// MaximumSteps limits the length of the explanation; zero disables it.
	MaximumSteps int
}

// Query is the state of a single query.
type Query struct {
	options            Options
	environment        Environment
	now                time.Duration
	startedAt          time.Duration
	nextTickAt         time.Duration
	snapshot           snapshot.ID
	abandonedSnapshots []snapshot.ID // snapshots on which the query could not complete
	segments           []*Segment
	open               []*Segment // neither answered nor closed
	dueSegments        []*Segment // reused by Tick
	coveredKeys        uint64     // keys of answered segments
	lostKeys           uint64     // keys of segments that were given up
	unsentSegments     int        // segments waiting for capacity
	held               []*Segment // segments that must not be sent yet
	crashes            int        // servers that crashed with a sub-request in flight
	unconfirmedCrashes int        // attempts that failed with CrashUnconfirmed, not yet resolved
	firstCrashAt       time.Duration
	lastCrashAt        time.Duration
	crashedAllServers  bool // see CrashedAllServers
	hasSurvivor        bool // a server ran a sub-request without crashing
	restarts           int
	// executed is set once a server is known to have run a sub-request.
	executed bool
	// outcomeUnknown is set once a sub-request may have run without its result being known.
	outcomeUnknown bool
	finished       bool
	firstFailure   Reason // reason of the first segment that was given up
	steps          []Step
}

// New returns a Query that has not been started.
func New(options Options, environment Environment) *Query {
	if options.Stop == nil {
		options.Stop = StopAtDeadline{}
	}
	return &Query{options: options, environment: environment, snapshot: options.Snapshot}
}

// Owner returns Options.Owner.
func (q *Query) Owner() any { return q.options.Owner }

// Snapshot returns the snapshot to which the query is currently pinned.
func (q *Query) Snapshot() snapshot.ID { return q.snapshot }

// Deadline returns the time at which the caller stops waiting.
func (q *Query) Deadline() time.Duration { return q.options.Deadline }

// Repeatable reports whether sub-requests may run more than once.
func (q *Query) Repeatable() bool { return q.options.Repeatable }

// Finished reports whether the final outcome has been delivered.
func (q *Query) Finished() bool { return q.finished }

// NextTickAt returns the time by which Tick must be called again.
func (q *Query) NextTickAt() time.Duration { return q.nextTickAt }

// Start sends the first sub-request of every segment.
func (q *Query) Start(now time.Duration) {
	q.now = now
	q.startedAt = now
	q.nextTickAt = q.options.Deadline
	q.fanOut(FirstSend)
}

// fanOut splits the key space into segments and sends their sub-requests.
func (q *Query) fanOut(kind SendKind) {
	targets := q.environment.Targets(q.options.KeySpace)
	generation := q.environment.Generation()
	slab := make([]Segment, len(targets))
	q.segments = make([]*Segment, 0, len(targets))
	q.open = make([]*Segment, 0, len(targets))
	if q.options.MaximumSteps > 0 && q.steps == nil {
		q.steps = make([]Step, 0, min(2*len(targets)+1, q.options.MaximumSteps))
	}
	unassigned := q.options.KeySpace.Size()
	for i, target := range targets {
		slab[i].init(q, target, generation)
		q.addSegment(&slab[i])
		unassigned -= target.Range.Size()
	}
	q.lostKeys = unassigned
	q.trySendAll(slices.Clone(q.open), kind)
	q.finishIfDone()
}

// addSegment registers the segment as open.
func (q *Query) addSegment(s *Segment) {
	s.openIndex = len(q.open)
	q.open = append(q.open, s)
	q.segments = append(q.segments, s)
}

// closeSegment removes the segment from the open segments and sets its final state.
func (q *Query) closeSegment(s *Segment, state segmentState) {
	q.setState(s, state)
	s.hedgeAt, s.retryAt = 0, 0
	last := len(q.open) - 1
	q.open[s.openIndex] = q.open[last]
	q.open[s.openIndex].openIndex = s.openIndex
	q.open[last] = nil
	q.open = q.open[:last]
}

func (s *Segment) isOpen() bool { return s.state < answered }

// trySendAll calls trySend for each of the segments that is still open.
func (q *Query) trySendAll(segments []*Segment, kind SendKind) {
	for _, s := range segments {
		if q.finished {
			return
		}
		if s.isOpen() {
			q.trySend(s, kind)
		}
	}
}

// Tick handles everything that is due: the deadline, hedges, retry rounds and stopping early.
func (q *Query) Tick(now time.Duration) {
	if q.finished {
		return
	}
	q.now = now
	if now >= q.options.Deadline {
		q.finish(ReasonDeadline)
		return
	}
	q.nextTickAt = q.options.Deadline
	q.dueSegments = q.dueSegments[:0]
	for _, s := range q.open {
		if s.isDue(now) {
			q.dueSegments = append(q.dueSegments, s)
			continue
		}
		q.scheduleTick(s)
	}
	for _, s := range q.dueSegments {
		if q.finished {
			return
		}
		q.tickSegment(s)
	}
	q.finishIfDone()
}

// hedgeSlack groups hedges that are due at about the same time, so that a query wakes up less
// often.
const hedgeSlack = 100 * time.Microsecond

func (s *Segment) isDue(now time.Duration) bool {
	return s.hedgeAt > 0 && s.hedgeAt <= now+hedgeSlack || s.retryAt > 0 && s.retryAt <= now
}

func (q *Query) tickSegment(s *Segment) {
	switch {
	case s.state == backingOff && s.retryAt <= q.now:
		s.retryAt = 0
		s.tried = s.tried[:0]
		q.trySend(s, s.kind)
	case s.state == active && s.hedgeAt > 0:
		q.sendHedge(s)
	}
}

// scheduleTick moves the next tick forward to the segment's next hedge or retry.
func (q *Query) scheduleTick(s *Segment) {
	if s.hedgeAt > 0 {
		q.nextTickAt = min(q.nextTickAt, s.hedgeAt)
	}
	if s.retryAt > 0 {
		q.nextTickAt = min(q.nextTickAt, s.retryAt)
	}
}

// Cancel ends the query because its caller has disconnected.
func (q *Query) Cancel(now time.Duration) { q.Abort(now, ReasonCallerGone) }

// Abort ends the query for the given reason with the parts gathered so far.
func (q *Query) Abort(now time.Duration, reason Reason) {
	if q.finished {
		return
	}
	q.now = now
	q.finish(reason)
}

// finishIfDone finishes the query if it is complete, if nothing is left to wait for, or if
// waiting longer is not worthwhile.
func (q *Query) finishIfDone() {
	q.releaseHeld()
	switch {
	case q.finished:
	case q.coveredKeys == q.options.KeySpace.Size() && q.coveredKeys > 0:
		q.finish(ReasonComplete)
	case len(q.open) == 0:
		q.finish(q.failureReason())
	case q.isCoverageUnreachable():
		q.finish(q.failureReason())
	default:
		q.considerEarlyStop()
	}
}

// isCoverageUnreachable reports whether the required coverage can no longer be reached. A query
// that is not repeatable keeps waiting, so that it learns what ran.
func (q *Query) isCoverageUnreachable() bool {
	if q.lostKeys == 0 || !q.options.Repeatable {
		return false
	}
	return q.coverageOf(q.options.KeySpace.Size()-q.lostKeys) < q.options.RequiredCoverage
}

func (q *Query) failureReason() Reason {
	switch {
	case q.outcomeUnknown && !q.options.Repeatable:
		return ReasonOutcomeUnknown
	case q.firstFailure != "":
		return q.firstFailure
	default:
		return ReasonExhausted
	}
}

// considerEarlyStop consults the stop policy once the required coverage has been reached.
func (q *Query) considerEarlyStop() {
	fraction := q.coverageOf(q.coveredKeys)
	if q.coveredKeys == 0 || fraction < q.options.RequiredCoverage || !q.options.Repeatable {
		return
	}
	typical := q.environment.TypicalLatency()
	after, ok := q.options.Stop.StopAfter(Progress{
		Rank:             q.options.Rank,
		Coverage:         fraction,
		RequiredCoverage: q.options.RequiredCoverage,
		OpenSegments:     len(q.open),
		UnsentSegments:   q.unsentSegments,
		TypicalLatency:   typical,
		ExpectedLatency:  q.minExpectedLatency(typical),
		Budget:           q.options.Deadline - q.startedAt,
	})
	switch {
	case !ok:
	case q.now >= q.startedAt+after:
		q.finish(ReasonEnoughCoverage)
	default:
		q.nextTickAt = min(q.nextTickAt, q.startedAt+after)
	}
}

// minExpectedLatency returns the lowest latency expected of any open segment, or the first one
// found that does not exceed the typical latency, so that a query with many segments does not
// visit all of them after each reply.
func (q *Query) minExpectedLatency(typical time.Duration) time.Duration {
	lowest := time.Duration(math.MaxInt64)
	for _, s := range q.open {
		lowest = min(lowest, q.environment.ExpectedLatency(s))
		if lowest <= typical {
			break
		}
	}
	return lowest
}

// setState changes the segment's state and maintains the count of unsent segments.
func (q *Query) setState(s *Segment, state segmentState) {
	if s.state == waiting {
		q.unsentSegments--
	}
	if state == waiting {
		q.unsentSegments++
	}
	s.state = state
}

func (q *Query) coverageOf(keys uint64) float64 {
	return coverage.Fraction(keys, q.options.KeySpace.Size())
}
