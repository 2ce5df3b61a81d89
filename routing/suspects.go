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
func (r *Router) contentOf(asked *Request) (content quarantine.Fingerprint, ok bool) {
	if asked.Content == nil || !r.on(mechanism.Quarantine) {
		return content, false
	}
	content = asked.Content()
	asked.Content = func() quarantine.Fingerprint { return content }
	return content, true
}

// standingOf tells how a request that came may be sent, and for how long a review lasts yet.
func (r *Router) standingOf(asked *Request) (standing quarantine.Status, left time.Duration) {
	if r.ledger.IsEmpty() {
		return quarantine.Clear, 0
	}
	if r.ledgerAt > 0 && r.now >= r.ledgerAt {
		r.lookAtLedger(r.ledgerAt)
	}
	content, ok := r.contentOf(asked)
	if !ok {
		return quarantine.Clear, 0
	}
	return r.ledger.Status(r.now, content)
}

// refuseSuspect refuses a request under which servers end: for good, without a word of coming
// back, as it has run; until the end of a review, where that is not known yet.
func (r *Router) refuseSuspect(asked Request, standing quarantine.Status, left time.Duration) {
	outcome := Outcome{Execution: gather.ExecutionNotRun, Reason: gather.ReasonCrashesServers, RetryAfter: left}
	if standing == quarantine.Quarantined {
		outcome = Outcome{Execution: gather.ExecutionUnknown, Reason: gather.ReasonCrashesServers}
		r.emit(QuarantinedRequestRejected{Content: asked.Content()})
	}
	r.emit(Finish{Request: asked.ID, Outcome: outcome})
}

// serverEnded notes that a server ended with an attempt. A request that is under review since
// is given up.
func (r *Router) serverEnded(a *attempt, q *request) {
	content, ok := r.contentOf(&q.asked)
	if !ok {
		return
	}
	end := quarantine.Crash{ServerIncarnation: quarantine.IncarnationOf(a.server.Incarnation().String()), Alone: a.Alone}
	r.tell(r.ledger.ServerCrashed(r.now, content, end))
	if r.ledger.IsProven(content) {
		q.query.Abort(r.now, gather.ReasonCrashesServers)
	}
}

// spread tells all nodes of a request that has ended several servers, one after the other.
func (r *Router) spread(q *request) {
	if !q.query.IsCrashSuspect() {
		return
	}
	content, ok := r.contentOf(&q.asked)
	if !ok {
		return
	}
	if q.query.CrashedAllServers() {
		r.tell(r.ledger.CrashedAllServers(r.now, content))
	} else {
		r.tell(r.ledger.AwaitFanOut(r.now, content))
	}
}

// settled takes whether the server of an attempt has ended that had failed in doubt. Where
// another one has run the request and lives, its end speaks against the request no more.
func (r *Router) settled(event CrashCheckCompleted) {
	a := r.doubts[event.Attempt]
	if a == nil {
		return
	}
	delete(r.doubts, event.Attempt)
	q := r.requestOf(a)
	if event.Ended && !q.query.HasSurvivor() {
		r.serverEnded(a, q)
	}
	q.query.ResolveCrash(r.now, event.Ended)
	r.spread(q)
	if !q.query.Finished() {
		r.schedule(q)
	}
}

// survived notes that a server ran a request and lives.
func (r *Router) survived(q *request, status gather.ReplyStatus) {
	if r.ledger.IsEmpty() || status != gather.ReplyDone && status != gather.ReplyError {
		return
	}
	if content, ok := r.contentOf(&q.asked); ok {
		r.tell(r.ledger.Answered(content))
	}
}

// findingHeard takes what another node found out.
func (r *Router) findingHeard(finding quarantine.Finding) {
	if r.on(mechanism.Quarantine) {
		r.tell(r.ledger.MergeFinding(r.now, finding))
		if finding.Wide {
			r.warn(finding.Content)
		}
	}
}

// warn lets the requests that run with a content go on as its standing asks.
func (r *Router) warn(content quarantine.Fingerprint) {
	standing, _ := r.ledger.Status(r.now, content)
	if standing == quarantine.Clear {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.running)) {
		q := r.running[id]
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

// quarantinesChanged takes the contents that the registry says are to be refused.
func (r *Router) quarantinesChanged(contents []quarantine.Fingerprint) {
	if r.on(mechanism.Quarantine) {
		r.ledger.SetRecordedQuarantines(r.now, contents)
		r.scheduleLedger()
	}
}

// tell passes on what others are to know.
func (r *Router) tell(finding quarantine.Finding, audience quarantine.Audience) {
	if audience != quarantine.AudienceNone {
		r.emit(PublishFinding{Finding: finding, Audience: audience})
	}
	r.scheduleLedger()
}

// scheduleLedger arranges that the ledger is looked at when it is next due.
func (r *Router) scheduleLedger() {
	at, ok := r.ledger.NextTick()
	if ok && (r.ledgerAt == 0 || at < r.ledgerAt) {
		r.ledgerAt = at
		r.timers.Push(timer{at: at, ledger: true})
	}
}

// lookAtLedger ends the reviews that are over.
func (r *Router) lookAtLedger(due time.Duration) {
	if due == r.ledgerAt {
		r.ledgerAt = 0
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
