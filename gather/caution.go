package gather

import (
	"slices"
	"time"
)

// mostEnds is the number of servers that a query may end before it is given up: one or two
// may end by themselves while they run it.
const mostEnds = 3

// cautious reports whether the query may be one that ends the servers that run it. Then one
// sub-request is in flight at a time: a single one tells as much as many, and an answer to
// it lets the others go. Without that, all 8 servers of 4 parts ended under one query, and 6
// with it, after which the query is known.
func (q *Query) cautious() bool { return !q.survived && (q.options.CrashSuspect || q.ends > 0) }

const (
	// endsApart is the least time between the first and the last of the ends that speak against a
	// query: servers that crash together end at one moment.
	endsApart = 2 * time.Millisecond
	// decisiveEnds, of servers that all got the query, are proof without one that gets it alone,
	// if they are decisiveApart. News of one moment is less apart: a broken connection and the look
	// after its server take three ways, of 24 ms at most between regions.
	decisiveEnds  = 8
	decisiveApart = 75 * time.Millisecond
)

// noteEnd counts the end of a server.
func (q *Query) noteEnd() {
	if q.ends == 0 {
		q.firstEndAt = q.now
	}
	q.ends++
	q.lastEndAt = q.now
}

// IsCrashSuspect reports whether several servers have ended under the query, one after the other, and
// none has answered it.
func (q *Query) IsCrashSuspect() bool { return q.haveEnded(mostEnds, endsApart) }

// CrashedAllServers reports whether all servers have ended that got the query, so many and so far apart
// that it is proof.
func (q *Query) CrashedAllServers() bool { return q.endedAll }

// isProven reports whether that is so with so many sub-requests in flight.
func (q *Query) isProven(live int) bool { return live == 0 && q.haveEnded(decisiveEnds, decisiveApart) }

// giveUpProven finishes a query of which that is so.
func (q *Query) giveUpProven() {
	q.endedAll, q.unknown = true, true
	q.finish(ReasonCrashesServers)
}

func (q *Query) haveEnded(ends int, apart time.Duration) bool {
	return !q.survived && q.ends >= ends && q.lastEndAt-q.firstEndAt >= apart
}

// MarkCrashSuspect tells that servers have ended under such a query elsewhere: what is in flight goes on,
// and nothing more is sent beside it.
func (q *Query) MarkCrashSuspect() { q.options.CrashSuspect = true }

// serverEnded handles an attempt whose server ended with it.
func (q *Query) serverEnded(a *Attempt, what string) {
	q.noteEnd()
	if a.Alone && q.ends >= mostEnds {
		q.explain(what, a)
		q.unknown = true
		q.finish(ReasonCrashesServers)
		return
	}
	if q.isProven(q.liveCount() - 1) {
		q.explain(what, a)
		q.giveUpProven()
		return
	}
	q.mayHaveRun(a, what, ReasonServerError)
}

// ResolveCrash tells whether the server of an attempt that had failed in doubt has ended.
func (q *Query) ResolveCrash(now time.Duration, ended bool) {
	q.doubts--
	if q.finished {
		return
	}
	q.now = now
	if ended {
		q.noteEnd()
	}
	q.conclude()
}

// HasSurvivor reports whether a server ran a sub-request and lives.
func (q *Query) HasSurvivor() bool { return q.survived }

// mustWait reports whether a sub-request must not be sent yet: a cautious query has one in
// flight, and one in doubt has a retry or a hedge in flight. So a lost connection costs its request
// no time, and a request that ends servers takes one second server with it, not one of each part.
func (q *Query) mustWait(kind SendKind) bool {
	if q.cautious() {
		return q.liveCount() > 0
	}
	return kind == RetrySend && q.doubts > 0 && !q.survived && (q.inFlight(RetrySend) || q.inFlight(HedgeSend))
}

// inFlight reports whether a sub-request of a kind is awaited.
func (q *Query) inFlight(kind SendKind) bool {
	for _, s := range q.open {
		if slices.ContainsFunc(s.live, func(a *Attempt) bool { return a.Kind == kind }) {
			return true
		}
	}
	return false
}

// mayHedge reports whether a second server may be asked for a part now. Until a part of a
// fan-out was answered there is one hedge at a time: what is slow everywhere is not that one
// server, and an answer to the first hedge lets the others follow.
func (q *Query) mayHedge() bool {
	if q.survived || len(q.segments) == 1 {
		return true
	}
	return !q.inFlight(HedgeSend)
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
	if !q.finished && len(q.held) > 0 && q.isProven(q.liveCount()) {
		q.giveUpProven()
		return
	}
	for !q.finished && len(q.held) > 0 && !q.mustWait(q.held[0].kind) {
		s := q.held[0]
		q.held = slices.Delete(q.held, 0, 1)
		if s.state != held {
			continue
		}
		q.setState(s, awaited)
		q.place(s, s.kind)
	}
}
