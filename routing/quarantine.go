package routing

import (
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/quarantine"
)

// fingerprintOf returns the fingerprint of a request; ok is false if the request is
// excluded from crash tracking.
func (r *Router) fingerprintOf(spec *Request) (fingerprint quarantine.Fingerprint, ok bool) {
	if spec.Content == nil || !r.enabled(mechanism.Quarantine) {
		return fingerprint, false
	}
	fingerprint = spec.Content()
	spec.Content = func() quarantine.Fingerprint { return fingerprint }
	return fingerprint, true
}

// quarantineStatus returns whether a new request may be sent, and how long a review of its
// fingerprint still lasts.
func (r *Router) quarantineStatus(spec *Request) (status quarantine.Status, left time.Duration) {
	if r.tracker.IsEmpty() {
		return quarantine.Clear, 0
	}
	if r.trackerDueAt > 0 && r.now >= r.trackerDueAt {
		r.tickTracker(r.trackerDueAt)
	}
	fingerprint, ok := r.fingerprintOf(spec)
	if !ok {
		return quarantine.Clear, 0
	}
	return r.tracker.Status(r.now, fingerprint)
}

// rejectSuspect rejects a request that crashes servers. If its fingerprint is quarantined, the
// rejection is final, with no retry time, because the request has been executed before. If it is
// under review, the caller may retry at the end of the review.
func (r *Router) rejectSuspect(spec Request, status quarantine.Status, left time.Duration) {
	outcome := Outcome{Execution: gather.ExecutionNotRun, Reason: gather.ReasonCrashesServers, RetryAfter: left}
	if status == quarantine.Quarantined {
		outcome = Outcome{Execution: gather.ExecutionUnknown, Reason: gather.ReasonCrashesServers}
		r.emit(QuarantinedRequestRejected{Content: spec.Content()})
	}
	r.emit(Finish{Request: spec.ID, Outcome: outcome})
}

// recordCrash records that a server crashed during an attempt. The request is aborted if its
// fingerprint is then under review.
func (r *Router) recordCrash(a *attempt, q *request) {
	fingerprint, ok := r.fingerprintOf(&q.asked)
	if !ok {
		return
	}
	crash := quarantine.Crash{ServerIncarnation: quarantine.IncarnationOf(a.server.Incarnation().String()), Alone: a.Alone}
	r.publish(r.tracker.ServerCrashed(r.now, fingerprint, crash))
	if r.tracker.IsProven(fingerprint) {
		q.query.Abort(r.now, gather.ReasonCrashesServers)
	}
}

// publishCrashes publishes the fingerprint of a request that has crashed several servers in
// succession, unless a server has answered it.
func (r *Router) publishCrashes(q *request) {
	if !q.query.IsCrashSuspect() {
		return
	}
	fingerprint, ok := r.fingerprintOf(&q.asked)
	if !ok {
		return
	}
	if q.query.CrashedAllServers() {
		r.publish(r.tracker.CrashedAllServers(r.now, fingerprint))
	} else {
		r.publish(r.tracker.AwaitFanOut(r.now, fingerprint))
	}
}

// handleCrashCheck handles the result of the crash check for an attempt that failed with
// gather.CrashUnconfirmed. A crash does not count against the request if another server executed
// it and survived.
func (r *Router) handleCrashCheck(event CrashCheckCompleted) {
	a := r.unconfirmedCrashes[event.Attempt]
	if a == nil {
		return
	}
	delete(r.unconfirmedCrashes, event.Attempt)
	q := r.requestOf(a)
	if event.Crashed && !q.query.HasSurvivor() {
		r.recordCrash(a, q)
	}
	q.query.ResolveCrash(r.now, event.Crashed)
	r.publishCrashes(q)
	if !q.query.Finished() {
		r.schedule(q)
	}
}

// handleSurvivalCheck records whether a server that had replied to a request crashed then.
func (r *Router) handleSurvivalCheck(event SurvivalChecked) {
	switch {
	case !r.enabled(mechanism.Quarantine):
	case event.Crashed:
		r.publish(r.tracker.CrashedAfterReply(r.now, event.Content, quarantine.IncarnationOf(event.Server.String())))
	default:
		r.publish(r.tracker.Answered(event.Content))
	}
}

// recordSurvival records that a server executed a request and survived.
func (r *Router) recordSurvival(q *request, status gather.ReplyStatus) {
	if r.tracker.IsEmpty() || status != gather.ReplyDone && status != gather.ReplyError {
		return
	}
	if fingerprint, ok := r.fingerprintOf(&q.asked); ok {
		r.publish(r.tracker.Answered(fingerprint))
	}
}

// handleFinding applies a finding of another node.
func (r *Router) handleFinding(finding quarantine.Finding) {
	if r.enabled(mechanism.Quarantine) {
		r.publish(r.tracker.MergeFinding(r.now, finding))
		if finding.Wide {
			r.applyQuarantineStatus(finding.Content)
		}
	}
}

// applyQuarantineStatus applies a changed status of a fingerprint to the in-flight requests with
// that fingerprint.
func (r *Router) applyQuarantineStatus(fingerprint quarantine.Fingerprint) {
	status, _ := r.tracker.Status(r.now, fingerprint)
	if status == quarantine.Clear {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		q := r.requests[id]
		if own, ok := r.fingerprintOf(&q.asked); !ok || own != fingerprint {
			continue
		}
		if status == quarantine.Quarantined {
			q.query.Abort(r.now, gather.ReasonCrashesServers)
		} else {
			q.query.MarkCrashSuspect()
		}
	}
}

// updateQuarantines replaces the fingerprints whose requests must be rejected according to the
// registry.
func (r *Router) updateQuarantines(contents []quarantine.Fingerprint) {
	if r.enabled(mechanism.Quarantine) {
		r.tracker.SetRecordedQuarantines(r.now, contents)
		r.scheduleTracker()
	}
}

// publish sends a finding to its audience, if any, and reschedules the tracker.
func (r *Router) publish(finding quarantine.Finding, audience quarantine.Audience) {
	if audience != quarantine.AudienceNone {
		r.emit(PublishFinding{Finding: finding, Audience: audience})
	}
	r.scheduleTracker()
}

// scheduleTracker sets a timer for the time at which the tracker must be called next.
func (r *Router) scheduleTracker() {
	at, ok := r.tracker.NextTick()
	if ok && (r.trackerDueAt == 0 || at < r.trackerDueAt) {
		r.trackerDueAt = at
		r.timers.Push(timer{at: at, tracker: true})
	}
}

// tickTracker quarantines fingerprints whose review has ended.
func (r *Router) tickTracker(due time.Duration) {
	if due == r.trackerDueAt {
		r.trackerDueAt = 0
	}
	for _, finding := range r.tracker.Tick(r.now) {
		r.emit(RecordQuarantine{Content: finding.Content})
		r.emit(PublishFinding{Finding: finding, Audience: quarantine.AudienceAll})
	}
	r.scheduleTracker()
}

// QuarantineCounts returns the number of quarantined fingerprints and the number of fingerprints
// with evidence against them.
func (r *Router) QuarantineCounts() (quarantines, suspects int) {
	return r.tracker.QuarantineCount(), r.tracker.SuspectCount()
}
