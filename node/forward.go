package node

import (
	"context"
	"errors"
	"sync"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/peer"
)

// maxForwardsPerConnection bounds the forwards that run or wait per connection
// that this node owns to a server. Any more would wait here for longer than at
// another owner.
const maxForwardsPerConnection = 4

// healthCacheIntervals is the number of health intervals for which a poll
// result may be passed on to other nodes.
const healthCacheIntervals = 2

// forwardServer sends sub-requests to servers on behalf of other nodes, over
// this node's own connections. It implements peer.ForwardTarget.
type forwardServer struct {
	direct backendClient
	// lookUpServer returns a server's address and this node's share of its
	// connections.
	lookUpServer func(server string) (address string, connections int)
	// background is cancelled when the node aborts.
	background   context.Context
	counters     forwardCounters
	recentHealth *healthCache

	mutex sync.Mutex
	// mutex guards the fields below. Invariants: inFlight holds the number of
	// forwards per server and only positive numbers; running grows only under
	// mutex and while closed is not set, so it can safely be waited for after
	// that.
	inFlight map[string]int
	closed   bool
	running  sync.WaitGroup
}

// setUpForwarding creates the client that forwards to other nodes and the
// target of their forwards. It returns the cache of health poll results that
// the router shares.
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

// ForwardQuery sends a sub-request to a server over this node's own connections
// and rejects it if there are none. It never forwards to a further node.
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
		// The time was spent waiting for a connection, so this is not a failure
		// of the server.
		return peer.ForwardResult{Outcome: peer.ForwardBusy, Err: err}
	}
	return toForwardResult(reply, err)
}

// toForwardResult classifies the result of a sub-request by how far it got.
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

// admit reserves capacity for a forward or returns the reason for rejecting it.
// Each admitted forward must be released.
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

// close rejects all further forwards.
func (f *forwardServer) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
}

// wait returns when all admitted forwards have ended. Call close first.
func (f *forwardServer) wait() { f.running.Wait() }

// ServerHealth returns this node's own last health poll result of a server,
// unless it has expired or this node owns no connection to the server.
func (f *forwardServer) ServerHealth(server string) (*backend.Health, bool) {
	if _, connections := f.lookUpServer(server); connections == 0 {
		return nil, false
	}
	return f.recentHealth.get(server)
}
