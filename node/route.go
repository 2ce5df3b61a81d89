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

// Errors of sub-requests that were to go through another node.
var (
	// errNoOwner: no owner took the sub-request, which says nothing of the server.
	errNoOwner = errors.New("node: no owner took the sub-request")
	// errOwnersBusy: the owners forward as much as they may.
	errOwnersBusy = errors.New("node: owners are busy")
	// errNoRecentHealth: no owner knows the server's health of late.
	errNoRecentHealth = errors.New("node: no owner has read the server's health lately")
)

// maxOwnersTried bounds the owners that are asked for one sub-request.
const maxOwnersTried = 3

// ownersRetryAfter is the pause before busy owners are asked again.
const ownersRetryAfter = 20 * time.Millisecond

// route is the way to one server.
type route struct {
	place membership.ServerPlace
	// owners are the nodes that hold connections to the server.
	owners []membership.Owner
	// connections is this node's share; at zero the way goes through an owner.
	connections int
}

// router asks servers directly where this node owns connections, and through an
// owner otherwise. It implements backends.
type router struct {
	direct backendClient
	// closeConnections closes the idle connections to a server.
	closeConnections func(address string)
	// route finds the way to the server at an address.
	route func(address string) route
	// owners lists the nodes through which to reach a server, the first choice first.
	owners       func(server membership.ServerPlace) []membership.Member
	forwarder    *peer.Forwarder
	counters     forwardCounters
	recentHealth *healthCache
	log          zerolog.Logger
}

// newRouter makes the router of this node.
func (n *Node) newRouter(recentHealth *healthCache) *router {
	return &router{
		direct:           n.client,
		closeConnections: n.client.CloseServerConnections,
		route:            n.routeTo,
		owners:           func(server membership.ServerPlace) []membership.Member { return n.agent.ForwardOwners(server) },
		forwarder:        n.forwarder,
		counters:         newForwardCounters(n.metrics.Forwards),
		recentHealth:     recentHealth,
		log:              n.log,
	}
}

// forwardCounters count forwards by outcome; they are looked up once.
type forwardCounters map[peer.ForwardOutcome]prometheus.Counter

func newForwardCounters(vector *prometheus.CounterVec) forwardCounters {
	counters := make(forwardCounters)
	for _, outcome := range peer.ForwardOutcomes() {
		counters[outcome] = vector.WithLabelValues(outcome.String())
	}
	return counters
}

// Query sends one sub-request, directly or through one owner.
func (r *router) Query(ctx context.Context, address string, request *backend.Request) (*backend.Reply, error) {
	serverRoute := r.route(address)
	if serverRoute.connections == 0 {
		return r.forward(ctx, serverRoute.place, request)
	}
	reply, err := r.direct.Query(ctx, address, request)
	r.closeIfShareLost(address)
	return reply, err
}

// closeIfShareLost closes the idle connections to a server whose last share went
// while it was asked.
func (r *router) closeIfShareLost(address string) {
	if r.route(address).connections == 0 {
		r.closeConnections(address)
	}
}

// forward asks the owners in turn until one may have delivered the sub-request.
func (r *router) forward(ctx context.Context, server membership.ServerPlace, request *backend.Request) (*backend.Reply, error) {
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
		if result.Outcome.Delivered() || ctx.Err() != nil {
			return nil, forwardError(result)
		}
		failure = forwardError(result)
	}
	return nil, failure
}

// forwardError turns an outcome without a reply into the client's errors.
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

// Health reads a server's health; a server that others own is not asked, but
// an owner for its last reading. Such a failure says nothing of the server.
func (r *router) Health(ctx context.Context, address string) (*backend.Health, error) {
	serverRoute := r.route(address)
	if serverRoute.connections == 0 {
		return r.forwardHealth(ctx, serverRoute)
	}
	health, err := r.direct.Health(ctx, address)
	r.closeIfShareLost(address)
	if err == nil {
		r.recentHealth.put(serverRoute.place.ID, health)
	}
	return health, err
}

func (r *router) forwardHealth(ctx context.Context, serverRoute route) (*backend.Health, error) {
	owners := pollingOwners(serverRoute, r.owners(serverRoute.place))
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
		health, known, err := r.forwarder.ServerHealth(ctx, owner.Address, serverRoute.place.ID)
		if err == nil && known {
			return health, nil
		}
	}
	return nil, errNoRecentHealth
}

// Load reads a server's load; that of a server that others own rides on replies.
func (r *router) Load(ctx context.Context, address string) (*backend.Load, error) {
	if r.route(address).connections == 0 {
		return nil, errNoRecentHealth
	}
	return r.direct.Load(ctx, address)
}

// healthCache keeps the last reading of each server that this node reads itself.
type healthCache struct {
	// maxAge is the age from which a reading is not told to others.
	maxAge time.Duration

	mutex sync.Mutex
	// mutex guards last, which holds at most one reading for each server.
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
