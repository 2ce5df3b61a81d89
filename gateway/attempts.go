package gateway

import (
	"errors"
	"time"

	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// runningAttempt is an attempt whose result has not been reported to the router.
type runningAttempt struct {
	*exchange.Attempt
	stragglerTimer *time.Timer // cancels the attempt; set once the router has cancelled it
}

// send starts an attempt. The caller holds the mutex.
func (g *Gateway) send(action routing.Send) {
	pending := g.pending[action.Request]
	running := &runningAttempt{Attempt: &exchange.Attempt{Request: pending.outgoing, Server: action.Server, Remaining: action.Remaining}}
	g.attempts[action.Attempt] = running
	g.warmUntil[action.Server.ID] = g.now() + keepWarmTime
	g.sends.Add(1)
	g.counters.countAttempt(action.Kind)
	g.counters.inFlight.WithLabelValues(action.Server.Zone).Inc()
	go g.runAttempt(running.Attempt, pending, action)
}

// runAttempt sends one attempt and reports its result to the router.
func (g *Gateway) runAttempt(attempt *exchange.Attempt, pending *pendingRequest, action routing.Send) {
	reply, err := g.client.Do(attempt)
	check := g.startCrashCheck(err, action)
	event := g.resultEvent(pending.route, action, reply, err, check)
	endedWithReply := err == nil && reply.EndedWithConnection
	if replied, ok := event.(routing.Replied); ok && endedWithReply {
		replied.CrashUnchecked = !action.Alone
		replied.Crashed = action.Alone && g.client.HasCrashed(action.Server)
		event = replied
	}
	g.completeAttempt(action, reply, event)
	switch {
	case check != nil && !check.IsComplete():
		g.awaitCrashCheck(pending, action, check)
	case endedWithReply && !action.Alone:
		g.checkSurvival(pending, action)
	}
}

// checkSurvival checks whether a server crashed whose reply ended with its connection, and reports it to
// the router. The reply has been reported before, as most such servers go on.
func (g *Gateway) checkSurvival(pending *pendingRequest, action routing.Send) {
	content, crashed := fingerprintOf(pending.outgoing), g.client.HasCrashed(action.Server)
	if crashed {
		g.counters.lateDetectedCrashes.Inc()
		g.options.Logger.Info().Stringer("content", content).Str("server", action.Server.ID).Msg("server ended at the end of its answer")
	}
	g.step(routing.SurvivalChecked{Content: content, Server: action.Server.Incarnation(), Crashed: crashed})
}

// startCrashCheck starts a crash check if the attempt's error is a lost connection, and returns nil
// otherwise. It waits for the result only if the request runs alone, as its next attempt might
// crash another server; other requests are retried without waiting.
func (g *Gateway) startCrashCheck(err error, action routing.Send) *exchange.CrashCheck {
	if !errors.Is(err, exchange.ErrConnectionLost) {
		return nil
	}
	check := g.client.StartCrashCheck(action.Server)
	if action.Alone {
		check.Crashed()
	}
	return check
}

// completeAttempt removes an attempt and reports its result to the router. The reply is nil if none
// was received.
func (g *Gateway) completeAttempt(action routing.Send, reply *exchange.Reply, event routing.Event) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if reply != nil && reply.HoldsMemory() {
		g.keepReplyLocked(action.Request, reply)
	}
	if running := g.attempts[action.Attempt]; running.stragglerTimer != nil {
		running.stragglerTimer.Stop()
	}
	delete(g.attempts, action.Attempt)
	g.counters.inFlight.WithLabelValues(action.Server.Zone).Dec()
	g.stepLocked(event)
}

// keepReplyLocked keeps the reply's memory until its request has been answered. The caller holds
// the mutex.
func (g *Gateway) keepReplyLocked(request routing.RequestID, reply *exchange.Reply) {
	if pending := g.pending[request]; pending != nil {
		pending.longReplies = append(pending.longReplies, reply)
		return
	}
	reply.Release()
}

// awaitCrashCheck waits for the result of a crash check and reports it to the router.
func (g *Gateway) awaitCrashCheck(pending *pendingRequest, action routing.Send, check *exchange.CrashCheck) {
	start := time.Now()
	crashed := check.Crashed()
	if crashed {
		g.counters.lateDetectedCrashes.Inc()
		g.options.Logger.Info().Stringer("content", fingerprintOf(pending.outgoing)).Str("server", action.Server.ID).
			Dur("after_ms", time.Since(start)).Msg("server ended after it had broken its connection off")
	}
	g.step(routing.CrashCheckCompleted{Attempt: action.Attempt, Crashed: crashed})
}

// scheduleCancel cancels an attempt after StragglerTimeout. Most attempts complete earlier, so
// that their connections can be reused.
func (g *Gateway) scheduleCancel(id gather.AttemptID) {
	running := g.attempts[id]
	if running == nil || running.stragglerTimer != nil {
		return
	}
	running.stragglerTimer = time.AfterFunc(g.options.StragglerTimeout, running.Cancel)
}

// resultEvent returns the router event for an attempt's result and counts the result. check is
// the crash check of the server; nil if there is none.
func (g *Gateway) resultEvent(r *route.Route, action routing.Send, reply *exchange.Reply, err error, check *exchange.CrashCheck) routing.Event {
	event := g.classifyResult(r, action, reply, err, check)
	switch event := event.(type) {
	case routing.Failed:
		g.counters.countAttemptResult(event.Reason)
	case routing.Replied:
		g.counters.countAttemptResult(routing.StatusName(event.Status))
	}
	return event
}

func (g *Gateway) classifyResult(r *route.Route, action routing.Send, reply *exchange.Reply, err error, check *exchange.CrashCheck) routing.Event {
	if err != nil {
		return failureEvent(action, err, check)
	}
	status, failure := g.classify(r, reply)
	if failure != "" {
		return routing.Failed{Attempt: action.Attempt, Delivery: gather.DeliveryUnknown, Reason: failure}
	}
	event := routing.Replied{Attempt: action.Attempt, Status: status, Body: reply}
	event.Load, event.LoadKnown = parseLoad(reply.Header.Get(g.options.Headers.Load))
	if status == gather.ReplyShed {
		event.RetryAfter = parseRetryAfter(reply.Header)
	}
	return event
}

// failureEvent returns the router event for an attempt without a complete reply.
func failureEvent(action routing.Send, err error, check *exchange.CrashCheck) routing.Failed {
	failed := routing.Failed{Attempt: action.Attempt, Delivery: gather.DeliveryUnknown, Reason: failureReason(err)}
	switch {
	case check != nil && !check.IsComplete():
		failed.Delivery = gather.CrashUnconfirmed
	case check != nil && check.Crashed():
		failed.Delivery, failed.Refused, failed.Reason = gather.ServerCrashed, true, reasonServerCrashed
	case errors.Is(err, exchange.ErrNotDelivered):
		failed.Delivery, failed.Refused = gather.NotDelivered, exchange.IsRefused(err)
	}
	return failed
}

const (
	// reasonServerCrashed: the connection was lost because the server crashed.
	reasonServerCrashed = "server_ended"
	// reasonConnectionLost: the connection was lost, and the server still accepted connections or
	// was not found to have crashed at that time.
	reasonConnectionLost = "connection_lost"
)

func failureReason(err error) string {
	switch {
	case errors.Is(err, exchange.ErrConnectionLost):
		return reasonConnectionLost
	case errors.Is(err, exchange.ErrNotDelivered):
		return "not_delivered"
	case errors.Is(err, exchange.ErrReplyTooLarge):
		return "reply_too_large"
	case errors.Is(err, exchange.ErrReplyMemoryExhausted):
		return "reply_memory_exhausted"
	case errors.Is(err, exchange.ErrMalformed):
		return "malformed"
	default:
		return "no_answer"
	}
}
