package routing

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/snapshot"
)

// request is an in-flight request. It implements gather.Environment with a key space that has one
// key per shard.
type request struct {
	router       *Router
	asked        Request
	query        *gather.Query
	serviceNames []string // service of each part
	parts        []part
	stats        *routeStats
	arrivedAt    time.Duration
	finished     bool
	// isRetry is set if this is probably a retry by the caller, who may not try again.
	isRetry bool
	// crashSuspect is set if servers crashed while executing requests with the same fingerprint.
	crashSuspect bool
	lastFailure  any // last error reply of a server
	timerAt      time.Duration

	sends, hedges, retries int
	records                []AttemptRecord
	// hedgesOverBudget counts hedges denied by the budget, sendsWithoutCapacity sends for which no
	// server had free capacity, and hedgesTooLate hedges that could not have been answered in
	// time.
	hedgesOverBudget, sendsWithoutCapacity, hedgesTooLate int
}

// part is the state of a request's part for one shard.
type part struct {
	// countedInBudget is set once the part has been counted as a request to its service. Later
	// sends are extra sends.
	countedInBudget bool
	// asked lists the servers to which the part was sent.
	asked []*server
}

// extraSendRecords is the capacity reserved for records of extra sends.
const extraSendRecords = 4

// recordEnd records how an attempt ended, unless the request has been answered.
func (q *request) recordEnd(a *attempt, result string) {
	if q.finished {
		return
	}
	record := &q.records[a.recordIndex]
	record.EndedAt, record.Result = q.router.now-q.arrivedAt, result
}

// pinnedSnapshot is the only snapshot of a request: the set of shards in its route table.
const pinnedSnapshot snapshot.ID = 1

func (r *Router) newRequest(asked Request) *request {
	q := &request{router: r, asked: asked, arrivedAt: r.now, stats: r.ensureRouteStats(asked.Route)}
	if asked.Route.Target.IsFanOut() {
		q.serviceNames = asked.Route.Target.Shards
	} else {
		q.serviceNames = []string{asked.Route.Target.Pick(q.stats.nextShareOffset(r.random))}
	}
	q.isRetry = q.stats.timeouts.isRetry(asked.CallerTimeout)
	q.stats.timeouts.observe(asked.CallerTimeout)
	q.parts = make([]part, len(q.serviceNames))
	q.records = make([]AttemptRecord, 0, len(q.serviceNames)+extraSendRecords)
	return q
}

// start sends the request's parts.
func (q *request) start() {
	r := q.router
	target := q.asked.Route.Target
	minimum := 1.0
	if target.IsFanOut() {
		minimum = target.MinimumCoverage
	}
	q.query = gather.New(gather.Options{
		Owner:            q,
		KeySpace:         coverage.Range{Start: 0, End: uint64(len(q.serviceNames))},
		Snapshot:         pinnedSnapshot,
		Arrived:          r.now,
		Deadline:         r.now + q.asked.Remaining,
		RequiredCoverage: minimum,
		Rank:             q.asked.Route.Priority,
		Repeatable:       q.asked.Route.Repeatable,
		CrashSuspect:     q.crashSuspect,
		Stop:             aimStopPolicy{q},
		MaximumRounds:    maxRounds,
	}, q)
	q.query.Start(r.now)
	r.schedule(q)
}

// maxRounds is the number of rounds in which servers that were already tried are tried again.
const maxRounds = 2

// Generation implements gather.Environment.
func (q *request) Generation() uint64 { return 1 }

// Targets implements gather.Environment.
func (q *request) Targets(span coverage.Range) []gather.Target {
	targets := make([]gather.Target, 0, span.Size())
	for key := span.Start; key < span.End; key++ {
		targets = append(targets, gather.Target{
			Range: coverage.Range{Start: key, End: key + 1},
			Group: q.router.ensureService(q.serviceNames[key]),
		})
	}
	return targets
}

// Place implements gather.Environment.
func (q *request) Place(segment *gather.Segment, kind gather.SendKind) (gather.Server, gather.Placement) {
	s := segment.Group.(*service)
	chosen, placement := q.router.chooseServer(s, q, segment, kind)
	if placement == gather.Placed {
		return chosen, placement
	}
	if placement == gather.Busy && kind != gather.HedgeSend {
		q.router.enqueue(s, segment, q)
	}
	return nil, placement
}

// HedgeDelay implements gather.Environment.
func (q *request) HedgeDelay(segment *gather.Segment) (time.Duration, bool) {
	s := segment.Group.(*service)
	if len(s.servers) < 2 || q.asked.Route.Attempts < 2 || !q.router.enabled(mechanism.Hedging) {
		return 0, false
	}
	return q.router.hedgeDelay(q), true
}

// SpendHedge implements gather.Environment. Place has already checked the budget.
func (q *request) SpendHedge(*gather.Query, float64) bool { return true }

// SpendRetry implements gather.Environment. Place has already checked the budget.
func (q *request) SpendRetry(*gather.Query, float64) bool { return true }

// NextSnapshot implements gather.Environment. The set of shards is pinned.
func (q *request) NextSnapshot([]snapshot.ID, uint64) (snapshot.ID, bool) { return 0, false }

// TypicalLatency implements gather.Environment.
func (q *request) TypicalLatency() time.Duration { return q.stats.median() }

// ExpectedLatency implements gather.Environment.
func (q *request) ExpectedLatency(*gather.Segment) time.Duration { return 0 }

// minBackoff is the minimum back-off before servers that were all tried are tried again.
const minBackoff = 20 * time.Millisecond

// Backoff implements gather.Environment.
func (q *request) Backoff(round int) time.Duration {
	pause := minBackoff << min(round, 4)
	return pause + time.Duration(q.router.random.Float64()*float64(pause))
}

// NextAttemptID implements gather.Environment.
func (q *request) NextAttemptID() gather.AttemptID {
	q.router.lastAttempt++
	return q.router.lastAttempt
}

// Send implements gather.Environment.
func (q *request) Send(a *gather.Attempt) {
	r := q.router
	s := a.Server.(*server)
	index := int(a.Range.Start)
	estimate := ServerEstimate{Slowness: r.expectedSlowness(s), InFlight: s.InFlight()}
	sent := &attempt{Attempt: a, server: s, recordIndex: len(q.records)}
	s.BeginAttempt(&sent.flight, r.now, q.stats.median())
	q.records = append(q.records, AttemptRecord{
		Service: s.Service, Server: s.ID, Kind: a.Kind, SentAt: r.now - q.arrivedAt, Estimate: estimate,
	})
	sent.isExtra = r.countSend(a.Segment.Group.(*service), q, index)
	sent.toLimitedVersion = r.countCanarySend(a.Segment.Group.(*service), s, q.asked.Route.Name, a.Kind)
	if !slices.Contains(q.parts[index].asked, s) {
		q.parts[index].asked = append(q.parts[index].asked, s)
	}
	q.countByKind(a.Kind)
	action := Send{
		Attempt:   a.ID,
		Request:   q.asked.ID,
		Server:    s.Server,
		Remaining: q.query.Deadline() - r.now,
		Kind:      a.Kind,
		Alone:     a.Alone,
		Estimate:  estimate,
	}
	r.countColdSend(s)
	if !sent.toLimitedVersion { // a hanging unproven version must not make its zone look unreachable
		r.recordZoneSend(s.zone, s)
	}
	r.attempts[a.ID] = sent
	r.emit(action)
}

func (q *request) countByKind(kind gather.SendKind) {
	q.sends++
	switch kind {
	case gather.HedgeSend:
		q.hedges++
	case gather.RetrySend:
		q.retries++
	}
}

// Cancel implements gather.Environment.
func (q *request) Cancel(a *gather.Attempt) { q.router.emit(Cancel{Attempt: a.ID}) }

// Finish implements gather.Environment.
func (q *request) Finish(_ *gather.Query, outcome gather.Outcome) {
	q.finished = true
	delete(q.router.requests, q.asked.ID)
	result := Outcome{
		Execution: outcome.Execution,
		Reason:    outcome.Reason,
		Missing:   len(q.serviceNames) - len(outcome.Parts),
		Sends:     q.sends,
		Hedges:    q.hedges,
		Retries:   q.retries,

		HedgesOverBudget:     q.hedgesOverBudget,
		SendsWithoutCapacity: q.sendsWithoutCapacity,
		HedgesTooLate:        q.hedgesTooLate,
		Attempts:             q.records,
	}
	for _, p := range outcome.Parts {
		result.Parts = append(result.Parts, Part{Service: q.serviceNames[p.Range.Start], Body: p.Body})
	}
	if outcome.Execution != gather.ExecutionDone {
		result.RetryAfter = q.router.options.RetryAfter
		if len(q.serviceNames) == 1 {
			result.Failure = q.lastFailure
		}
	}
	q.router.emit(Finish{Request: q.asked.ID, Outcome: result})
}
