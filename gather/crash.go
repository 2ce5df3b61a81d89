package gather

import (
	"slices"
	"time"
)

// maxCrashes is the number of servers that a query may end before it is given up: one or two
// may end by themselves while they run it.
const maxCrashes = 3

// sendsSerially reports whether the query may be one that ends the servers that run it. Then one
// sub-request is in flight at a time: a single one tells as much as many, and an answer to
// it lets the others go. Without that, all 8 servers of 4 parts ended under one query, and 6
// with it, after which the query is known.
func (q *Query) sendsSerially() bool {
	return !q.hasSurvivor && (q.options.CrashSuspect || q.crashes > 0)
}

const (
	// minCrashSpan is the least time between the first and the last of the ends that speak against a
	// query: servers that crash together end at one moment.
	minCrashSpan = 2 * time.Millisecond
	// provenCrashes, of servers that all got the query, are proof without one that gets it alone,
	// if they are provenCrashSpan. News of one moment is less apart: a broken connection and the look
	// after its server take three ways, of 24 ms at most between regions.
	provenCrashes   = 8
	provenCrashSpan = 75 * time.Millisecond
)

// recordCrash counts the end of a server.
func (q *Query) recordCrash() {
	if q.crashes == 0 {
		q.firstCrashAt = q.now
	}
	q.crashes++
	q.lastCrashAt = q.now
}

// IsCrashSuspect reports whether several servers have ended under the query, one after the other, and
// none has answered it.
func (q *Query) IsCrashSuspect() bool { return q.hasCrashed(maxCrashes, minCrashSpan) }

// CrashedAllServers reports whether all servers have ended that got the query, so many and so far apart
// that it is proof.
func (q *Query) CrashedAllServers() bool { return q.crashedAllServers }

// isCrasherProven reports whether that is so with so many sub-requests in flight.
func (q *Query) isCrasherProven(live int) bool {
	return live == 0 && q.hasCrashed(provenCrashes, provenCrashSpan)
}

// finishProvenCrasher finishes a query of which that is so.
func (q *Query) finishProvenCrasher() {
	q.crashedAllServers, q.outcomeUnknown = true, true
	q.finish(ReasonCrashesServers)
}

func (q *Query) hasCrashed(ends int, apart time.Duration) bool {
	return !q.hasSurvivor && q.crashes >= ends && q.lastCrashAt-q.firstCrashAt >= apart
}

// MarkCrashSuspect tells that servers have ended under such a query elsewhere: what is in flight goes on,
// and nothing more is sent beside it.
func (q *Query) MarkCrashSuspect() { q.options.CrashSuspect = true }

// handleServerCrash handles an attempt whose server ended with it.
func (q *Query) handleServerCrash(a *Attempt, what string) {
	q.recordCrash()
	if a.Alone && q.crashes >= maxCrashes {
		q.recordStep(what, a)
		q.outcomeUnknown = true
		q.finish(ReasonCrashesServers)
		return
	}
	if q.isCrasherProven(q.pendingCount() - 1) {
		q.recordStep(what, a)
		q.finishProvenCrasher()
		return
	}
	q.handleUnknownOutcome(a, what, ReasonServerError)
}

// ResolveCrash tells whether the server of an attempt that had failed in doubt has ended.
func (q *Query) ResolveCrash(now time.Duration, ended bool) {
	q.unconfirmedCrashes--
	if q.finished {
		return
	}
	q.now = now
	if ended {
		q.recordCrash()
	}
	q.finishIfDone()
}

// HasSurvivor reports whether a server ran a sub-request and lives.
func (q *Query) HasSurvivor() bool { return q.hasSurvivor }

// mustHold reports whether a sub-request must not be sent yet: a cautious query has one in
// flight, and one in doubt has a retry or a hedge in flight. So a lost connection costs its request
// no time, and a request that ends servers takes one second server with it, not one of each part.
func (q *Query) mustHold(kind SendKind) bool {
	if q.sendsSerially() {
		return q.pendingCount() > 0
	}
	return kind == RetrySend && q.unconfirmedCrashes > 0 && !q.hasSurvivor && (q.hasPending(RetrySend) || q.hasPending(HedgeSend))
}

// hasPending reports whether a sub-request of a kind is awaited.
func (q *Query) hasPending(kind SendKind) bool {
	for _, s := range q.open {
		if slices.ContainsFunc(s.pending, func(a *Attempt) bool { return a.Kind == kind }) {
			return true
		}
	}
	return false
}

// hedgeAllowed reports whether a second server may be asked for a part now. Until a part of a
// fan-out was answered there is one hedge at a time: what is slow everywhere is not that one
// server, and an answer to the first hedge lets the others follow.
func (q *Query) hedgeAllowed() bool {
	if q.hasSurvivor || len(q.segments) == 1 {
		return true
	}
	return !q.hasPending(HedgeSend)
}

// hold lets a segment wait until nothing is in flight.
func (q *Query) hold(s *Segment, kind SendKind) {
	q.setState(s, held)
	s.kind = kind
	q.held = append(q.held, s)
}

// releaseHeld sends what is held: all of it once a server has run a part and lives, or no doubt
// is left, else a single sub-request once nothing is in flight.
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
