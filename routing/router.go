package routing

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/retry"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/serverstate"
)

// Router executes the requests of one node. It is not safe for concurrent use: its owner
// serializes calls to Step.
type Router struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	startedAt time.Duration
	actions   []Action

	shares     extrabudget.Shares
	services   map[string]*service
	servers    map[string]*server
	routeStats map[string]*routeStats
	// evacuated holds the zones to which nothing may be sent.
	evacuated map[string]struct{}
	zones     map[string]*zone
	// lastReplyAt is when any server last replied or accepted a connection.
	lastReplyAt time.Duration
	// fanOuts holds one route per distinct fan-out target. cannotServe is set if at least one of
	// them lacks reachable servers.
	fanOuts     []*route.Route
	cannotServe bool
	// connected reports that this node reaches enough servers not to be considered disconnected
	// from the network.
	connected bool
	// peerAvailable reports that another node is known to reach enough servers.
	peerAvailable bool
	outages       outageDurations
	// starts estimates the slowness of servers that have just started.
	starts serverstate.ColdStarts

	// tracker tracks requests that crash servers. trackerDueAt is when it must be called next; zero
	// means never.
	tracker      *quarantine.Tracker
	trackerDueAt time.Duration

	requests           map[RequestID]*request
	attempts           map[gather.AttemptID]*attempt
	unconfirmedCrashes map[gather.AttemptID]*attempt // failed with gather.CrashUnconfirmed
	lastAttempt        gather.AttemptID
	sequence           uint64
	// dispatching is the service whose queue is being dispatched, and requeued collects segments
	// that are queued for it meanwhile.
	dispatching *service
	requeued    []queuedSegment

	timers  *priority.Queue[timer]
	timerAt time.Duration
	// abortAt is when the pending requests of a node that shuts down get their final answer; zero means
	// that it does not shut down. stopping is set then.
	abortAt  time.Duration
	stopping bool
}

// never is a time later than any other.
const never = time.Duration(math.MaxInt64)

// New returns a Router without any known servers.
func New(now time.Duration, options Options) *Router {
	options = options.withDefaults()
	return &Router{
		options:            options,
		now:                now,
		startedAt:          now,
		random:             rand.New(rand.NewPCG(options.Seed, 0)),
		services:           make(map[string]*service),
		servers:            make(map[string]*server),
		routeStats:         make(map[string]*routeStats),
		zones:              make(map[string]*zone),
		tracker:            quarantine.NewTracker(),
		requests:           make(map[RequestID]*request),
		attempts:           make(map[gather.AttemptID]*attempt),
		unconfirmedCrashes: make(map[gather.AttemptID]*attempt),
		timers:             priority.NewQueue(func(a, b timer) bool { return a.at < b.at }, nil),
		timerAt:            never,
	}
}

// Step handles one event at the given time and returns the actions to carry out, in order. The
// caller owns the returned slice.
func (r *Router) Step(now time.Duration, event Event) []Action {
	r.now = max(r.now, now)
	r.actions = nil
	switch event := event.(type) {
	case Arrived:
		r.handleArrival(event.Request)
	case CallerGone:
		r.abandon(event.Request)
	case Replied:
		r.handleReply(event)
	case Failed:
		r.handleFailure(event)
	case CrashCheckCompleted:
		r.handleCrashCheck(event)
	case SurvivalChecked:
		r.handleSurvivalCheck(event)
	case TimerFired:
		r.timerAt = never
	case ConnectFailed:
		r.handleConnectFailure(r.serverOf(event.Server), event.Refused)
	case Connected:
		r.handleConnected(r.serverOf(event.Server))
	case ServersChanged:
		r.updateServers(event.Servers)
	case ZonesChanged:
		r.updateEvacuatedZones(event)
	case RolloutsChanged:
		r.updateRollouts(event)
	case RolloutHalted:
		r.haltRollout(event)
	case TableChanged:
		r.updateTable(event.Table)
	case SettingsChanged:
		r.updateSettings(event)
	case NodesChanged:
		r.shares.Update(r.now, extrabudget.Nodes(event))
	case PeerAvailabilityChanged:
		r.peerAvailable = event.Available
	case FindingReceived:
		r.handleFinding(event.Finding)
	case QuarantinesChanged:
		r.updateQuarantines(event.Contents)
	case Draining:
		r.abortAt = event.AbortAt
	case Stopping:
		r.shutDown()
	}
	r.runTimers()
	r.updateTimer()
	return r.actions
}

func (r *Router) enabled(m mechanism.Mechanism) bool { return r.options.Disabled.Enabled(m) }

func (r *Router) emit(action Action) { r.actions = append(r.actions, action) }

// InFlightRequests returns the number of requests without a final answer.
func (r *Router) InFlightRequests() int { return len(r.requests) }

// ConnectionShare returns the number of connections that this node may open to each server of the
// service.
func (r *Router) ConnectionShare(name string) int { return r.connectionShare(r.ensureService(name)) }

// handleArrival starts or rejects a new request.
func (r *Router) handleArrival(spec Request) {
	status, left := r.quarantineStatus(&spec)
	if status >= quarantine.UnderReview {
		r.rejectSuspect(spec, status, left)
		return
	}
	q := r.newRequest(spec)
	q.crashSuspect = status == quarantine.Suspected
	if reason := r.rejectionReason(q); reason != "" {
		r.reject(q, reason)
		return
	}
	r.requests[spec.ID] = q
	q.start()
}

// abandon ends a request whose caller no longer waits. A non-repeatable request continues, since
// cancelling it would not undo its effects.
func (r *Router) abandon(id RequestID) {
	if q := r.requests[id]; q != nil {
		q.query.Cancel(r.now)
	}
}

// shutDown gives all in-flight requests their final answer.
func (r *Router) shutDown() {
	r.stopping = true
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		r.requests[id].query.Abort(r.now, gather.ReasonStopping)
	}
}

// takeAttempt removes and returns an attempt whose end was reported; nil if it is unknown.
func (r *Router) takeAttempt(id gather.AttemptID) *attempt {
	a := r.attempts[id]
	if a == nil {
		return nil
	}
	delete(r.attempts, id)
	a.server.EndAttempt(&a.flight)
	return a
}

// handleFailure handles the end of an attempt without a reply.
func (r *Router) handleFailure(event Failed) {
	a := r.takeAttempt(event.Attempt)
	if a == nil {
		return
	}
	q := r.requestOf(a)
	q.recordEnd(a, event.Reason)
	r.recordFailureEvidence(a, q, event)
	switch event.Delivery {
	case gather.ServerCrashed:
		r.recordCrash(a, q)
	case gather.CrashUnconfirmed:
		r.unconfirmedCrashes[event.Attempt] = a
	default:
	}
	if event.Delivery == gather.NotDelivered {
		r.uncountSend(a, q)
		r.handleConnectFailure(a.server, event.Refused)
	} else if a.IsPending() || a.server.OverdueSlowness(r.now) > 0 || a.flight.IsLate(r.now) {
		a.server.ObserveSlowness(r.now, failedSlowness)
	}
	q.query.HandleFailure(r.now, a.Attempt, event.Delivery, event.Reason)
	r.publishCrashes(q)
	r.schedule(q)
	r.dispatchQueued(a.Segment.Group.(*service))
}

// handleConnectFailure excludes a server until a connection to it is open again, so that requests
// do not wait for connections that fail to open.
func (r *Router) handleConnectFailure(s *server, refused bool) {
	if s == nil || s.removed || !r.enabled(mechanism.UnreachableServers) {
		return
	}
	if s.unreachable {
		if refused && !s.refusesConnections {
			s.refusesConnections = true
			r.updateReachability()
		}
		return
	}
	s.unreachable, s.refusesConnections = true, refused
	r.emit(Connect{Server: s.Server})
	r.updateOutage(r.ensureService(s.Service))
	r.updateReachability()
}

// handleConnected makes a server available again. What was learned about it before is kept, so that
// one that was slow or failing is used with caution: it still ranks behind others.
func (r *Router) handleConnected(s *server) {
	if s == nil || !s.unreachable {
		return
	}
	s.unreachable, s.refusesConnections = false, false
	r.updateOutage(r.ensureService(s.Service))
	r.recordZoneReply(s.zone)
	r.dispatchQueued(r.ensureService(s.Service))
	r.updateReachability()
}

func (r *Router) requestOf(a *attempt) *request {
	return a.Query().Owner().(*request)
}

// serverOf returns the server with the given incarnation, or nil if it is not listed.
func (r *Router) serverOf(incarnation discovery.Incarnation) *server {
	if s := r.servers[incarnation.ID]; s != nil && s.Incarnation() == incarnation {
		return s
	}
	return nil
}

// updateServers replaces the list of servers. What was learned about a server is kept as long as
// the same incarnation stays listed at the same address.
func (r *Router) updateServers(listed []discovery.Server) {
	previous := r.servers
	r.servers = make(map[string]*server, len(listed))
	for _, s := range r.services {
		s.servers = s.servers[:0]
	}
	for _, entry := range listed {
		srv := previous[entry.ID]
		isNew := srv == nil || srv.Incarnation() != entry.Incarnation() || srv.Address != entry.Address
		if isNew {
			srv = new(server) // also if the ID is reused by a new incarnation, to which nothing learned before applies
		}
		srv.updateWarmup(r.now, entry, !isNew)
		srv.Server = entry
		srv.evacuated = r.isEvacuated(entry.Zone)
		srv.zone = r.ensureZone(entry.Zone)
		r.servers[entry.ID] = srv
		s := r.ensureService(entry.Service)
		s.servers = append(s.servers, srv)
	}
	for id, srv := range previous {
		srv.removed = r.servers[id] != srv
	}
	for _, s := range r.services {
		r.updateTrafficModes(s)
		r.updateOutage(s)
	}
	r.updateZoneProbes()
	r.dispatchAllQueued()
	r.updateReachability()
}

// updateTable applies the service limits of a route table.
func (r *Router) updateTable(table *route.Table) {
	for name, settings := range table.Services {
		s := r.ensureService(name)
		s.connections, s.coldRate = settings.Connections, settings.ColdRate
	}
	r.fanOuts = distinctFanOuts(table)
	r.updateReachability()
}

// updateSettings applies new limits. The budget window cannot change, because existing counts
// refer to the old one.
func (r *Router) updateSettings(event SettingsChanged) {
	event.Budget.Window = r.options.Budget.Window
	r.options.Budget = event.Budget
	r.options.Cold = event.Cold
	r.options.Regions = event.Regions
}

func (r *Router) ensureService(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, queue: priority.NewQueue(queuedSegment.less, nil)}
		r.services[name] = s
	}
	return s
}

// minSamples is the weight of samples below which quantiles are unreliable.
const minSamples = 20

// routeStats holds the statistics of one route.
type routeStats struct {
	sketch retry.Sketch
	// shareOffset is the position of the last request among the route's weighted services.
	shareOffset float64
	timeouts    callerTimeouts
}

// goldenRatioStep distributes consecutive offsets evenly over [0, 1).
const goldenRatioStep = 0.6180339887498949

// nextShareOffset returns the offset of the next request in [0, 1). Consecutive offsets are spread
// evenly, so that weights hold over short runs of requests, too.
func (s *routeStats) nextShareOffset(random *rand.Rand) float64 {
	if s.shareOffset == 0 {
		s.shareOffset = random.Float64()
	}
	_, s.shareOffset = math.Modf(s.shareOffset + goldenRatioStep)
	return s.shareOffset
}

func (s *routeStats) add(latency time.Duration) { s.sketch.Add(latency) }

// median returns the median latency of the route's replies; zero if unknown.
func (s *routeStats) median() time.Duration {
	if s.sketch.Count() < minSamples {
		return 0
	}
	return s.sketch.Quantile(0.5)
}

func (r *Router) ensureRouteStats(target *route.Route) *routeStats {
	stats := r.routeStats[target.Name]
	if stats == nil {
		stats = new(routeStats)
		r.routeStats[target.Name] = stats
	}
	return stats
}
