package gather

import (
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
)

// HandleReply takes a server's reply to an attempt. A reply to an attempt that is
// no longer wanted changes nothing.
func (q *Query) HandleReply(now time.Duration, a *Attempt, reply Reply) {
	if q.finished || !a.live {
		return
	}
	q.now = now
	switch reply.Status {
	case ReplyDone:
		q.done(a, reply)
	case ReplyShed:
		q.notExecuted(a, "shed", ReasonOverload, ShedPrice)
	case ReplyUnknownSnapshot:
		q.notExecuted(a, "unknown snapshot", ReasonNoSnapshot, 0)
	case ReplyNotOwner:
		q.notExecuted(a, "not owner", ReasonExhausted, 0)
	case ReplyDraining:
		q.notExecuted(a, "draining", ReasonNoServer, 0)
	default:
		q.survived = true
		q.mayHaveRun(a, "error", ReasonServerError)
	}
	q.conclude()
}

// HandleFailure takes the end of an attempt without a reply.
func (q *Query) HandleFailure(now time.Duration, a *Attempt, delivery Delivery, reason string) {
	if q.finished || !a.live {
		return
	}
	q.now = now
	switch delivery {
	case NotDelivered:
		q.notExecuted(a, "not delivered: "+reason, ReasonNoServer, 0)
	case ServerCrashed:
		q.serverEnded(a, "server ended: "+reason)
	case CrashUnconfirmed:
		q.doubts++
		q.mayHaveRun(a, "failed: "+reason, ReasonServerError)
	default:
		q.mayHaveRun(a, "failed: "+reason, ReasonServerError)
	}
	q.conclude()
}

// HandleServerGone tells that the attempt's server is gone, so that its reply is not to be
// expected. Another server is asked beside it; the reply still counts if it
// comes. A query that is not repeatable waits on.
func (q *Query) HandleServerGone(now time.Duration, a *Attempt) {
	s := a.Segment
	if q.finished || !a.live || !q.options.Repeatable || len(s.live) > 1 || s.state != awaited || q.cautious() {
		return
	}
	q.now = now
	server, placement := q.environment.Place(s, RetrySend)
	if placement == Placed && q.environment.SpendRetry(q, FullPrice) {
		q.send(s, server, RetrySend)
	}
}

// done takes a result that matches what was asked for.
func (q *Query) done(a *Attempt, reply Reply) {
	if reply.Snapshot != a.Snapshot || reply.Range != a.Range {
		q.mayHaveRun(a, "mismatched reply", ReasonServerError)
		return
	}
	q.explain("answered", a)
	q.ran, q.survived = true, true
	s := a.Segment
	s.detach(a)
	q.cancelLive(s)
	s.server = a.Server
	s.body = reply.Body
	q.covered += s.Range.Size()
	q.remove(s, answered)
}

// notExecuted handles an attempt that certainly was not run.
func (q *Query) notExecuted(a *Attempt, what string, reason Reason, price float64) {
	q.explain(what, a)
	q.again(a, reason, price)
}

// mayHaveRun handles an attempt of which it isn't known whether it ran.
func (q *Query) mayHaveRun(a *Attempt, what string, reason Reason) {
	q.explain(what, a)
	q.unknown = true
	if !q.options.Repeatable {
		a.Segment.detach(a)
		q.giveUp(a.Segment, ReasonOutcomeUnknown)
		q.giveUpUnsent()
		return
	}
	q.again(a, reason, FullPrice)
}

// giveUpUnsent gives up the segments of which no attempt is in flight: nothing
// more may be sent.
func (q *Query) giveUpUnsent() {
	for _, s := range slices.Clone(q.open) {
		if len(s.live) == 0 {
			q.giveUp(s, ReasonOutcomeUnknown)
		}
	}
}

// again asks another server, unless another attempt is still awaited.
func (q *Query) again(a *Attempt, reason Reason, price float64) {
	s := a.Segment
	s.detach(a)
	if len(s.live) > 0 || s.state != awaited {
		return
	}
	if price > 0 && !q.environment.SpendRetry(q, price) {
		q.giveUp(s, reason)
		return
	}
	q.noteFailure(reason)
	q.place(s, RetrySend)
}

// noteFailure keeps the first reason, for when the query fails.
func (q *Query) noteFailure(reason Reason) {
	if q.failure == "" {
		q.failure = reason
	}
}

// place sends a sub-request for the segment, or finds what else to do about it.
func (q *Query) place(s *Segment, kind SendKind) {
	if q.unknown && !q.options.Repeatable {
		q.giveUp(s, ReasonOutcomeUnknown)
		return
	}
	if q.mustWait(kind) {
		q.hold(s, kind)
		return
	}
	if s.generation != q.environment.Generation() && q.reroute(s, kind) {
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
		q.rest(s, kind)
	case Overloaded:
		q.giveUp(s, ReasonOverload)
	default:
		q.unservable(s)
	}
}

// reroute follows a repartition. It reports whether the segment was divided;
// else the segment goes on, with its new group.
func (q *Query) reroute(s *Segment, kind SendKind) bool {
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
	q.remove(s, closed)
	unheld := s.Range.Size()
	divided := make([]*Segment, 0, len(targets))
	for _, target := range targets {
		piece := new(Segment)
		piece.init(q, target, generation)
		q.add(piece)
		divided = append(divided, piece)
		unheld -= target.Range.Size()
	}
	if unheld > 0 {
		q.lost += unheld
		q.noteFailure(ReasonNoServer)
	}
	q.explainRange("repartitioned", s.Range)
	q.placeAll(divided, kind)
	return true
}

// send sends a sub-request to the server.
func (q *Query) send(s *Segment, server Server, kind SendKind) {
	a := s.attempt()
	*a = Attempt{
		ID:       q.environment.NextAttemptID(),
		Segment:  s,
		Server:   server,
		Kind:     kind,
		Range:    s.Range,
		Snapshot: q.snapshot,
		SentAt:   q.now,
		Alone:    q.cautious(),
		live:     true,
	}
	q.setState(s, awaited)
	s.live = append(s.live, a)
	s.tried = append(s.tried, server)
	q.planHedge(s, kind)
	q.explain(kind.step(), a)
	q.environment.Send(a)
}

// step names the kind in explanations.
func (k SendKind) step() string {
	switch k {
	case HedgeSend:
		return "hedge"
	case RetrySend:
		return "retry"
	default:
		return "send"
	}
}

// planHedge sets when a hedge is due; there is one at a time.
func (q *Query) planHedge(s *Segment, kind SendKind) {
	s.hedgeAt = 0
	if kind == HedgeSend || !q.options.Repeatable {
		return
	}
	delay, ok := q.environment.HedgeDelay(s)
	if at := q.now + delay; ok && at < q.options.Deadline {
		s.hedgeAt = at
		q.nextAt = min(q.nextAt, at)
	}
}

// leastHedgePause bounds how often a hedge that was denied is tried again.
const leastHedgePause = time.Millisecond

// hedge asks another server beside the one that is awaited.
func (q *Query) hedge(s *Segment) {
	s.hedgeAt = 0
	if len(s.live) != 1 || q.cautious() {
		return
	}
	if !q.mayHedge() {
		q.hedgeLater(s)
		return
	}
	server, placement := q.environment.Place(s, HedgeSend)
	switch {
	case placement == Placed && q.environment.SpendHedge(q, FullPrice):
		q.send(s, server, HedgeSend)
	case placement == Placed || placement == Busy:
		q.hedgeLater(s)
	}
}

func (q *Query) hedgeLater(s *Segment) {
	waited := q.now - s.live[0].SentAt
	s.hedgeAt = q.now + max(waited/2, leastHedgePause)
	q.wakeFor(s)
}

// rest lets the segment wait before servers that were all tried are asked anew.
func (q *Query) rest(s *Segment, kind SendKind) {
	if len(s.live) > 0 {
		return
	}
	at := q.now + q.environment.Backoff(s.rounds)
	if s.rounds >= q.options.MaximumRounds || at >= q.options.Deadline {
		q.giveUp(s, ReasonExhausted)
		return
	}
	s.rounds++
	q.setState(s, resting)
	s.kind = kind
	s.retryAt = at
	q.wakeFor(s)
}

// unservable handles a segment that no server can answer for the pinned snapshot.
func (q *Query) unservable(s *Segment) {
	if len(s.live) > 0 || q.restart(s) {
		return
	}
	q.giveUp(s, ReasonNoServer)
}

// giveUp leaves the segment uncovered.
func (q *Query) giveUp(s *Segment, reason Reason) {
	q.noteFailure(reason)
	q.explainRange("given up", s.Range)
	q.lost += s.Range.Size()
	q.remove(s, closed)
}

// ResumeSegment tells that there may be room for a segment that waits.
func (q *Query) ResumeSegment(now time.Duration, s *Segment) {
	if q.finished || s.state != waiting {
		return
	}
	q.now = now
	q.setState(s, awaited)
	q.place(s, s.kind)
	q.conclude()
}

// GiveUpSegment tells that a segment that waits can't be answered in time.
func (q *Query) GiveUpSegment(now time.Duration, s *Segment) {
	if q.finished || s.state != waiting {
		return
	}
	q.now = now
	q.giveUp(s, ReasonOverload)
	q.conclude()
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
		if s.state != waiting && s.state != resting {
			continue
		}
		s.retryAt = 0
		s.tried = s.tried[:0]
		q.setState(s, awaited)
		q.place(s, s.kind)
	}
	q.conclude()
}

func (q *Query) explain(what string, a *Attempt) {
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

func (q *Query) explainRange(what string, r coverage.Range) {
	if len(q.steps) >= q.options.MaximumSteps {
		return
	}
	q.steps = append(q.steps, Step{At: q.now - q.options.Arrived, Event: what, Range: r})
}
