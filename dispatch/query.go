package dispatch

import (
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
)

// running is the state of a running query. query is nil once the query has finished.
type running struct {
	request Query
	class   *class
	key     admission.Key
	query   *gather.Query
	timerAt time.Duration // time of its next timer; zero if none is set
}

// runningOf returns the dispatcher's state of a query.
func runningOf(q *gather.Query) *running { return q.Owner().(*running) }

// handleArrival refuses a new query, queues it or starts it.
func (d *Dispatcher) handleArrival(request Query) {
	c := d.classes[request.Class]
	switch {
	case d.stopping:
		d.refuse(request.ID, ReasonStopping, d.options.RetryAfter)
		return
	case !d.configured:
		d.refuse(request.ID, ReasonNoConfiguration, d.options.RetryAfter)
		return
	case c == nil:
		d.refuse(request.ID, ReasonUnknownClass, d.options.RetryAfter)
		return
	case request.Remaining <= 0:
		d.refuse(request.ID, ReasonDeadline, d.options.RetryAfter)
		return
	}
	if _, reason := d.chooseSnapshot(c, request); reason != "" {
		d.refuse(request.ID, reason, d.options.RetryAfter)
		return
	}
	d.admitOrQueue(c, request)
}

// admitOrQueue passes the query to the admission queue and acts on its decision.
func (d *Dispatcher) admitOrQueue(c *class, request Query) {
	item := admission.Item{
		ID:              uint64(request.ID),
		Rank:            c.rank,
		Arrived:         d.now,
		LongestWait:     c.LongestWait.Duration(),
		Deadline:        d.now + min(request.Remaining, c.Deadline.Duration()),
		ExpectedRunTime: d.latencies.Quantile(medianQuantile),
	}
	decision := d.queue.Offer(d.now, item, d.canStart)
	switch decision.Verdict {
	case admission.Run:
		d.start(c, request, item)
	case admission.Queued:
		d.requests[request.ID] = request
	case admission.RefusedFull:
		d.refuse(request.ID, ReasonQueueFull, decision.RetryAfter)
	default:
		d.refuse(request.ID, ReasonOverload, decision.RetryAfter)
	}
}

// medianQuantile is the quantile of latencies that serves as the minimum time that a query is
// expected to take, and as the expected latency of a server without recent observations.
const medianQuantile = 0.5

// startQueued starts queued queries while there is capacity.
func (d *Dispatcher) startQueued() {
	for d.queue.Len() > 0 {
		item, ok := d.queue.Dequeue(d.now, d.canStart)
		if !ok {
			return
		}
		id := QueryID(item.ID)
		request := d.requests[id]
		delete(d.requests, id)
		d.start(d.classes[request.Class], request, item)
	}
}

// chooseSnapshot returns the snapshot to pin for a query, or the reason for which no snapshot
// can yield a usable answer.
func (d *Dispatcher) chooseSnapshot(c *class, request Query) (SnapshotID, Reason) {
	choice, ok := d.catalog.Choose()
	switch {
	case !ok && d.hasUsableServer():
		return 0, ReasonNoSnapshot
	case !ok:
		return 0, ReasonNoServer
	case choice.Complete:
		return choice.ID, ""
	case coverage.Fraction(choice.Keys, d.keySpace.Size()) < requiredCoverage(c, request):
		return 0, ReasonNoServer
	default:
		return choice.ID, ""
	}
}

// hasUsableServer reports whether any group has a server that is not leaving.
func (d *Dispatcher) hasUsableServer() bool {
	for _, g := range d.groups {
		if g.usable > 0 {
			return true
		}
	}
	return false
}

// requiredCoverage returns the minimum coverage of a usable answer: the higher of what the
// caller and the class require.
func requiredCoverage(c *class, request Query) float64 {
	return min(max(request.MinimumCoverage, c.MinimumCoverage), 1)
}

// start starts a query that has been admitted.
func (d *Dispatcher) start(c *class, request Query, item admission.Item) {
	id, reason := d.chooseSnapshot(c, request)
	if reason != "" {
		d.refuse(request.ID, reason, d.options.RetryAfter)
		return
	}
	r := &running{request: request, class: c, key: d.options.QueueOrder.Key(item)}
	d.running[request.ID] = r
	r.query = gather.New(gather.Options{
		Owner:            r,
		KeySpace:         d.keySpace,
		Snapshot:         id,
		Arrived:          item.Arrived,
		Deadline:         item.Deadline,
		RequiredCoverage: requiredCoverage(c, request),
		Rank:             c.rank,
		Repeatable:       request.Repeatable,
		Stop:             d.options.StopPolicy,
		MaximumRestarts:  d.options.MaximumRestarts,
		MaximumRounds:    d.options.MaximumRounds,
		MaximumSteps:     d.options.MaximumSteps,
	}, (*environment)(d))
	r.query.Start(d.now)
	d.scheduleTick(r)
}

// refuse finishes a query of which nothing has been sent.
func (d *Dispatcher) refuse(id QueryID, reason Reason, retryAfter time.Duration) {
	d.emit(Finish{Query: id, Outcome: Outcome{
		Execution:  ExecutionNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}})
}

// refuseQueued refuses a query that was removed from the queue without running.
func (d *Dispatcher) refuseQueued(id QueryID, reason Reason) {
	delete(d.requests, id)
	d.refuse(id, reason, max(d.queue.ExpectedWait(d.now), d.options.RetryAfter))
}

// handleCallerGone ends a query whose caller has disconnected.
func (d *Dispatcher) handleCallerGone(id QueryID) {
	if d.queue.Remove(uint64(id)) {
		d.refuseQueued(id, ReasonCallerGone)
		return
	}
	if r := d.running[id]; r != nil {
		r.query.Cancel(d.now)
	}
}

// stop refuses queued queries; running ones finish.
func (d *Dispatcher) stop() {
	d.stopping = true
	for _, item := range d.queue.Drain() {
		d.refuseQueued(QueryID(item.ID), ReasonStopping)
	}
}

// finishAttempt releases an attempt that has ended and records its result. It returns nil if
// the attempt is unknown.
func (d *Dispatcher) finishAttempt(id AttemptID, result attemptResult) *gather.Attempt {
	a := d.attempts[id]
	if a == nil {
		return nil
	}
	delete(d.attempts, id)
	s := a.Server.(*server)
	latency := d.now - a.SentAt
	s.limiter.End(d.now, latency, result.limiterOutcome())
	d.recordResult(a, s, latency, result)
	return a
}

// handleReply processes a server's reply to an attempt.
func (d *Dispatcher) handleReply(id AttemptID, reply Reply) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	s := a.Server.(*server)
	d.finishAttempt(id, classifyReply(a, reply))
	d.applyReport(s, reply.Snapshots, reply.Load)
	switch reply.Status {
	case ReplyUnknownSnapshot:
		s.snapshots.RecordMissing(a.Snapshot)
	case ReplyDraining:
		s.draining = true
		s.snapshots.SetAvailable(false)
	case ReplyShed:
		d.recordShed(s, reply.RetryAfter)
	}
	d.notifyQuery(a, s, func(q *gather.Query) { q.HandleReply(d.now, a, reply) })
}

// handleFailure processes an attempt that ended without a reply.
func (d *Dispatcher) handleFailure(event AttemptFailed) {
	result := resultFailed
	a := d.attempts[event.Attempt]
	if a == nil {
		return
	}
	if !a.IsPending() {
		result = resultCancelled
	}
	d.finishAttempt(event.Attempt, result)
	d.notifyQuery(a, a.Server.(*server), func(q *gather.Query) {
		q.HandleFailure(d.now, a, event.Delivery, event.Reason)
	})
}

// notifyQuery passes the result of an attempt to its query and then releases the server's
// capacity, so that the query's own retry takes precedence over waiting segments.
func (d *Dispatcher) notifyQuery(a *gather.Attempt, s *server, notify func(*gather.Query)) {
	q := a.Query()
	notify(q)
	d.scheduleTick(runningOf(q))
	d.updateCapacity(s)
}

// recordShed stops sending to a server for a while after it shed a request.
func (d *Dispatcher) recordShed(s *server, retryAfter time.Duration) {
	s.recordShed(d.now, retryAfter, d.random.Float64()*shedJitter)
	d.setTimer(timer{at: s.shedUntil, server: s})
}

// shedJitter is the maximum jitter, as a fraction of the back-off, that spreads retries to
// servers that shed.
const shedJitter = 0.5
