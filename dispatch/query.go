package dispatch

import (
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
)

// running is a query that runs. query is nil once it has its final answer.
type running struct {
	asked   Query
	class   *class
	key     admission.Key
	query   *gather.Query
	timerAt time.Duration // of its timer; zero is none
}

// owner returns the dispatcher's own record of a query.
func owner(q *gather.Query) *running { return q.Owner().(*running) }

// arrive decides on a query.
func (d *Dispatcher) arrive(asked Query) {
	c := d.classes[asked.Class]
	switch {
	case d.stopping:
		d.refuse(asked.ID, ReasonStopping, d.options.RetryAfter)
		return
	case !d.known:
		d.refuse(asked.ID, ReasonNoConfiguration, d.options.RetryAfter)
		return
	case c == nil:
		d.refuse(asked.ID, ReasonUnknownClass, d.options.RetryAfter)
		return
	case asked.Remaining <= 0:
		d.refuse(asked.ID, ReasonDeadline, d.options.RetryAfter)
		return
	}
	if _, reason := d.pin(c, asked); reason != "" {
		d.refuse(asked.ID, reason, d.options.RetryAfter)
		return
	}
	d.offer(c, asked)
}

// offer lets admission decide.
func (d *Dispatcher) offer(c *class, asked Query) {
	item := admission.Item{
		ID:              uint64(asked.ID),
		Rank:            c.rank,
		Arrived:         d.now,
		LongestWait:     c.LongestWait.Duration(),
		Deadline:        d.now + min(asked.Remaining, c.Deadline.Duration()),
		ExpectedRunTime: d.latencies.Quantile(medianQuantile),
	}
	decision := d.queue.Offer(d.now, item, d.hasRoom)
	switch decision.Verdict {
	case admission.Run:
		d.start(c, asked, item)
	case admission.Queued:
		d.asked[asked.ID] = asked
	case admission.RefusedFull:
		d.refuse(asked.ID, ReasonQueueFull, decision.RetryAfter)
	default:
		d.refuse(asked.ID, ReasonOverload, decision.RetryAfter)
	}
}

// medianQuantile is the least time that a query is expected to need.
const medianQuantile = 0.5

// admit starts the queries that wait, while there is room.
func (d *Dispatcher) admit() {
	for d.queue.Len() > 0 {
		item, ok := d.queue.Dequeue(d.now, d.hasRoom)
		if !ok {
			return
		}
		id := QueryID(item.ID)
		asked := d.asked[id]
		delete(d.asked, id)
		d.start(d.classes[asked.Class], asked, item)
	}
}

// pin chooses the snapshot for a query; the reason tells why there is none that
// could give an answer.
func (d *Dispatcher) pin(c *class, asked Query) (SnapshotID, Reason) {
	choice, ok := d.catalog.Choose()
	switch {
	case !ok && d.usable():
		return 0, ReasonNoSnapshot
	case !ok:
		return 0, ReasonNoServer
	case choice.Complete:
		return choice.ID, ""
	case coverage.Fraction(choice.Keys, d.space.Size()) < minimum(c, asked):
		return 0, ReasonNoServer
	default:
		return choice.ID, ""
	}
}

// usable reports whether any group has a server that is not leaving.
func (d *Dispatcher) usable() bool {
	for _, g := range d.groups {
		if g.usable > 0 {
			return true
		}
	}
	return false
}

// minimum is the least coverage that makes an answer.
func minimum(c *class, asked Query) float64 {
	return min(max(asked.MinimumCoverage, c.MinimumCoverage), 1)
}

// start runs a query.
func (d *Dispatcher) start(c *class, asked Query, item admission.Item) {
	id, reason := d.pin(c, asked)
	if reason != "" {
		d.refuse(asked.ID, reason, d.options.RetryAfter)
		return
	}
	r := &running{asked: asked, class: c, key: d.options.QueueOrder.Key(item)}
	d.running[asked.ID] = r
	r.query = gather.New(gather.Options{
		Owner:            r,
		KeySpace:         d.space,
		Snapshot:         id,
		Arrived:          item.Arrived,
		Deadline:         item.Deadline,
		RequiredCoverage: minimum(c, asked),
		Rank:             c.rank,
		Repeatable:       asked.Repeatable,
		Stop:             d.options.StopPolicy,
		MaximumRestarts:  d.options.MaximumRestarts,
		MaximumRounds:    d.options.MaximumRounds,
		MaximumSteps:     d.options.MaximumSteps,
	}, (*environment)(d))
	r.query.Start(d.now)
	d.schedule(r)
}

// refuse gives the final answer to a query of which nothing was sent.
func (d *Dispatcher) refuse(id QueryID, reason Reason, retryAfter time.Duration) {
	d.emit(Finish{Query: id, Outcome: Outcome{
		Execution:  ExecutionNotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}})
}

// dequeue refuses a query that has left the queue without running.
func (d *Dispatcher) dequeue(id QueryID, reason Reason) {
	delete(d.asked, id)
	d.refuse(id, reason, max(d.queue.ExpectedWait(d.now), d.options.RetryAfter))
}

// callerGone ends a query whose caller no longer waits.
func (d *Dispatcher) callerGone(id QueryID) {
	if d.queue.Remove(uint64(id)) {
		d.dequeue(id, ReasonCallerGone)
		return
	}
	if r := d.running[id]; r != nil {
		r.query.Cancel(d.now)
	}
}

// stop refuses what waits; what runs finishes.
func (d *Dispatcher) stop() {
	d.stopping = true
	for _, item := range d.queue.Drain() {
		d.dequeue(QueryID(item.ID), ReasonStopping)
	}
}

// settle takes an attempt whose end was reported; nil when it is not known.
func (d *Dispatcher) settle(id AttemptID, outcome attemptEnd) *gather.Attempt {
	a := d.attempts[id]
	if a == nil {
		return nil
	}
	delete(d.attempts, id)
	s := a.Server.(*server)
	latency := d.now - a.SentAt
	s.limiter.End(d.now, latency, outcome.sample())
	d.learn(a, s, latency, outcome)
	return a
}

// replied takes a server's reply.
func (d *Dispatcher) replied(id AttemptID, reply Reply) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	s := a.Server.(*server)
	d.settle(id, endOf(a, reply))
	d.observe(s, reply.Snapshots, reply.Load)
	switch reply.Status {
	case ReplyUnknownSnapshot:
		s.holder.Lacks(a.Snapshot)
	case ReplyDraining:
		s.draining = true
		s.holder.SetAvailable(false)
	case ReplyShed:
		d.shed(s, reply.RetryAfter)
	}
	d.resolve(a, s, func(q *gather.Query) { q.HandleReply(d.now, a, reply) })
}

// failed takes the end of an attempt without a reply.
func (d *Dispatcher) failed(event AttemptFailed) {
	end := endFailed
	a := d.attempts[event.Attempt]
	if a == nil {
		return
	}
	if !a.IsPending() {
		end = endCancelled
	}
	d.settle(event.Attempt, end)
	d.resolve(a, a.Server.(*server), func(q *gather.Query) {
		q.HandleFailure(d.now, a, event.Delivery, event.Reason)
	})
}

// resolve tells the query first, so that its own retry goes before what waits,
// then lets others use the room.
func (d *Dispatcher) resolve(a *gather.Attempt, s *server, tell func(*gather.Query)) {
	q := a.Query()
	tell(q)
	d.schedule(owner(q))
	d.account(s)
}

// shed leaves a server alone for a while.
func (d *Dispatcher) shed(s *server, retryAfter time.Duration) {
	s.shed(d.now, retryAfter, d.random.Float64()*shedJitter)
	d.setTimer(timer{at: s.shedUntil, server: s})
}

// shedJitter spreads the time at which servers that shed are tried again.
const shedJitter = 0.5
