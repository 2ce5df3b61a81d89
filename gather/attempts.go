package gather

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
)

// HandleReply processes a server's reply to an attempt. It ignores replies to attempts that are
// no longer pending.
func (q *Query) HandleReply(now time.Duration, a *Attempt, reply Reply) {
	if q.finished || !a.pending {
		return
	}
	q.now = now
	if reply.Crashed {
		q.recordCrash()
	}
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
		q.hasSurvivor = q.hasSurvivor || !reply.Crashed
		q.handleUnknownOutcome(a, "error", ReasonServerError)
	}
	q.finishIfDone()
}

// HandleFailure processes an attempt that ended without a reply. The reason appears in the
// explanation.
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

// HandleServerGone is called when the server of a pending attempt has left the cluster and its
// reply is unlikely to arrive. It retries on another server if the retry budget allows; the
// original reply still counts if it does arrive. A query that is not repeatable keeps waiting.
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

// recordAnswer accepts a result whose snapshot and range match the attempt. A mismatch counts
// as a server error.
func (q *Query) recordAnswer(a *Attempt, reply Reply) {
	if reply.Snapshot != a.Snapshot || reply.Range != a.Range {
		q.handleUnknownOutcome(a, "mismatched reply", ReasonServerError)
		return
	}
	q.recordStep("answered", a)
	q.executed, q.hasSurvivor = true, q.hasSurvivor || !reply.Crashed
	s := a.Segment
	s.removeAttempt(a)
	q.cancelPending(s)
	s.answeredBy = a.Server
	s.body = reply.Body
	q.coveredKeys += s.Range.Size()
	q.closeSegment(s, answered)
}

// handleNotExecuted handles an attempt that is known not to have run.
func (q *Query) handleNotExecuted(a *Attempt, event string, reason Reason, price float64) {
	q.recordStep(event, a)
	q.retry(a, reason, price)
}

// handleUnknownOutcome handles an attempt that may have run. A query that is not repeatable
// sends nothing more after it.
func (q *Query) handleUnknownOutcome(a *Attempt, event string, reason Reason) {
	q.recordStep(event, a)
	q.outcomeUnknown = true
	if !q.options.Repeatable {
		a.Segment.removeAttempt(a)
		q.giveUp(a.Segment, ReasonOutcomeUnknown)
		q.giveUpUnsent()
		return
	}
	q.retry(a, reason, FullPrice)
}

// giveUpUnsent gives up all segments without an attempt in flight, because nothing more may be
// sent.
func (q *Query) giveUpUnsent() {
	for _, s := range slices.Clone(q.open) {
		if len(s.pending) == 0 {
			q.giveUp(s, ReasonOutcomeUnknown)
		}
	}
}

// retry removes the failed attempt and sends the segment to another server, unless another
// attempt for it is still pending or the retry budget is exhausted.
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

// recordFailure keeps the first failure reason, which becomes the reason of a failed query.
func (q *Query) recordFailure(reason Reason) {
	if q.firstFailure == "" {
		q.firstFailure = reason
	}
}

// trySend sends a sub-request for the segment. If that is not possible now, the segment is
// held, rerouted, left waiting for capacity, backed off or given up.
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

// rerouteSegment applies a repartition to the segment. If the range now belongs to several
// groups, the segment is replaced by one per group and rerouteSegment reports true; otherwise
// the segment continues with its new group.
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
	unassigned := s.Range.Size()
	pieces := make([]*Segment, 0, len(targets))
	for _, target := range targets {
		piece := new(Segment)
		piece.init(q, target, generation)
		q.addSegment(piece)
		pieces = append(pieces, piece)
		unassigned -= target.Range.Size()
	}
	if unassigned > 0 {
		q.lostKeys += unassigned
		q.recordFailure(ReasonNoServer)
	}
	q.recordRangeStep("repartitioned", s.Range)
	q.trySendAll(pieces, kind)
	return true
}

// send starts a new attempt for the segment on the server.
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

// label returns the name of the kind in explanations.
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

// scheduleHedge sets the time of the segment's hedge. A segment has at most one hedge in
// flight, and queries that are not repeatable are never hedged.
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

// minHedgeRetryDelay is the minimum delay before a denied hedge is attempted again.
const minHedgeRetryDelay = time.Millisecond

// sendHedge sends a second attempt for a segment that has exactly one pending. If capacity or
// budget is lacking, it tries again later.
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

// startBackoff delays the next retry round after all usable servers have been tried. The
// segment is given up when the rounds are used up or the next one would start after the
// deadline.
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

// handleUnservable handles a segment for which no server has the pinned snapshot: the query
// restarts on another snapshot or gives the segment up.
func (q *Query) handleUnservable(s *Segment) {
	if len(s.pending) > 0 || q.restart(s) {
		return
	}
	q.giveUp(s, ReasonNoServer)
}

// giveUp closes the segment without an answer; its keys count as lost.
func (q *Query) giveUp(s *Segment, reason Reason) {
	q.recordFailure(reason)
	q.recordRangeStep("given up", s.Range)
	q.lostKeys += s.Range.Size()
	q.closeSegment(s, closed)
}

// ResumeSegment is called when there may be capacity for a segment that is waiting for it.
func (q *Query) ResumeSegment(now time.Duration, s *Segment) {
	if q.finished || s.state != waiting {
		return
	}
	q.now = now
	q.setState(s, active)
	q.trySend(s, s.kind)
	q.finishIfDone()
}

// GiveUpSegment is called when a segment that waits for capacity can no longer be answered in
// time.
func (q *Query) GiveUpSegment(now time.Duration, s *Segment) {
	if q.finished || s.state != waiting {
		return
	}
	q.now = now
	q.giveUp(s, ReasonOverload)
	q.finishIfDone()
}

// Reroute is called when the routing generation has changed or servers have become available.
// Segments that are waiting for capacity or backing off are retried at once.
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

func (q *Query) recordStep(event string, a *Attempt) {
	if len(q.steps) >= q.options.MaximumSteps {
		return
	}
	q.steps = append(q.steps, Step{
		At:      q.now - q.options.Arrived,
		Event:   event,
		Attempt: a.ID,
		Server:  a.Server.ServerID(),
		Range:   a.Range,
	})
}

func (q *Query) recordRangeStep(event string, r coverage.Range) {
	if len(q.steps) >= q.options.MaximumSteps {
		return
	}
	q.steps = append(q.steps, Step{At: q.now - q.options.Arrived, Event: event, Range: r})
}
