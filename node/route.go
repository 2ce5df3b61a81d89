package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/telemetry"
)

// Errors of sub-requests and health polls that go through an owner.
var (
	// errNoOwner reports that no owner accepted the sub-request, which is no
	// evidence of a failure of the server.
	errNoOwner = errors.New("node: no owner accepted the sub-request")
	// errOwnersBusy reports that the owners have reached their forward limits.
	errOwnersBusy = errors.New("node: owners have reached their forward limits")
	// errNoRecentHealth reports that no owner has a recent health poll result
	// for the server.
	errNoRecentHealth = errors.New("node: no owner has a recent health poll result for the server")
)

// maxOwnersTried bounds the owners to which one sub-request is sent in turn.
const maxOwnersTried = 3

// ownersRetryAfter is the delay before a sub-request is sent again to owners
// that have reached their forward limits.
const ownersRetryAfter = 20 * time.Millisecond

// route describes how to reach one server.
type route struct {
	spec membership.ServerSpec
	// owners are the nodes that hold connections to the server.
	owners []membership.Owner
	// connections is this node's share of the server's connections; if it is
	// zero, requests are forwarded through an owner.
	connections int
}

// router sends requests to a server directly if this node owns connections to
// it, and through an owner otherwise. It implements backendClient.
type router struct {
	direct backendClient
	// closeConnections closes the idle connections to a server.
	closeConnections func(address string)
	// route returns the route to the server at an address.
	route func(address string) route
	// owners returns the nodes through which a server can be reached, in order
	// of preference.
	owners       func(server membership.ServerSpec) []membership.Member
	forwarder    *peer.Forwarder
	counters     forwardCounters
	recentHealth *healthCache
	log          zerolog.Logger
}

// newRouter creates this node's router.
func (n *Node) newRouter(recentHealth *healthCache) *router {
	return &router{
		direct:           n.client,
		closeConnections: n.client.CloseServerConnections,
		route:            n.routeTo,
		owners:           func(server membership.ServerSpec) []membership.Member { return n.agent.ForwardOwners(server) },
		forwarder:        n.forwarder,
		counters:         newForwardCounters(n.metrics.Forwards),
		recentHealth:     recentHealth,
		log:              n.log,
	}
}

// forwardCounters holds the counters of forwards by outcome. They are looked up
// once, so that counting does not resolve labels.
type forwardCounters map[peer.ForwardOutcome]prometheus.Counter

func newForwardCounters(vector *prometheus.CounterVec) forwardCounters {
	counters := make(forwardCounters)
	for _, outcome := range peer.ForwardOutcomes() {
		counters[outcome] = vector.WithLabelValues(outcome.String())
	}
	return counters
}

// Query sends one sub-request, either directly or through an owner.
func (r *router) Query(ctx context.Context, address string, request *backend.Request) (*backend.Reply, error) {
	serverRoute := r.route(address)
	if serverRoute.connections == 0 {
		return r.forward(ctx, serverRoute.spec, request)
	}
	reply, err := r.direct.Query(ctx, address, request)
	r.closeIfShareLost(address)
	return reply, err
}

// closeIfShareLost closes the idle connections to a server if this node lost
// its last connection share during the request.
func (r *router) closeIfShareLost(address string) {
	if r.route(address).connections == 0 {
		r.closeConnections(address)
	}
}

// forward tries the owners in turn until one may have delivered the
// sub-request.
func (r *router) forward(ctx context.Context, server membership.ServerSpec, request *backend.Request) (*backend.Reply, error) {
	failure := fmt.Errorf("%w: %w", backend.ErrNotDelivered, errNoOwner)
	owners := r.owners(server)
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
		result := r.forwarder.Forward(ctx, owner.Address, server.ID, request)
		r.counters[result.Outcome].Inc()
		if result.Outcome == peer.ForwardReplied {
			return result.Reply, nil
		}
		r.log.Debug().
			Err(result.Err).
			Str("owner", owner.ID).
			Str("server", server.ID).
			Str(telemetry.FieldRequestID, request.RequestID).
			Stringer("outcome", result.Outcome).
			Msg("forward failed")
		if result.Outcome.MayHaveReachedServer() || ctx.Err() != nil {
			return nil, forwardError(result)
		}
		failure = forwardError(result)
	}
	return nil, failure
}

// forwardError converts an outcome without a reply to an error of the backend
// client.
func forwardError(result peer.ForwardResult) error {
	switch result.Outcome {
	case peer.ForwardMalformed:
		return fmt.Errorf("%w: through an owner", backend.ErrMalformed)
	case peer.ForwardBusy:
		return fmt.Errorf("%w: %w: %w", backend.ErrNotDelivered, errNoOwner, errOwnersBusy)
	case peer.ForwardNotDelivered:
		return fmt.Errorf("%w: through an owner", backend.ErrNotDelivered)
	case peer.ForwardUnknown:
		return fmt.Errorf("%w: through an owner: %w", backend.ErrOutcomeUnknown, result.Err)
	default:
		return fmt.Errorf("%w: %w", backend.ErrNotDelivered, errNoOwner)
	}
}

// Health returns a server's health. For a server without a connection share it
// asks an owner for its last poll result instead of the server; a failure to
// get one is no evidence of a failure of the server.
func (r *router) Health(ctx context.Context, address string) (*backend.Health, error) {
	serverRoute := r.route(address)
	if serverRoute.connections == 0 {
		return r.forwardHealth(ctx, serverRoute)
	}
	health, err := r.direct.Health(ctx, address)
	r.closeIfShareLost(address)
	if err == nil {
		r.recentHealth.put(serverRoute.spec.ID, health)
	}
	return health, err
}

func (r *router) forwardHealth(ctx context.Context, serverRoute route) (*backend.Health, error) {
	owners := pollingOwners(serverRoute, r.owners(serverRoute.spec))
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
		health, known, err := r.forwarder.ServerHealth(ctx, owner.Address, serverRoute.spec.ID)
		if err == nil && known {
			return health, nil
		}
	}
	return nil, errNoRecentHealth
}

// Load polls a server's load. For a server without a connection share it fails,
// as replies report the load.
func (r *router) Load(ctx context.Context, address string) (*backend.Load, error) {
	if r.route(address).connections == 0 {
		return nil, errNoRecentHealth
	}
	return r.direct.Load(ctx, address)
}

// healthCache holds the last health poll result of each server that this node
// polls directly.
type healthCache struct {
	// maxAge is the age above which an entry is no longer returned.
	maxAge time.Duration

	mutex sync.Mutex
	// mutex guards entries, which holds at most one entry per server.
	entries map[string]cachedHealth
}

type cachedHealth struct {
	health   *backend.Health
	polledAt time.Time
}

func newHealthCache(maxAge time.Duration) *healthCache {
	return &healthCache{maxAge: maxAge, entries: make(map[string]cachedHealth)}
}

func (h *healthCache) put(server string, health *backend.Health) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.entries[server] = cachedHealth{health: health, polledAt: time.Now()}
}

func (h *healthCache) get(server string) (*backend.Health, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	cached, known := h.entries[server]
	if known && time.Since(cached.polledAt) > h.maxAge {
		delete(h.entries, server)
		return nil, false
	}
	return cached.health, known
}
