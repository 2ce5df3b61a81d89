package routing

import (
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
)

// handleReply handles a server's complete reply.
func (r *Router) handleReply(event Replied) {
	a := r.takeAttempt(event.Attempt)
	if a == nil {
		return
	}
	q := r.requestOf(a)
	r.recordZoneReply(a.server.zone)
	q.recordEnd(a, StatusName(event.Status))
	r.recordReplyEvidence(a, q, event.Status)
	if !event.Crashed && !event.CrashUnchecked {
		r.recordSurvival(q, event.Status)
	}
	if event.LoadKnown && r.enabled(mechanism.ReportedLoad) {
		a.server.ObserveLoad(r.now, event.Load.Running, event.Load.Waiting)
	}
	switch event.Status {
	case gather.ReplyDone:
		r.learnLatency(q, a)
	case gather.ReplyShed:
		a.server.SetShedUntil(r.now + max(event.RetryAfter, minShedPause))
	case gather.ReplyNotOwner, gather.ReplyDraining:
		a.server.State = discovery.Draining
	default:
		q.lastFailure = event.Body
		a.server.ObserveSlowness(r.now, errorReplySlowness)
	}
	q.query.HandleReply(r.now, a.Attempt, gather.Reply{
		Status:   event.Status,
		Snapshot: a.Snapshot,
		Range:    a.Range,
		Body:     event.Body,
		Crashed:  event.Crashed,
	})
	if event.Crashed {
		r.recordCrash(a, q)
		r.publishCrashes(q)
	}
	r.schedule(q)
	r.dispatchQueued(a.Segment.Group.(*service))
}

// StatusName returns the name of a reply status in records and metrics.
func StatusName(status gather.ReplyStatus) string {
	switch status {
	case gather.ReplyDone:
		return "answered"
	case gather.ReplyShed:
		return "shed"
	case gather.ReplyNotOwner:
		return "not_expected_server"
	case gather.ReplyDraining:
		return "draining"
	default:
		return "server_error"
	}
}

// minShedPause is the minimum time for which nothing is sent to a server after it shed a request.
const minShedPause = 10 * time.Millisecond

// learnLatency adds the latency of a successful reply to the statistics of the route and the
// server.
func (r *Router) learnLatency(q *request, a *attempt) {
	latency := r.sinceSent(a)
	if !a.toLimitedVersion { // an unproven version must not shift the route's baseline
		q.stats.add(latency)
	}
	median := q.stats.median()
	if median == 0 {
		return
	}
	slowness := float64(latency) / float64(median)
	if a.server.Cold(r.now) && !a.toLimitedVersion {
		r.starts.Observe(slowness)
	}
	a.server.ObserveSlowness(r.now, slowness)
}
