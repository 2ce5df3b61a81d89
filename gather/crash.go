package gather

import (
	"slices"
	"time"
)

// maxCrashes is the number of servers that may crash under a query before it is given up. One
// or two servers may crash for unrelated reasons while they run it.
const maxCrashes = 3

// sendsSerially reports whether the query may have at most one sub-request in flight, because
// it may be the cause of server crashes. A single sub-request is as conclusive as many, and an
// answer to it releases the others. Without this limit, all 8 servers of 4 parts crashed under
// one query, and 6 with it, after which the query is identified.
func (q *Query) sendsSerially() bool {
	return !q.hasSurvivor && (q.options.CrashSuspect || q.crashes > 0)
}

const (
	// minCrashSpan is the minimum time between the first and the last crash that make a query a
	// suspect. Servers that crash together for an unrelated reason do so at the same moment.
	minCrashSpan = 2 * time.Millisecond
	// provenCrashes is the number of crashes that prove a query to be the cause without an
	// attempt sent alone, provided that every server that received the query has crashed and
	// that the crashes are spread over at least provenCrashSpan. Reports of simultaneous
	// crashes arrive closer together than that: a connection reset and the following check of
	// the server take three one-way trips, of at most 24 ms each between regions.
	provenCrashes   = 8
	provenCrashSpan = 75 * time.Millisecond
)

// recordCrash counts a server crash.
func (q *Query) recordCrash() {
	if q.crashes == 0 {
		q.firstCrashAt = q.now
	}
	q.crashes++
	q.lastCrashAt = q.now
}

// IsCrashSuspect reports whether at least maxCrashes servers have crashed under the query, not
// all at once, and none has answered it.
func (q *Query) IsCrashSuspect() bool { return q.hasCrashed(maxCrashes, minCrashSpan) }

// CrashedAllServers reports whether every server that received the query has crashed, with
// enough crashes over a long enough time to prove that the query is the cause.
func (q *Query) CrashedAllServers() bool { return q.crashedAllServers }

// isCrasherProven reports whether the query is proven to crash servers, given its number of
// pending attempts.
func (q *Query) isCrasherProven(pending int) bool {
	return pending == 0 && q.hasCrashed(provenCrashes, provenCrashSpan)
}

// finishProvenCrasher finishes a query that is proven to crash servers.
func (q *Query) finishProvenCrasher() {
	q.crashedAllServers, q.outcomeUnknown = true, true
	q.finish(ReasonCrashesServers)
}

// hasCrashed reports whether at least the given number of servers, spread over at least the
// given time, have crashed under the query and none has survived it.
func (q *Query) hasCrashed(crashes int, span time.Duration) bool {
	return !q.hasSurvivor && q.crashes >= crashes && q.lastCrashAt-q.firstCrashAt >= span
}

// MarkCrashSuspect is called when servers elsewhere have crashed under the same request.
// Pending attempts continue; nothing more is sent until they end.
func (q *Query) MarkCrashSuspect() { q.options.CrashSuspect = true }

// handleServerCrash handles an attempt whose server crashed while the attempt was in flight.
func (q *Query) handleServerCrash(a *Attempt, event string) {
	q.recordCrash()
	if a.Alone && q.crashes >= maxCrashes {
		q.recordStep(event, a)
		q.outcomeUnknown = true
		q.finish(ReasonCrashesServers)
		return
	}
	if q.isCrasherProven(q.pendingCount() - 1) {
		q.recordStep(event, a)
		q.finishProvenCrasher()
		return
	}
	q.handleUnknownOutcome(a, event, ReasonServerError)
}

// ResolveCrash is called when it is known whether the server of an attempt that failed with
// CrashUnconfirmed has crashed.
func (q *Query) ResolveCrash(now time.Duration, crashed bool) {
	q.unconfirmedCrashes--
	if q.finished {
		return
	}
	q.now = now
	if crashed {
		q.recordCrash()
	}
	q.finishIfDone()
}

// HasSurvivor reports whether a server has run a sub-request of the query without crashing.
func (q *Query) HasSurvivor() bool { return q.hasSurvivor }

// mustHold reports whether a sub-request of the kind must not be sent yet. A query that sends
// serially has at most one attempt in flight; a query with unconfirmed crashes has at most one
// retry or hedge in flight. A lost connection thus does not delay the request, and a request
// that crashes servers takes down one more server, not one more for each segment.
func (q *Query) mustHold(kind SendKind) bool {
	if q.sendsSerially() {
		return q.pendingCount() > 0
	}
	return kind == RetrySend && q.unconfirmedCrashes > 0 && !q.hasSurvivor && (q.hasPending(RetrySend) || q.hasPending(HedgeSend))
}

// hasPending reports whether an attempt of the kind is pending.
func (q *Query) hasPending(kind SendKind) bool {
	for _, s := range q.open {
		if slices.ContainsFunc(s.pending, func(a *Attempt) bool { return a.Kind == kind }) {
			return true
		}
	}
	return false
}

// hedgeAllowed reports whether a hedge may be sent now. Until one segment of a fan-out has been
// answered, only one hedge may be in flight: if every server is slow, the delay is not specific
// to one server. The answer to the first hedge releases the others.
func (q *Query) hedgeAllowed() bool {
	if q.hasSurvivor || len(q.segments) == 1 {
		return true
	}
	return !q.hasPending(HedgeSend)
}

// hold puts the segment on the held list until mustHold permits its sub-request.
func (q *Query) hold(s *Segment, kind SendKind) {
	q.setState(s, held)
	s.kind = kind
	q.held = append(q.held, s)
}

// releaseHeld sends held segments as far as mustHold permits: all of them once a server has
// survived the query or no crash is unconfirmed, otherwise one once nothing is in flight. A
// query that is proven to crash servers is finished instead.
func (q *Query) releaseHeld() {
	if !q.finished && len(q.held) > 0 && q.isCrasherProven(q.pendingCount()) {
		q.finishProvenCrasher()
		return
	}
	for !q.finished && len(q.held) > 0 && !q.mustHold(q.held[0].kind) {
		s := q.held[0]
		q.held = slices.Delete(q.held, 0, 1)
		if s.state != held {
			continue
		}
		q.setState(s, active)
		q.trySend(s, s.kind)
	}
}
