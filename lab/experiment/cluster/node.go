package cluster

import (
	"time"

	"github.com/banksail/banksail/dispatch"
)

// node is one simulated node: a dispatcher and its connections.
type node struct {
	index      int
	dispatcher Dispatcher
	// timerGeneration identifies the latest SetTimer; timers of earlier
	// generations are ignored.
	timerGeneration uint64
	attempts        map[dispatch.AttemptID]*attempt
	// idleConnections holds, per server, the time of the last use of each idle
	// connection, most recently used last.
	idleConnections [][]time.Duration
	// openingSpares counts, per server, the spare connections being opened.
	openingSpares []int
}

// step passes one event to the node's dispatcher and executes the actions that it
// returns.
func (r *run) step(at *node, event dispatch.Event) {
	actions := at.dispatcher.Step(r.now, event)
	if r.observe != nil {
		r.observe(at.index, r.now, event, actions)
	}
	for _, action := range actions {
		switch typed := action.(type) {
		case dispatch.Send:
			r.sendAttempt(at, typed)
		case dispatch.Cancel:
			r.cancelAttempt(at, typed.Attempt)
		case dispatch.Finish:
			r.finish(typed)
		case dispatch.SetTimer:
			at.timerGeneration++
			due := max(typed.At, r.now)
			r.events.push(entry{at: due, kind: kindTimer, index: at.index, number: at.timerGeneration})
		}
	}
}

func (r *run) sendAttempt(from *node, send dispatch.Send) {
	asked := r.queries[send.Query]
	target := r.serverByID[send.Server]
	if asked == nil || target == nil {
		r.result.InvalidActions++
		return
	}
	sent := &attempt{send: send, node: from, server: target, query: asked, deadline: r.now + send.Remaining}
	from.attempts[send.Attempt] = sent
	asked.attempts = append(asked.attempts, sent)
	r.result.recordSend(sent)
	delay := r.delay(asked.id, target, forward)
	connectTime, ok := r.connect(from, target)
	if !ok {
		sent.state = attemptEnded
		r.fail(sent, dispatch.NotDelivered, "connection limit")
		return
	}
	sent.writtenAt = r.now + connectTime
	r.events.push(entry{at: sent.writtenAt + delay, kind: kindDeliver, attempt: sent})
}

// connect takes an idle connection or opens a new one and returns the time that
// this takes. It returns false if the server's connection limit is reached.
func (r *run) connect(from *node, target *server) (time.Duration, bool) {
	if r.unlimited {
		return 0, true
	}
	defer r.openSpares(from, target)
	idle := from.idleConnections[target.index]
	if count := len(idle); count > 0 {
		lastUsed := idle[count-1]
		if r.now-lastUsed < r.scenario.Network.IdleTimeout {
			from.idleConnections[target.index] = idle[:count-1]
			return 0, true
		}
		target.openConnections -= count
		from.idleConnections[target.index] = idle[:0]
	}
	if target.openConnections >= target.connectionLimit {
		return 0, false
	}
	target.openConnections++
	return r.scenario.Network.ConnectTime, true
}

// openSpares opens spare connections in advance until the node has
// Network.SpareConnections of them or the server's connection limit is reached.
func (r *run) openSpares(from *node, target *server) {
	for len(from.idleConnections[target.index])+from.openingSpares[target.index] < r.scenario.Network.SpareConnections {
		if target.openConnections >= target.connectionLimit || target.crashed {
			return
		}
		target.openConnections++
		from.openingSpares[target.index]++
		at := r.now + r.scenario.Network.ConnectTime
		r.events.push(entry{at: at, kind: kindConnected, index: from.index, number: uint64(target.index)})
	}
}

// addSpare adds an opened spare connection to the idle ones, unless the server has
// crashed meanwhile.
func (r *run) addSpare(at *node, target *server) {
	at.openingSpares[target.index]--
	if target.crashed {
		target.openConnections--
		return
	}
	at.idleConnections[target.index] = append(at.idleConnections[target.index], r.now)
}

// cancelAttempt closes the attempt's connection. The node gets a failure event at
// once, the server ends the attempt after the network delay.
func (r *run) cancelAttempt(from *node, id dispatch.AttemptID) {
	cancelled := from.attempts[id]
	if cancelled == nil || cancelled.closed {
		return
	}
	delivery := dispatch.DeliveryUnknown
	if r.now < cancelled.writtenAt {
		delivery = dispatch.NotDelivered
	}
	cancelled.closed = true
	r.events.push(entry{at: r.now, kind: kindNodeEvent, index: from.index, event: dispatch.AttemptFailed{
		Attempt: id, Delivery: delivery, Reason: "cancelled",
	}})
	delete(from.attempts, id)
	at := r.now + r.delay(cancelled.query.id, cancelled.server, forward)
	r.events.push(entry{at: at, kind: kindCancel, attempt: cancelled})
}

// receive passes an event to its node. Events about closed attempts are dropped.
func (r *run) receive(planned entry) {
	at := r.nodes[planned.index]
	about := planned.attempt
	if about != nil {
		if about.closed {
			return
		}
		about.closed = true
		delete(at.attempts, about.send.Attempt)
		if _, failed := planned.event.(dispatch.AttemptFailed); !failed {
			at.idleConnections[about.server.index] = append(at.idleConnections[about.server.index], r.now)
		} else if about.writtenAt > 0 && about.server.openConnections > 0 {
			about.server.openConnections--
		}
	}
	r.step(at, planned.event)
}

// finish records a query's final answer.
func (r *run) finish(final dispatch.Finish) {
	answered := r.queries[final.Query]
	if answered == nil {
		r.result.InvalidActions++
		return
	}
	delete(r.queries, final.Query)
	r.result.recordFinish(answered, final.Outcome, r.now-answered.arrivedAt, r.now)
}
