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
	// errNoReading: no owner knows the server's health of late.
	errNoReading = errors.New("node: no owner has read the server's health lately")
)

// maximumOwnersAsked bounds the owners that are asked for one sub-request.
const maximumOwnersAsked = 3

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
	direct backends
	// forget closes the idle connections to a server.
	forget func(address string)
	// route finds the way to the server at an address.
	route func(address string) route
	// owners lists the nodes through which to reach a server, the first choice first.
	owners    func(server membership.ServerPlace) []membership.Member
	forwarder *peer.Forwarder
	counters  forwardCounters
	readings  *healthReadings
	log       zerolog.Logger
}

// newRouter makes the router of this node.
func (n *Node) newRouter(readings *healthReadings) *router {
	return &router{
		direct:    n.client,
		forget:    n.client.CloseServerConnections,
		route:     n.routeTo,
		owners:    func(server membership.ServerPlace) []membership.Member { return n.agent.ForwardOwners(server) },
		forwarder: n.forwarder,
		counters:  newForwardCounters(n.metrics.Forwards),
		readings:  readings,
		log:       n.log,
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
	way := r.route(address)
	if way.connections == 0 {
		return r.forward(ctx, way.place, request)
	}
	reply, err := r.direct.Query(ctx, address, request)
	r.forgetIfLost(address)
	return reply, err
}

// forgetIfLost closes the idle connections to a server whose last share went
// while it was asked.
func (r *router) forgetIfLost(address string) {
	if r.route(address).connections == 0 {
		r.forget(address)
	}
}

// forward asks the owners in turn until one may have delivered the sub-request.
func (r *router) forward(ctx context.Context, server membership.ServerPlace, request *backend.Request) (*backend.Reply, error) {
	failure := fmt.Errorf("%w: %w", backend.ErrNotDelivered, errNoOwner)
	owners := r.owners(server)
	for _, owner := range owners[:min(len(owners), maximumOwnersAsked)] {
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
	way := r.route(address)
	if way.connections == 0 {
		return r.forwardHealth(ctx, way)
	}
	health, err := r.direct.Health(ctx, address)
	r.forgetIfLost(address)
	if err == nil {
		r.readings.put(way.place.ID, health)
	}
	return health, err
}

func (r *router) forwardHealth(ctx context.Context, way route) (*backend.Health, error) {
	owners := readersAmong(way, r.owners(way.place))
	for _, owner := range owners[:min(len(owners), maximumOwnersAsked)] {
		health, known, err := r.forwarder.ServerHealth(ctx, owner.Address, way.place.ID)
		if err == nil && known {
			return health, nil
		}
	}
	return nil, errNoReading
}

// Load reads a server's load; that of a server that others own rides on replies.
func (r *router) Load(ctx context.Context, address string) (*backend.Load, error) {
	if r.route(address).connections == 0 {
		return nil, errNoReading
	}
	return r.direct.Load(ctx, address)
}

// healthReadings keeps the last reading of each server that this node reads itself.
type healthReadings struct {
	// longest is the age from which a reading is not told to others.
	longest time.Duration

	mutex sync.Mutex
	// mutex guards last, which holds at most one reading for each server.
	last map[string]keptHealth
}

type keptHealth struct {
	health *backend.Health
	at     time.Time
}

func newHealthReadings(longest time.Duration) *healthReadings {
	return &healthReadings{longest: longest, last: make(map[string]keptHealth)}
}

func (h *healthReadings) put(server string, health *backend.Health) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.last[server] = keptHealth{health: health, at: time.Now()}
}

func (h *healthReadings) get(server string) (*backend.Health, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	kept, known := h.last[server]
	if known && time.Since(kept.at) > h.longest {
		delete(h.last, server)
		return nil, false
	}
	return kept.health, known
}
