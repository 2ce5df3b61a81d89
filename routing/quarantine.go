package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/quarantine"
)

// contentOf is a request's content; ok is false when nothing is to be learned of it.
func (r *Router) contentOf(spec *Request) (content quarantine.Fingerprint, ok bool) {
	if spec.Content == nil || !r.enabled(mechanism.Quarantine) {
		return content, false
	}
	content = spec.Content()
	spec.Content = func() quarantine.Fingerprint { return content }
	return content, true
}

// standingOf tells how a request that came may be sent, and for how long a review lasts yet.
func (r *Router) standingOf(spec *Request) (standing quarantine.Status, left time.Duration) {
	if r.ledger.IsEmpty() {
		return quarantine.Clear, 0
	}
	if r.ledgerDueAt > 0 && r.now >= r.ledgerDueAt {
		r.tickLedger(r.ledgerDueAt)
	}
	content, ok := r.contentOf(spec)
	if !ok {
		return quarantine.Clear, 0
	}
	return r.ledger.Status(r.now, content)
}

// rejectSuspect refuses a request under which servers end: for good, without a word of coming
// back, as it has run; until the end of a review, where that is not known yet.
func (r *Router) rejectSuspect(spec Request, standing quarantine.Status, left time.Duration) {
	outcome := Outcome{Execution: gather.ExecutionNotRun, Reason: gather.ReasonCrashesServers, RetryAfter: left}
	if standing == quarantine.Quarantined {
		outcome = Outcome{Execution: gather.ExecutionUnknown, Reason: gather.ReasonCrashesServers}
		r.emit(QuarantinedRequestRejected{Content: spec.Content()})
	}
	r.emit(Finish{Request: spec.ID, Outcome: outcome})
}

// recordCrash notes that a server ended with an attempt. A request that is under review since
// is given up.
func (r *Router) recordCrash(a *attempt, q *request) {
	content, ok := r.contentOf(&q.asked)
	if !ok {
		return
	}
	end := quarantine.Crash{ServerIncarnation: quarantine.IncarnationOf(a.server.Incarnation().String()), Alone: a.Alone}
	r.publish(r.ledger.ServerCrashed(r.now, content, end))
	if r.ledger.IsProven(content) {
		q.query.Abort(r.now, gather.ReasonCrashesServers)
	}
}

// publishCrashes tells all nodes of a request that has ended several servers, one after the other.
func (r *Router) publishCrashes(q *request) {
	if !q.query.IsCrashSuspect() {
		return
	}
	content, ok := r.contentOf(&q.asked)
	if !ok {
		return
	}
	if q.query.CrashedAllServers() {
		r.publish(r.ledger.CrashedAllServers(r.now, content))
	} else {
		r.publish(r.ledger.AwaitFanOut(r.now, content))
	}
}

// handleCrashCheck takes whether the server of an attempt has ended that had failed in doubt. Where
// another one has run the request and lives, its end speaks against the request no more.
func (r *Router) handleCrashCheck(event CrashCheckCompleted) {
	a := r.inDoubt[event.Attempt]
	if a == nil {
		return
	}
	delete(r.inDoubt, event.Attempt)
	q := r.requestOf(a)
	if event.Ended && !q.query.HasSurvivor() {
		r.recordCrash(a, q)
	}
	q.query.ResolveCrash(r.now, event.Ended)
	r.publishCrashes(q)
	if !q.query.Finished() {
		r.schedule(q)
	}
}

// recordSurvival notes that a server ran a request and lives.
func (r *Router) recordSurvival(q *request, status gather.ReplyStatus) {
	if r.ledger.IsEmpty() || status != gather.ReplyDone && status != gather.ReplyError {
		return
	}
	if content, ok := r.contentOf(&q.asked); ok {
		r.publish(r.ledger.Answered(content))
	}
}

// handleFinding takes what another node found out.
func (r *Router) handleFinding(finding quarantine.Finding) {
	if r.enabled(mechanism.Quarantine) {
		r.publish(r.ledger.MergeFinding(r.now, finding))
		if finding.Wide {
			r.applyStanding(finding.Content)
		}
	}
}

// applyStanding lets the requests that run with a content go on as its standing asks.
func (r *Router) applyStanding(content quarantine.Fingerprint) {
	standing, _ := r.ledger.Status(r.now, content)
	if standing == quarantine.Clear {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		if own, ok := r.contentOf(&q.asked); !ok || own != content {
			continue
		}
		if standing == quarantine.Quarantined {
			q.query.Abort(r.now, gather.ReasonCrashesServers)
		} else {
			q.query.MarkCrashSuspect()
		}
	}
}

// updateQuarantines takes the contents that the registry says are to be refused.
func (r *Router) updateQuarantines(contents []quarantine.Fingerprint) {
	if r.enabled(mechanism.Quarantine) {
		r.ledger.SetRecordedQuarantines(r.now, contents)
		r.scheduleLedger()
	}
}

// publish passes on what others are to know.
func (r *Router) publish(finding quarantine.Finding, audience quarantine.Audience) {
	if audience != quarantine.AudienceNone {
		r.emit(PublishFinding{Finding: finding, Audience: audience})
	}
	r.scheduleLedger()
}

// scheduleLedger arranges that the ledger is looked at when it is next due.
func (r *Router) scheduleLedger() {
	at, ok := r.ledger.NextTick()
	if ok && (r.ledgerDueAt == 0 || at < r.ledgerDueAt) {
		r.ledgerDueAt = at
		r.timers.Push(timer{at: at, ledger: true})
	}
}

// tickLedger ends the reviews that are over.
func (r *Router) tickLedger(due time.Duration) {
	if due == r.ledgerDueAt {
		r.ledgerDueAt = 0
	}
	for _, finding := range r.ledger.Tick(r.now) {
		r.emit(RecordQuarantine{Content: finding.Content})
		r.emit(PublishFinding{Finding: finding, Audience: quarantine.AudienceAll})
	}
	r.scheduleLedger()
}

// QuarantineCounts is the number of contents that are refused, and Suspects that of those of which
// something is known.
func (r *Router) QuarantineCounts() (quarantines, suspects int) {
	return r.ledger.QuarantineCount(), r.ledger.SuspectCount()
}
