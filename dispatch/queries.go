package dispatch

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
)

// query is one query that runs.
type query struct {
	Query
	arrived  time.Duration
	deadline time.Duration
	minimum  float64
	snapshot SnapshotID
	space    coverage.Range
	parts    []*part
	open     int
	// executed says that a server ran, or may have run, a sub-request.
	executed bool
	// unknown says that a sub-request's fate can't be known.
	unknown bool
	steps   []Step
}

// part is a piece of the key space that one sub-request answers.
type part struct {
	group    *group
	span     coverage.Range
	tried    []string
	attempt  AttemptID
	answered bool
	closed   bool
	server   string
	body     any
}

// attempt is one sub-request whose end has not been reported.
type attempt struct {
	id     AttemptID
	query  *query
	part   *part
	server *server
}

func (d *Dispatcher) arrive(asked Query) {
	q := &query{Query: asked, arrived: d.now}
	class, known := d.classes[asked.Class]
	switch {
	case d.stopping:
		d.refuse(q, ReasonStopping)
		return
	case !d.known:
		d.refuse(q, ReasonNoConfiguration)
		return
	case !known:
		d.refuse(q, ReasonUnknownClass)
		return
	}
	remaining := min(asked.Remaining, class.Deadline.Duration())
	if asked.Remaining <= 0 {
		d.refuse(q, ReasonDeadline)
		return
	}
	q.deadline = d.now + remaining
	q.minimum = max(asked.MinimumCoverage, class.MinimumCoverage)
	q.snapshot = d.newestSnapshot(nil)
	if q.snapshot == 0 {
		d.refuse(q, ReasonNoSnapshot)
		return
	}
	d.start(q)
}

// start sends one sub-request per group.
func (d *Dispatcher) start(q *query) {
	d.queries[q.ID] = q
	heap.Push(&d.timers, timer{at: q.deadline, query: q.ID})
	q.space = d.service.KeySpace
	q.open = len(d.groups)
	for i := range d.groups {
		p := &part{group: &d.groups[i], span: d.groups[i].span}
		q.parts = append(q.parts, p)
	}
	for _, p := range q.parts {
		d.send(q, p, FirstSend)
	}
}

// send asks a server for the part, or closes the part when none is left.
func (d *Dispatcher) send(q *query, p *part, kind SendKind) {
	s := d.choose(p.group, q.snapshot, p.tried)
	if s == nil || q.unknown && !q.Repeatable {
		d.closePart(q, p)
		return
	}
	d.last++
	a := &attempt{id: d.last, query: q, part: p, server: s}
	d.attempts[a.id] = a
	p.attempt = a.id
	p.tried = append(p.tried, s.ID)
	s.inFlight++
	q.explain(d.now, "send", a)
	d.emit(Send{
		Attempt:   a.id,
		Query:     q.ID,
		Server:    s.ID,
		Address:   s.Address,
		Range:     p.span,
		Snapshot:  q.snapshot,
		Remaining: q.deadline - d.now,
		Kind:      kind,
	})
}

func (d *Dispatcher) closePart(q *query, p *part) {
	p.closed = true
	q.open--
	if q.open > 0 {
		return
	}
	if q.unknown && !q.Repeatable {
		d.finish(q, ReasonOutcomeUnknown)
		return
	}
	d.finish(q, ReasonExhausted)
}

// settle removes the attempt and returns it; live is false when its query no
// longer waits for it.
func (d *Dispatcher) settle(id AttemptID) (a *attempt, live bool) {
	a = d.attempts[id]
	if a == nil {
		return nil, false
	}
	delete(d.attempts, id)
	a.server.inFlight--
	return a, d.queries[a.query.ID] == a.query && a.part.attempt == id
}

func (d *Dispatcher) replied(id AttemptID, reply Reply) {
	a, live := d.settle(id)
	if a == nil {
		return
	}
	d.observe(a.server.ID, reply.Snapshots, reply.Load)
	switch reply.Status {
	case ReplyDraining:
		a.server.draining = true
	case ReplyShed:
		a.server.shedUntil = d.now + max(reply.RetryAfter, 0)
	case ReplyUnknownSnapshot:
		a.server.forget(a.query.snapshot)
	}
	if !live {
		return
	}
	q, p := a.query, a.part
	switch reply.Status {
	case ReplyDone:
		if reply.Snapshot != q.snapshot || reply.Range != p.span {
			d.mayHaveRun(a, "mismatched reply")
			return
		}
		d.answer(a, reply.Body)
	case ReplyShed, ReplyUnknownSnapshot, ReplyNotOwner, ReplyDraining:
		q.explain(d.now, "not executed", a)
		d.send(q, p, RetrySend)
	default:
		d.mayHaveRun(a, "error")
	}
}

// forget drops a snapshot that the server said it lacks.
func (s *server) forget(snapshot SnapshotID) {
	s.snapshots = slices.DeleteFunc(s.snapshots, func(held SnapshotID) bool { return held == snapshot })
}

func (d *Dispatcher) failed(event Failed) {
	a, live := d.settle(event.Attempt)
	if !live {
		return
	}
	if event.Delivery == NotDelivered {
		a.query.explain(d.now, "not delivered", a)
		d.send(a.query, a.part, RetrySend)
		return
	}
	d.mayHaveRun(a, event.Reason)
}

// mayHaveRun handles an attempt whose sub-request may have run.
func (d *Dispatcher) mayHaveRun(a *attempt, what string) {
	q, p := a.query, a.part
	q.explain(d.now, what, a)
	q.executed = true
	q.unknown = true
	if !q.Repeatable {
		d.closePart(q, p)
		return
	}
	d.send(q, p, RetrySend)
}

func (d *Dispatcher) answer(a *attempt, body any) {
	q, p := a.query, a.part
	q.explain(d.now, "answered", a)
	q.executed = true
	p.answered = true
	p.closed = true
	p.server = a.server.ID
	p.body = body
	q.open--
	if q.open > 0 {
		return
	}
	d.finish(q, ReasonExhausted)
}

func (d *Dispatcher) callerGone(id QueryID) {
	if q := d.queries[id]; q != nil {
		d.finish(q, ReasonCallerGone)
	}
}

// finish gives the query's final answer and cancels what is in flight.
func (d *Dispatcher) finish(q *query, reason Reason) {
	delete(d.queries, q.ID)
	var covered coverage.Set
	outcome := Outcome{Reason: reason}
	for _, p := range q.parts {
		if p.answered {
			covered.Add(p.span)
			outcome.Parts = append(outcome.Parts, Part{Range: p.span, Server: p.server, Body: p.body})
		}
		if !p.closed && p.attempt != 0 {
			q.executed = true
			d.emit(Cancel{Attempt: p.attempt})
		}
	}
	slices.SortFunc(outcome.Parts, func(a, b Part) int { return cmp.Compare(a.Range.Start, b.Range.Start) })
	outcome.Coverage = covered.Fraction(q.space)
	outcome.Complete = outcome.Coverage == 1
	if len(outcome.Parts) > 0 {
		outcome.Snapshot = q.snapshot
	}
	d.judge(q, &outcome)
	outcome.Explanation = q.steps
	d.emit(Finish{Query: q.ID, Outcome: outcome})
}

// judge sets the verdict on what ran.
func (d *Dispatcher) judge(q *query, outcome *Outcome) {
	switch {
	case outcome.Complete:
		outcome.Execution = ExecutionDone
		outcome.Reason = ReasonComplete
	case len(outcome.Parts) > 0 && outcome.Coverage >= q.minimum && outcome.Reason != ReasonCallerGone:
		outcome.Execution = ExecutionDone
	case len(outcome.Parts) > 0:
		outcome.Execution = ExecutionPartial
	case q.executed:
		outcome.Execution = ExecutionUnknown
	default:
		outcome.Execution = ExecutionNotRun
	}
	if outcome.Execution != ExecutionDone {
		outcome.RetryAfter = d.options.RetryAfter
	}
}

func (d *Dispatcher) refuse(q *query, reason Reason) {
	d.emit(Finish{Query: q.ID, Outcome: Outcome{
		Execution:  ExecutionNotRun,
		Reason:     reason,
		RetryAfter: d.options.RetryAfter,
	}})
}

func (q *query) explain(now time.Duration, what string, a *attempt) {
	q.steps = append(q.steps, Step{
		At:      now - q.arrived,
		What:    what,
		Attempt: a.id,
		Server:  a.server.ID,
		Range:   a.part.span,
	})
}
