package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/inbound"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/internal/resource"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// Options configures a Gateway. Zero fields are replaced by defaults, except Headers.
type Options struct {
	// Headers names the headers exchanged with servers, AnswerHeaders those of merged answers.
	Headers       exchange.Headers
	AnswerHeaders AnswerHeaders
	Routing       routing.Options
	Exchange      exchange.Options
	Logger        zerolog.Logger
	// Registry registers the gateway's metrics; nil registers none.
	Registry prometheus.Registerer
	// OnReachabilityChanged is called when the node can no longer reach enough servers for its
	// routes, and when it can again. It must not call the gateway. Nil is no callback.
	OnReachabilityChanged func(able bool)
	// Findings publishes findings on requests that crash servers; nil publishes none.
	Findings FindingPublisher
	// ViewAge returns the age of the node's view of the servers, for the log; nil if unknown.
	ViewAge func() time.Duration
	// CallerMargin is the part of a caller's timeout reserved for the answer's way back;
	// default 10 ms.
	CallerMargin time.Duration
	// CallerRoundTrip is the round-trip time assumed for callers whose connection provides no
	// measurement; default 6 ms.
	CallerRoundTrip time.Duration
	// StragglerTimeout is how long a cancelled attempt may continue, so that its connection
	// can be reused; default 300 ms.
	StragglerTimeout time.Duration
	// TableWaitTimeout is how long after the start of the gateway requests wait for the first
	// route table, which arrives shortly after; without a table, later ones are rejected at
	// once. Default 500 ms.
	TableWaitTimeout time.Duration
	// AnswerTimeout is how long a caller may read nothing of its answer; default 10 s.
	AnswerTimeout time.Duration
	// Connections bounds the number of callers' connections; nil does not.
	Connections *resource.Pool
	// Memory bounds the memory of callers' requests, in bytes; default DefaultMemoryBytes.
	Memory *resource.Pool
}

// FindingPublisher sends a gateway's findings on requests that crash servers to other nodes and to
// the registry. Its methods must neither block nor call the gateway.
type FindingPublisher interface {
	// Publish sends a finding to other nodes.
	Publish(finding quarantine.Finding, audience quarantine.Audience)
	// RecordQuarantine records for all nodes that requests with a fingerprint must be rejected.
	RecordQuarantine(fingerprint quarantine.Fingerprint)
	// QuarantinedRequestRejected reports that a request with a quarantined fingerprint was rejected.
	QuarantinedRequestRejected(fingerprint quarantine.Fingerprint)
}

// AnswerHeaders holds the names of the headers of merged answers.
type AnswerHeaders struct {
	// PartStamps lists the stamps of the parts that were received.
	PartStamps string
	// MissingParts is the number of shards without a part in the answer.
	MissingParts string
}

// Defaults of Options.
const (
	DefaultCallerMargin     = 10 * time.Millisecond
	DefaultCallerRoundTrip  = 6 * time.Millisecond
	DefaultStragglerTimeout = 300 * time.Millisecond
	DefaultTableWaitTimeout = 500 * time.Millisecond
	DefaultAnswerTimeout    = 10 * time.Second
	DefaultMemoryBytes      = 64 << 20
)

// Gateway forwards callers' requests to servers. It is safe for concurrent use.
type Gateway struct {
	options Options
	epoch   clock.Epoch
	client  *exchange.Client
	table   atomic.Pointer[route.Table]
	// draining makes connections close with their next answer.
	draining atomic.Bool
	// tableKnown is closed once there is a route table.
	tableKnown chan struct{}
	// rejecting makes the gateway reject all new requests.
	rejecting atomic.Bool
	isServing atomic.Bool
	// peersAvailable is set while another node is known that can serve callers.
	peersAvailable atomic.Bool
	// sends counts the attempts sent to servers since the start.
	sends    atomic.Uint64
	counters *counters

	mutex sync.Mutex
	// mutex serializes Step and guards the fields below. Invariants: pending holds exactly
	// the requests without a Finish action; attempts holds exactly the attempts that were
	// sent and whose result has not been reported to the router.
	router        *routing.Router
	pending       map[routing.RequestID]*pendingRequest
	attempts      map[gather.AttemptID]*runningAttempt
	lastRequestID routing.RequestID
	timer         *time.Timer
	servers       map[string]discovery.Server
	evacuated     []string
	// warmUntil is the time, by server ID, until which a connection to the server is kept open.
	warmUntil map[string]time.Duration

	// background is cancelled by Close; tasks counts the goroutines that run until then. It
	// grows only under mutex and before background is cancelled.
	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup
}

// pendingRequest is a request without a final answer.
type pendingRequest struct {
	id            routing.RequestID
	outgoing      *exchange.Request
	callerAddress string // IP:port
	route         *route.Route
	header        inbound.Header
	latency       callerLatency
	arrived       time.Time
	outcome       chan routing.Outcome // has a buffer for its only value
	// longReplies are received replies that hold memory; they are released after the answer.
	longReplies []*exchange.Reply
}

// New returns a Gateway without a route table and servers.
func New(options Options) *Gateway {
	options.CallerMargin = cmp.Or(options.CallerMargin, DefaultCallerMargin)
	options.CallerRoundTrip = cmp.Or(options.CallerRoundTrip, DefaultCallerRoundTrip)
	options.StragglerTimeout = cmp.Or(options.StragglerTimeout, DefaultStragglerTimeout)
	options.TableWaitTimeout = cmp.Or(options.TableWaitTimeout, DefaultTableWaitTimeout)
	options.AnswerTimeout = cmp.Or(options.AnswerTimeout, DefaultAnswerTimeout)
	if options.Memory == nil {
		options.Memory = resource.NewPool(resource.Options{Limit: DefaultMemoryBytes})
	}
	options.Exchange.Headers = options.Headers
	background, stop := context.WithCancel(context.Background())
	return &Gateway{
		counters:   newCounters(options.Registry),
		background: background,
		stop:       stop,

		options:    options,
		epoch:      clock.NewEpoch(),
		client:     exchange.NewClient(options.Exchange),
		router:     routing.New(0, options.Routing),
		tableKnown: make(chan struct{}),
		pending:    make(map[routing.RequestID]*pendingRequest),
		attempts:   make(map[gather.AttemptID]*runningAttempt),

		warmUntil: make(map[string]time.Duration),
	}
}

// now returns the time since the start, including time during which the machine was suspended:
// budget windows and the age of the view of servers are based on it.
func (g *Gateway) now() time.Duration { return g.epoch.Elapsed() }

// Table returns the route table in force; nil before the first.
func (g *Gateway) Table() *route.Table { return g.table.Load() }

// Homes returns the regions in which all requests for a host may be served; none means all
// regions.
func (g *Gateway) Homes(host string) []string {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	return table.CommonHomes(host)
}

// SetTable puts a route table in force. A table that is not newer than the one in force is
// ignored. It reports whether the given table was put in force.
func (g *Gateway) SetTable(table *route.Table) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if current := g.table.Load(); current != nil && table.Version <= current.Version {
		return false
	}
	g.stepLocked(routing.TableChanged{Table: table})
	if g.table.Swap(table) == nil {
		close(g.tableKnown)
	}
	return true
}

// SetServers sets the complete list of servers that may be running.
func (g *Gateway) SetServers(servers []discovery.Server) {
	byID := make(map[string]discovery.Server, len(servers))
	for _, server := range servers {
		byID[server.ID] = server
	}
	g.mutex.Lock()
	if !maps.Equal(byID, g.servers) {
		g.updateWarmServers(byID)
		g.servers = byID
		g.stepLocked(routing.ServersChanged{Servers: servers})
	}
	g.mutex.Unlock()
}

// SetEvacuated sets the zones, sorted, to whose servers nothing may be sent. It reports whether
// they changed. Connections to the servers that take over are opened by the next call of
// MaintainConnections.
func (g *Gateway) SetEvacuated(zones []string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if slices.Equal(zones, g.evacuated) {
		return false
	}
	g.evacuated = zones
	for id := range g.servers {
		g.warmUntil[id] = g.now() + keepWarmTime
	}
	g.stepLocked(routing.ZonesChanged{Evacuated: zones})
	return true
}

// EvacuatedZoneCount returns the number of zones to whose servers nothing may be sent.
func (g *Gateway) EvacuatedZoneCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.evacuated)
}

// SetNodes sets the number of live and serving nodes. A node that does not serve callers keeps no
// idle connections.
func (g *Gateway) SetNodes(nodes routing.NodesChanged) {
	g.isServing.Store(nodes.IsServing)
	g.step(nodes)
}

// SetPeersAvailable sets whether another node is known that reaches enough servers and accepts
// callers.
func (g *Gateway) SetPeersAvailable(available bool) {
	g.peersAvailable.Store(available)
	g.step(routing.PeerAvailabilityChanged{Available: available})
}

// ApplySettings applies new values of limits that can change at run time.
func (g *Gateway) ApplySettings(settings routing.SettingsChanged) { g.step(settings) }

// Drain makes every caller's connection close with its next answer, and rejects requests that would
// probably outlast abortAfter, after which AbortPending follows.
func (g *Gateway) Drain(abortAfter time.Duration) {
	g.draining.Store(true)
	g.step(routing.Draining{AbortAt: g.now() + abortAfter})
}

// RejectRequests makes the gateway reject all new requests; other nodes can serve them.
func (g *Gateway) RejectRequests() { g.rejecting.Store(true) }

// AbortPending gives every pending request its final answer at once.
func (g *Gateway) AbortPending() { g.step(routing.Stopping{}) }

// SendCount returns the number of attempts sent to servers since the start.
func (g *Gateway) SendCount() uint64 { return g.sends.Load() }

// PendingCount returns the number of requests without a final answer.
func (g *Gateway) PendingCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.pending)
}

// startTask runs a function in the background unless the gateway is closed. The caller holds the
// mutex.
func (g *Gateway) startTask(task func()) {
	if g.background.Err() == nil {
		g.tasks.Go(task)
	}
}

// Close cancels all background tasks and waits for them.
func (g *Gateway) Close() {
	g.mutex.Lock()
	g.stop()
	if g.timer != nil {
		g.timer.Stop()
	}
	g.mutex.Unlock()
	g.tasks.Wait()
}

// step passes an event to the router and performs the resulting actions.
func (g *Gateway) step(event routing.Event) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stepLocked(event)
}

func (g *Gateway) stepLocked(event routing.Event) {
	now := g.now()
	for _, action := range g.router.Step(now, event) {
		switch action := action.(type) {
		case routing.Send:
			g.send(action)
		case routing.Cancel:
			g.scheduleCancel(action.Attempt)
		case routing.Connect:
			g.startTask(func() { g.reconnect(action.Server) })
		case routing.Finish:
			g.finish(action)
		case routing.ReachabilityChanged:
			g.reportReachability(action.CanServe)
		case routing.PublishFinding, routing.RecordQuarantine, routing.QuarantinedRequestRejected:
			g.handleFinding(action)
		case routing.SetTimer:
			g.setTimer(action.At - now)
		}
	}
}

func (g *Gateway) reportReachability(canServe bool) {
	g.options.Logger.Warn().Bool("able", canServe).Msg("ability to reach enough servers changed")
	if g.options.OnReachabilityChanged != nil {
		g.options.OnReachabilityChanged(canServe)
	}
}

func (g *Gateway) setTimer(after time.Duration) {
	after = max(after, 0)
	if g.timer == nil {
		g.timer = time.AfterFunc(after, func() { g.step(routing.TimerFired{}) })
		return
	}
	g.timer.Reset(after)
}

func (g *Gateway) finish(action routing.Finish) {
	pending := g.pending[action.Request]
	delete(g.pending, action.Request)
	pending.outcome <- action.Outcome
}
