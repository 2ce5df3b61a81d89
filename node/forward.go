package node

import (
	"context"
	"errors"
	"sync"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/peer"
)

// forwardsPerConnection bounds the forwards that wait or run for each of this
// node's connections to a server. More would wait here for longer than they
// would elsewhere.
const forwardsPerConnection = 4

// readingsKept is the number of health intervals after which a reading is too
// old to be told to others.
const readingsKept = 2

// forwards asks servers for other nodes, over this node's own connections. It
// implements peer.ForwardTarget.
type forwards struct {
	direct backends
	// own finds where a server is configured and this node's share of its
	// connections.
	own func(server string) (address string, connections int)
	// background ends when the node aborts.
	background context.Context
	counters   forwardCounters
	readings   *healthReadings

	mutex sync.Mutex
	// mutex guards the fields below. Invariants: inFlight holds the positive
	// numbers of forwards for each server; running grows only under mutex and
	// while closed is not set, so that waiting for it after that is safe.
	inFlight map[string]int
	closed   bool
	running  sync.WaitGroup
}

// openForwards makes what asks other nodes and what serves them.
func (n *Node) openForwards() *healthReadings {
	readings := newHealthReadings(readingsKept * n.options.Settings.Backend.HealthInterval)
	n.forwarder = peer.NewForwarder(n.options.Network.DialContext)
	n.forwards = &forwards{
		direct:     n.client,
		own:        n.ownServer,
		background: n.background,
		counters:   newForwardCounters(n.metrics.ForwardsServed),
		readings:   readings,
		inFlight:   make(map[string]int),
	}
	return readings
}

// ForwardQuery sends a sub-request to a server over this node's own connections;
// when there are none, it refuses. It never asks another node.
func (f *forwards) ForwardQuery(ctx context.Context, server string, request *backend.Request) peer.ForwardResult {
	result := f.send(ctx, server, request)
	f.counters[result.Outcome].Inc()
	return result
}

func (f *forwards) send(ctx context.Context, server string, request *backend.Request) peer.ForwardResult {
	address, connections := f.own(server)
	if connections == 0 {
		return peer.ForwardResult{Outcome: peer.ForwardNotOwner}
	}
	if refusal, refused := f.begin(server, connections); refused {
		return peer.ForwardResult{Outcome: refusal}
	}
	defer f.finish(server)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.background, cancel)()
	reply, err := f.direct.Query(ctx, address, request)
	if ctx.Err() != nil && errors.Is(err, backend.ErrNotDelivered) {
		// The time went by in waiting for a connection; the server is not to blame.
		return peer.ForwardResult{Outcome: peer.ForwardBusy, Err: err}
	}
	return forwardResult(reply, err)
}

// forwardResult tells how far a sub-request got.
func forwardResult(reply *backend.Reply, err error) peer.ForwardResult {
	switch {
	case err == nil:
		return peer.ForwardResult{Outcome: peer.ForwardReplied, Reply: reply}
	case errors.Is(err, backend.ErrNotDelivered):
		return peer.ForwardResult{Outcome: peer.ForwardNotDelivered, Err: err}
	case errors.Is(err, backend.ErrMalformed):
		return peer.ForwardResult{Outcome: peer.ForwardMalformed, Err: err}
	default:
		return peer.ForwardResult{Outcome: peer.ForwardUnknown, Err: err}
	}
}

// begin takes a place for a forward, or tells why there is none.
func (f *forwards) begin(server string, connections int) (refusal peer.ForwardOutcome, refused bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return peer.ForwardLeaving, true
	}
	if f.inFlight[server] >= connections*forwardsPerConnection {
		return peer.ForwardBusy, true
	}
	f.inFlight[server]++
	f.running.Add(1)
	return 0, false
}

func (f *forwards) finish(server string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inFlight[server]--
	if f.inFlight[server] == 0 {
		delete(f.inFlight, server)
	}
	f.running.Done()
}

// close refuses new forwards from now on.
func (f *forwards) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
}

// wait returns when the forwards that were taken have ended; close comes first.
func (f *forwards) wait() { f.running.Wait() }

// ServerHealth returns this node's own last reading of a server's health.
func (f *forwards) ServerHealth(server string) (*backend.Health, bool) {
	if _, connections := f.own(server); connections == 0 {
		return nil, false
	}
	return f.readings.get(server)
}
