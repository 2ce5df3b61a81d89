package gateway

import (
	"errors"
	"time"

	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// runningAttempt is one that was not reported back.
type runningAttempt struct {
	*exchange.Attempt
	straggler *time.Timer // set once its request gave it up
}

func (g *Gateway) send(action routing.Send) {
	asked := g.pending[action.Request]
	running := &runningAttempt{Attempt: &exchange.Attempt{Request: asked.outgoing, Server: action.Server, Remaining: action.Remaining}}
	g.attempts[action.Attempt] = running
	g.wantedUntil[action.Server.ID] = g.now() + wantedFor
	g.sends.Add(1)
	g.counters.sent(action.Kind)
	g.counters.inFlight.WithLabelValues(action.Server.Zone).Inc()
	go g.carry(running.Attempt, asked, action)
}

// carry sends one attempt and reports its end.
func (g *Gateway) carry(attempt *exchange.Attempt, asked *pendingRequest, action routing.Send) {
	reply, err := g.client.Do(attempt)
	look := g.lookAfter(err, action)
	g.reportEnd(action, g.report(asked.route, action, reply, err, look))
	if look != nil && !look.IsComplete() {
		g.settle(asked, action, look)
	}
}

// lookAfter looks after a server that broke its connection off; nil is that it didn't. A retry
// does not wait for the end of the look, but that of a request that goes alone: it may end one
// more server.
func (g *Gateway) lookAfter(err error, action routing.Send) *exchange.CrashCheck {
	if !errors.Is(err, exchange.ErrConnectionLost) {
		return nil
	}
	look := g.client.StartCrashCheck(action.Server)
	if action.Alone {
		look.Crashed()
	}
	return look
}

// reportEnd tells the router how an attempt ended.
func (g *Gateway) reportEnd(action routing.Send, event routing.Event) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if running := g.attempts[action.Attempt]; running.straggler != nil {
		running.straggler.Stop()
	}
	delete(g.attempts, action.Attempt)
	g.counters.inFlight.WithLabelValues(action.Server.Zone).Dec()
	g.stepLocked(event)
}

// settle awaits the end of a look and tells the router.
func (g *Gateway) settle(asked *pendingRequest, action routing.Send, look *exchange.CrashCheck) {
	began := time.Now()
	ended := look.Crashed()
	if ended {
		g.counters.endsSeenLate.Inc()
		g.options.Logger.Info().Stringer("content", contentOf(asked.outgoing)).Str("server", action.Server.ID).
			Dur("after_ms", time.Since(began)).Msg("server ended after it had broken its connection off")
	}
	g.step(routing.CrashCheckCompleted{Attempt: action.Attempt, Crashed: ended})
}

// cancel lets an attempt go on for a while: most end soon, and their
// connections can be used again.
func (g *Gateway) cancel(id gather.AttemptID) {
	running := g.attempts[id]
	if running == nil || running.straggler != nil {
		return
	}
	running.straggler = time.AfterFunc(g.options.StragglerTimeout, running.Cancel)
}

// report tells how an attempt ended; look is that after its server, if there was one.
func (g *Gateway) report(r *route.Route, action routing.Send, reply *exchange.Reply, err error, look *exchange.CrashCheck) routing.Event {
	event := g.eventOf(r, action, reply, err, look)
	switch event := event.(type) {
	case routing.Failed:
		g.counters.ended(event.Reason)
	case routing.Replied:
		g.counters.ended(routing.StatusName(event.Status))
	}
	return event
}

func (g *Gateway) eventOf(r *route.Route, action routing.Send, reply *exchange.Reply, err error, look *exchange.CrashCheck) routing.Event {
	if err != nil {
		return failureOf(action, err, look)
	}
	status, why := g.classify(r, reply)
	if why != "" {
		return routing.Failed{Attempt: action.Attempt, Delivery: gather.DeliveryUnknown, Reason: why}
	}
	event := routing.Replied{Attempt: action.Attempt, Status: status, Body: reply}
	event.Load, event.LoadKnown = parseLoad(reply.Header.Get(g.options.Headers.Load))
	if status == gather.ReplyShed {
		event.RetryAfter = retryAfter(reply.Header)
	}
	return event
}

// failureOf tells of an attempt without a whole reply.
func failureOf(action routing.Send, err error, look *exchange.CrashCheck) routing.Failed {
	failed := routing.Failed{Attempt: action.Attempt, Delivery: gather.DeliveryUnknown, Reason: failureName(err)}
	switch {
	case look != nil && !look.IsComplete():
		failed.Delivery = gather.CrashUnconfirmed
	case look != nil && look.Crashed():
		failed.Delivery, failed.Refused, failed.Reason = gather.ServerCrashed, true, serverEnded
	case errors.Is(err, exchange.ErrNotDelivered):
		failed.Delivery, failed.Refused = gather.NotDelivered, exchange.IsRefused(err)
	}
	return failed
}

const (
	// serverEnded is the end of an attempt whose server was not there any more when its
	// connection was lost.
	serverEnded = "server_ended"
	// connectionLost is that of one whose server listened then.
	connectionLost = "connection_lost"
)

func failureName(err error) string {
	switch {
	case errors.Is(err, exchange.ErrConnectionLost):
		return connectionLost
	case errors.Is(err, exchange.ErrNotDelivered):
		return "not_delivered"
	case errors.Is(err, exchange.ErrMalformed):
		return "malformed"
	default:
		return "no_answer"
	}
}
