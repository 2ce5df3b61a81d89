package node

import (
	"context"
	"errors"
	"sync"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/peer"
)

// maxForwardsPerConnection bounds the forwards that wait or run for each of this
// node's connections to a server. More would wait here for longer than they
// would elsewhere.
const maxForwardsPerConnection = 4

// healthCacheIntervals is the number of health intervals after which a reading is too
// old to be told to others.
const healthCacheIntervals = 2

// forwardServer asks servers for other nodes, over this node's own connections. It
// implements peer.ForwardTarget.
type forwardServer struct {
	direct backendClient
	// lookUpServer finds where a server is configured and this node's share of its
	// connections.
	lookUpServer func(server string) (address string, connections int)
	// background ends when the node aborts.
	background   context.Context
	counters     forwardCounters
	recentHealth *healthCache

	mutex sync.Mutex
	// mutex guards the fields below. Invariants: inFlight holds the positive
	// numbers of forwards for each server; running grows only under mutex and
	// while closed is not set, so that waiting for it after that is safe.
	inFlight map[string]int
	closed   bool
	running  sync.WaitGroup
}

// setUpForwarding makes what asks other nodes and what serves them.
func (n *Node) setUpForwarding() *healthCache {
	recentHealth := newHealthCache(healthCacheIntervals * n.options.Settings.Backend.HealthInterval)
	n.forwarder = peer.NewForwarder(n.options.Network.DialContext)
	n.forwardServer = &forwardServer{
		direct:       n.client,
		lookUpServer: n.ownedConnections,
		background:   n.background,
		counters:     newForwardCounters(n.metrics.ForwardsServed),
		recentHealth: recentHealth,
		inFlight:     make(map[string]int),
	}
	return recentHealth
}

// ForwardQuery sends a sub-request to a server over this node's own connections;
// when there are none, it refuses. It never asks another node.
func (f *forwardServer) ForwardQuery(ctx context.Context, server string, request *backend.Request) peer.ForwardResult {
	result := f.send(ctx, server, request)
	f.counters[result.Outcome].Inc()
	return result
}

func (f *forwardServer) send(ctx context.Context, server string, request *backend.Request) peer.ForwardResult {
	address, connections := f.lookUpServer(server)
	if connections == 0 {
		return peer.ForwardResult{Outcome: peer.ForwardNotOwner}
	}
	if rejection, rejected := f.admit(server, connections); rejected {
		return peer.ForwardResult{Outcome: rejection}
	}
	defer f.release(server)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.background, cancel)()
	reply, err := f.direct.Query(ctx, address, request)
	if ctx.Err() != nil && errors.Is(err, backend.ErrNotDelivered) {
		// The time went by in waiting for a connection; the server is not to blame.
		return peer.ForwardResult{Outcome: peer.ForwardBusy, Err: err}
	}
	return toForwardResult(reply, err)
}

// toForwardResult tells how far a sub-request got.
func toForwardResult(reply *backend.Reply, err error) peer.ForwardResult {
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

// admit takes a place for a forward, or tells why there is none.
func (f *forwardServer) admit(server string, connections int) (rejection peer.ForwardOutcome, rejected bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return peer.ForwardLeaving, true
	}
	if f.inFlight[server] >= connections*maxForwardsPerConnection {
		return peer.ForwardBusy, true
	}
	f.inFlight[server]++
	f.running.Add(1)
	return 0, false
}

func (f *forwardServer) release(server string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inFlight[server]--
	if f.inFlight[server] == 0 {
		delete(f.inFlight, server)
	}
	f.running.Done()
}

// close refuses new forwards from now on.
func (f *forwardServer) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
}

// wait returns when the forwards that were taken have ended; close comes first.
func (f *forwardServer) wait() { f.running.Wait() }

// ServerHealth returns this node's own last reading of a server's health.
func (f *forwardServer) ServerHealth(server string) (*backend.Health, bool) {
	if _, connections := f.lookUpServer(server); connections == 0 {
		return nil, false
	}
	return f.recentHealth.get(server)
}
