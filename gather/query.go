package gather

import (
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// Options sets up a Query.
type Options struct {
	// Owner is the owner's own reference; the query doesn't use it.
	Owner any
	// KeySpace is the whole key space, over which coverage is counted.
	KeySpace coverage.Range
	// Snapshot is the snapshot that the query pins.
	Snapshot snapshot.ID
	// Arrived is when the query came, from which the explanation counts.
	Arrived time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// RequiredCoverage is the least coverage that makes an answer.
	RequiredCoverage float64
	// Rank is the position of the query's class, zero for the most urgent.
	Rank int
	// Repeatable says that sub-requests may run more than once.
	Repeatable bool
	// CrashSuspect says that servers have ended under such a query before: one sub-request is
	// sent at a time, until one is answered.
	CrashSuspect bool
	// Stop decides when to stop waiting; nil stands for StopAtDeadline.
	Stop StopPolicy
	// MaximumRestarts bounds how often the query starts over on another snapshot.
	MaximumRestarts int
	// MaximumRounds bounds how often servers that were all tried are asked anew.
	MaximumRounds int
	// MaximumSteps bounds the explanation; zero gives none.
	MaximumSteps int
}

// Query is one query that runs.
type Query struct {
	options            Options
	environment        Environment
	now                time.Duration
	startedAt          time.Duration
	nextTickAt         time.Duration
	snapshot           snapshot.ID
	abandonedSnapshots []snapshot.ID // snapshots on which the query gave up
	segments           []*Segment
	open               []*Segment // awaited, waiting or resting
	dueSegments        []*Segment // scratch of Tick
	coveredKeys        uint64     // keys of answered segments
	lostKeys           uint64     // keys of segments given up
	unsentSegments     int        // segments that no server has room for
	held               []*Segment // that wait until nothing is in flight
	crashes            int        // servers that ended with a sub-request
	unconfirmedCrashes int        // servers that may have, which is told soon
	firstCrashAt       time.Duration
	lastCrashAt        time.Duration
	crashedAllServers  bool // it was given up as all servers had ended that got it
	hasSurvivor        bool // a server ran a sub-request and lives
	restarts           int
	// executed says that a server certainly ran a sub-request.
	executed bool
	// outcomeUnknown says that a server may have run one whose fate isn't known.
	outcomeUnknown bool
	finished       bool
	firstFailure   Reason // of the first segment given up
	steps          []Step
}

// New returns a Query that has not started.
func New(options Options, environment Environment) *Query {
	if options.Stop == nil {
		options.Stop = StopAtDeadline{}
	}
	return &Query{options: options, environment: environment, snapshot: options.Snapshot}
}

// Owner is the reference given in Options.
func (q *Query) Owner() any { return q.options.Owner }

// Snapshot is the snapshot that the query pins now.
func (q *Query) Snapshot() snapshot.ID { return q.snapshot }

// Deadline is when the caller stops waiting.
func (q *Query) Deadline() time.Duration { return q.options.Deadline }

// Repeatable reports whether sub-requests may run more than once.
func (q *Query) Repeatable() bool { return q.options.Repeatable }

// Finished reports whether the final answer was given.
func (q *Query) Finished() bool { return q.finished }

// NextTickAt is when Tick must be called next, at the latest.
func (q *Query) NextTickAt() time.Duration { return q.nextTickAt }

// Start sends a sub-request for each part of the key space.
func (q *Query) Start(now time.Duration) {
	q.now = now
	q.startedAt = now
	q.nextTickAt = q.options.Deadline
	q.fanOut(FirstSend)
}

// fanOut divides the key space and sends the sub-requests.
func (q *Query) fanOut(kind SendKind) {
	targets := q.environment.Targets(q.options.KeySpace)
	generation := q.environment.Generation()
	slab := make([]Segment, len(targets))
	q.segments = make([]*Segment, 0, len(targets))
	q.open = make([]*Segment, 0, len(targets))
	if q.options.MaximumSteps > 0 && q.steps == nil {
		q.steps = make([]Step, 0, min(2*len(targets)+1, q.options.MaximumSteps))
	}
	unheld := q.options.KeySpace.Size()
	for i, target := range targets {
		slab[i].init(q, target, generation)
		q.addSegment(&slab[i])
		unheld -= target.Range.Size()
	}
	q.lostKeys = unheld
	q.trySendAll(slices.Clone(q.open), kind)
	q.finishIfDone()
}

// addSegment makes the segment one that is still awaited.
func (q *Query) addSegment(s *Segment) {
	s.openIndex = len(q.open)
	q.open = append(q.open, s)
	q.segments = append(q.segments, s)
}

// closeSegment takes the segment off those still awaited.
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

// trySendAll sends a sub-request for each segment that is still open.
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

// Tick does what is due by now: the deadline, hedges, another round, stopping.
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

// hedgeSlack lets hedges that are due soon go together: a query then wakes few times.
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

// scheduleTick makes the query wake for the segment's next time.
func (q *Query) scheduleTick(s *Segment) {
	if s.hedgeAt > 0 {
		q.nextTickAt = min(q.nextTickAt, s.hedgeAt)
	}
	if s.retryAt > 0 {
		q.nextTickAt = min(q.nextTickAt, s.retryAt)
	}
}

// Cancel ends the query because its caller has gone.
func (q *Query) Cancel(now time.Duration) { q.Abort(now, ReasonCallerGone) }

// Abort ends the query with what is there, for the reason given.
func (q *Query) Abort(now time.Duration, reason Reason) {
	if q.finished {
		return
	}
	q.now = now
	q.finish(reason)
}

// finishIfDone finishes the query when nothing is left to wait for, or when waiting
// on is not worth while.
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

// isCoverageUnreachable reports that the minimum can't be reached any more. A query that is
// not repeatable waits on, to know what ran.
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

// considerEarlyStop asks the stop policy once the minimum is there.
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

// minExpectedLatency is the least latency that is expected of an open segment, or that of
// the first one found that is as quick as is typical: a query with many segments
// must not look at all of them after each reply.
func (q *Query) minExpectedLatency(typical time.Duration) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, s := range q.open {
		least = min(least, q.environment.ExpectedLatency(s))
		if least <= typical {
			break
		}
	}
	return least
}

// setState changes how far the segment got.
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
