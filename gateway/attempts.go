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
	ended := errors.Is(err, exchange.ErrConnectionLost) && g.client.HasEnded(action.Server)
	event := g.report(asked.route, action, reply, err, ended)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if running := g.attempts[action.Attempt]; running.straggler != nil {
		running.straggler.Stop()
	}
	delete(g.attempts, action.Attempt)
	g.counters.inFlight.WithLabelValues(action.Server.Zone).Dec()
	g.stepLocked(event)
}

// cancel lets an attempt go on for a while: most end soon, and their
// connections can be used again.
func (g *Gateway) cancel(id gather.AttemptID) {
	running := g.attempts[id]
	if running == nil || running.straggler != nil {
		return
	}
	running.straggler = time.AfterFunc(g.options.StragglerTime, running.Cancel)
}

// report tells how an attempt ended; ended says that its server did, too.
func (g *Gateway) report(r *route.Route, action routing.Send, reply *exchange.Reply, err error, ended bool) routing.Event {
	event := g.eventOf(r, action, reply, err, ended)
	switch event := event.(type) {
	case routing.Failed:
		g.counters.ended(event.Reason)
	case routing.Replied:
		g.counters.ended(routing.StatusName(event.Status))
	}
	return event
}

func (g *Gateway) eventOf(r *route.Route, action routing.Send, reply *exchange.Reply, err error, ended bool) routing.Event {
	if err != nil {
		delivery, refused := gather.DeliveryUnknown, ended
		switch {
		case ended:
			delivery = gather.ServerEnded
		case errors.Is(err, exchange.ErrNotDelivered):
			delivery, refused = gather.NotDelivered, exchange.IsRefused(err)
		}
		return routing.Failed{Attempt: action.Attempt, Delivery: delivery, Refused: refused, Reason: failureName(err, ended)}
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

const (
	// serverEnded is the end of an attempt whose server was not there any more when its
	// connection was lost.
	serverEnded = "server_ended"
	// connectionLost is that of one whose server was still there.
	connectionLost = "connection_lost"
)

func failureName(err error, ended bool) string {
	switch {
	case ended:
		return serverEnded
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
