package gather

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
)

// HandleReply takes a server's reply to an attempt. A reply to an attempt that is
// no longer wanted changes nothing.
func (q *Query) HandleReply(now time.Duration, a *Attempt, reply Reply) {
	if q.finished || !a.pending {
		return
	}
	q.now = now
	switch reply.Status {
	case ReplyDone:
		q.recordAnswer(a, reply)
	case ReplyShed:
		q.handleNotExecuted(a, "shed", ReasonOverload, ShedPrice)
	case ReplyUnknownSnapshot:
		q.handleNotExecuted(a, "unknown snapshot", ReasonNoSnapshot, 0)
	case ReplyNotOwner:
		q.handleNotExecuted(a, "not owner", ReasonExhausted, 0)
	case ReplyDraining:
		q.handleNotExecuted(a, "draining", ReasonNoServer, 0)
	default:
		q.hasSurvivor = true
		q.handleUnknownOutcome(a, "error", ReasonServerError)
	}
	q.finishIfDone()
}

// HandleFailure takes the end of an attempt without a reply.
func (q *Query) HandleFailure(now time.Duration, a *Attempt, delivery Delivery, reason string) {
	if q.finished || !a.pending {
		return
	}
	q.now = now
	switch delivery {
	case NotDelivered:
		q.handleNotExecuted(a, "not delivered: "+reason, ReasonNoServer, 0)
	case ServerCrashed:
		q.handleServerCrash(a, "server ended: "+reason)
	case CrashUnconfirmed:
		q.unconfirmedCrashes++
		q.handleUnknownOutcome(a, "failed: "+reason, ReasonServerError)
	default:
		q.handleUnknownOutcome(a, "failed: "+reason, ReasonServerError)
	}
	q.finishIfDone()
}

// HandleServerGone tells that the attempt's server is gone, so that its reply is not to be
// expected. Another server is asked beside it; the reply still counts if it
// comes. A query that is not repeatable waits on.
func (q *Query) HandleServerGone(now time.Duration, a *Attempt) {
	s := a.Segment
	if q.finished || !a.pending || !q.options.Repeatable || len(s.pending) > 1 || s.state != active || q.sendsSerially() {
		return
	}
	q.now = now
	server, placement := q.environment.Place(s, RetrySend)
	if placement == Placed && q.environment.SpendRetry(q, FullPrice) {
		q.send(s, server, RetrySend)
	}
}

// recordAnswer takes a result that matches what was asked for.
func (q *Query) recordAnswer(a *Attempt, reply Reply) {
	if reply.Snapshot != a.Snapshot || reply.Range != a.Range {
		q.handleUnknownOutcome(a, "mismatched reply", ReasonServerError)
		return
	}
	q.recordStep("answered", a)
	q.executed, q.hasSurvivor = true, true
	s := a.Segment
	s.removeAttempt(a)
	q.cancelPending(s)
	s.answeredBy = a.Server
	s.body = reply.Body
	q.coveredKeys += s.Range.Size()
	q.closeSegment(s, answered)
}

// handleNotExecuted handles an attempt that certainly was not run.
func (q *Query) handleNotExecuted(a *Attempt, what string, reason Reason, price float64) {
	q.recordStep(what, a)
	q.retry(a, reason, price)
}

// handleUnknownOutcome handles an attempt of which it isn't known whether it ran.
func (q *Query) handleUnknownOutcome(a *Attempt, what string, reason Reason) {
	q.recordStep(what, a)
	q.outcomeUnknown = true
	if !q.options.Repeatable {
		a.Segment.removeAttempt(a)
		q.giveUp(a.Segment, ReasonOutcomeUnknown)
		q.giveUpUnsent()
		return
	}
	q.retry(a, reason, FullPrice)
}

// giveUpUnsent gives up the segments of which no attempt is in flight: nothing
// more may be sent.
func (q *Query) giveUpUnsent() {
	for _, s := range slices.Clone(q.open) {
		if len(s.pending) == 0 {
			q.giveUp(s, ReasonOutcomeUnknown)
		}
	}
}

// retry asks another server, unless another attempt is still awaited.
func (q *Query) retry(a *Attempt, reason Reason, price float64) {
	s := a.Segment
	s.removeAttempt(a)
	if len(s.pending) > 0 || s.state != active {
		return
	}
	if price > 0 && !q.environment.SpendRetry(q, price) {
		q.giveUp(s, reason)
		return
	}
	q.recordFailure(reason)
	q.trySend(s, RetrySend)
}

// recordFailure keeps the first reason, for when the query fails.
func (q *Query) recordFailure(reason Reason) {
	if q.firstFailure == "" {
		q.firstFailure = reason
	}
}

// trySend sends a sub-request for the segment, or finds what else to do about it.
func (q *Query) trySend(s *Segment, kind SendKind) {
	if q.outcomeUnknown && !q.options.Repeatable {
		q.giveUp(s, ReasonOutcomeUnknown)
		return
	}
	if q.mustHold(kind) {
		q.hold(s, kind)
		return
	}
	if s.generation != q.environment.Generation() && q.rerouteSegment(s, kind) {
		return
	}
	server, placement := q.environment.Place(s, kind)
	switch placement {
	case Placed:
		q.send(s, server, kind)
	case Busy:
		q.setState(s, waiting)
		s.kind = kind
	case AllTried:
		q.startBackoff(s, kind)
	case Overloaded:
		q.giveUp(s, ReasonOverload)
	default:
		q.handleUnservable(s)
	}
}

// rerouteSegment follows a repartition. It reports whether the segment was divided;
// else the segment goes on, with its new group.
func (q *Query) rerouteSegment(s *Segment, kind SendKind) bool {
	targets := q.environment.Targets(s.Range)
	generation := q.environment.Generation()
	s.generation = generation
	if len(targets) == 1 && targets[0].Range == s.Range {
		if s.Group != targets[0].Group {
			s.Group = targets[0].Group
			s.tried = s.tried[:0]
		}
		return false
	}
	q.closeSegment(s, closed)
	unheld := s.Range.Size()
	divided := make([]*Segment, 0, len(targets))
	for _, target := range targets {
		piece := new(Segment)
		piece.init(q, target, generation)
		q.addSegment(piece)
		divided = append(divided, piece)
		unheld -= target.Range.Size()
	}
	if unheld > 0 {
		q.lostKeys += unheld
		q.recordFailure(ReasonNoServer)
	}
	q.recordRangeStep("repartitioned", s.Range)
	q.trySendAll(divided, kind)
	return true
}

// send sends a sub-request to the server.
func (q *Query) send(s *Segment, server Server, kind SendKind) {
	a := s.newAttempt()
	*a = Attempt{
		ID:       q.environment.NextAttemptID(),
		Segment:  s,
		Server:   server,
		Kind:     kind,
		Range:    s.Range,
		Snapshot: q.snapshot,
		SentAt:   q.now,
		Alone:    q.sendsSerially(),
		pending:  true,
	}
	q.setState(s, active)
	s.pending = append(s.pending, a)
	s.tried = append(s.tried, server)
	q.scheduleHedge(s, kind)
	q.recordStep(kind.label(), a)
	q.environment.Send(a)
}

// label names the kind in explanations.
func (k SendKind) label() string {
	switch k {
	case HedgeSend:
		return "hedge"
	case RetrySend:
		return "retry"
	default:
		return "send"
	}
}

// scheduleHedge sets when a hedge is due; there is one at a time.
func (q *Query) scheduleHedge(s *Segment, kind SendKind) {
	s.hedgeAt = 0
	if kind == HedgeSend || !q.options.Repeatable {
		return
	}
	delay, ok := q.environment.HedgeDelay(s)
	if at := q.now + delay; ok && at < q.options.Deadline {
		s.hedgeAt = at
		q.nextTickAt = min(q.nextTickAt, at)
	}
}

// minHedgeRetryDelay bounds how often a hedge that was denied is tried again.
const minHedgeRetryDelay = time.Millisecond

// sendHedge asks another server beside the one that is awaited.
func (q *Query) sendHedge(s *Segment) {
	s.hedgeAt = 0
	if len(s.pending) != 1 || q.sendsSerially() {
		return
	}
	if !q.hedgeAllowed() {
		q.postponeHedge(s)
		return
	}
	server, placement := q.environment.Place(s, HedgeSend)
	switch {
	case placement == Placed && q.environment.SpendHedge(q, FullPrice):
		q.send(s, server, HedgeSend)
	case placement == Placed || placement == Busy:
		q.postponeHedge(s)
	}
}

func (q *Query) postponeHedge(s *Segment) {
	waited := q.now - s.pending[0].SentAt
	s.hedgeAt = q.now + max(waited/2, minHedgeRetryDelay)
	q.scheduleTick(s)
}

// startBackoff lets the segment wait before servers that were all tried are asked anew.
func (q *Query) startBackoff(s *Segment, kind SendKind) {
	if len(s.pending) > 0 {
		return
	}
	at := q.now + q.environment.Backoff(s.rounds)
	if s.rounds >= q.options.MaximumRounds || at >= q.options.Deadline {
		q.giveUp(s, ReasonExhausted)
		return
	}
	s.rounds++
	q.setState(s, backingOff)
	s.kind = kind
	s.retryAt = at
	q.scheduleTick(s)
}

// handleUnservable handles a segment that no server can answer for the pinned snapshot.
func (q *Query) handleUnservable(s *Segment) {
	if len(s.pending) > 0 || q.restart(s) {
		return
	}
	q.giveUp(s, ReasonNoServer)
}

// giveUp leaves the segment uncovered.
func (q *Query) giveUp(s *Segment, reason Reason) {
	q.recordFailure(reason)
	q.recordRangeStep("given up", s.Range)
	q.lostKeys += s.Range.Size()
	q.closeSegment(s, closed)
}

// ResumeSegment tells that there may be room for a segment that waits.
func (q *Query) ResumeSegment(now time.Duration, s *Segment) {
	if q.finished || s.state != waiting {
		return
	}
	q.now = now
	q.setState(s, active)
	q.trySend(s, s.kind)
	q.finishIfDone()
}

// GiveUpSegment tells that a segment that waits can't be answered in time.
func (q *Query) GiveUpSegment(now time.Duration, s *Segment) {
	if q.finished || s.state != waiting {
		return
	}
	q.now = now
	q.giveUp(s, ReasonOverload)
	q.finishIfDone()
}

// Reroute tells that Targets may answer otherwise than before, or that servers
// came: segments that wait or rest are tried again.
func (q *Query) Reroute(now time.Duration) {
	if q.finished {
		return
	}
	q.now = now
	for _, s := range slices.Clone(q.open) {
		if q.finished {
			return
		}
		if s.state != waiting && s.state != backingOff {
			continue
		}
		s.retryAt = 0
		s.tried = s.tried[:0]
		q.setState(s, active)
		q.trySend(s, s.kind)
	}
	q.finishIfDone()
}

func (q *Query) recordStep(what string, a *Attempt) {
	if len(q.steps) >= q.options.MaximumSteps {
		return
	}
	q.steps = append(q.steps, Step{
		At:      q.now - q.options.Arrived,
		Event:   what,
		Attempt: a.ID,
		Server:  a.Server.ServerID(),
		Range:   a.Range,
	})
}

func (q *Query) recordRangeStep(what string, r coverage.Range) {
	if len(q.steps) >= q.options.MaximumSteps {
		return
	}
	q.steps = append(q.steps, Step{At: q.now - q.options.Arrived, Event: what, Range: r})
}
