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
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// Options sets up a Gateway. Zero fields get defaults but for Headers.
type Options struct {
	// Headers and AnswerHeaders name the headers towards servers and callers.
	Headers       exchange.Headers
	AnswerHeaders AnswerHeaders
	Routing       routing.Options
	Exchange      exchange.Options
	Logger        zerolog.Logger
	// Registry takes the gateway's metrics; nil is none.
	Registry prometheus.Registerer
	// OnReachabilityChanged is told when the node becomes unable to reach enough servers for its
	// routes, and when it is able again; it must not call the gateway. Nil is nobody.
	OnReachabilityChanged func(able bool)
	// FindingPublisher carries what is found out of requests that end servers; nil is nobody.
	Findings FindingPublisher
	// ViewAge tells how old what is believed of the servers is; nil is unknown.
	ViewAge func() time.Duration
	// CallerMargin is the part of a caller's deadline that is kept for the way
	// back; default 10 ms.
	CallerMargin time.Duration
	// CallerRoundTrip is the time that a message takes to a caller and back where the
	// caller's connection does not tell; default 6 ms.
	CallerRoundTrip time.Duration
	// StragglerTimeout is how long an attempt that its request gave up may go on:
	// its connection is worth keeping; default 300 ms.
	StragglerTimeout time.Duration
	// TableWaitTimeout is how long after the start requests wait for the first table, which
	// is on its way; later ones are refused at once; default 500 ms.
	TableWaitTimeout time.Duration
	// MaxBufferedBytes bounds the bodies of the requests that are held; default 64 MiB.
	MaxBufferedBytes int64
}

// FindingPublisher carries what a gateway finds out of requests that end servers to other nodes and
// to the registry. Its methods must neither block nor call the gateway.
type FindingPublisher interface {
	// Publish tells other nodes.
	Publish(finding quarantine.Finding, audience quarantine.Audience)
	// RecordQuarantine makes all nodes remember that a content is refused.
	RecordQuarantine(content quarantine.Fingerprint)
	// QuarantinedRequestRejected tells that such a content was refused again.
	QuarantinedRequestRejected(content quarantine.Fingerprint)
}

// AnswerHeaders names the headers of merged answers.
type AnswerHeaders struct {
	// PartStamps holds the stamps of the parts that are in.
	PartStamps string
	// MissingParts is the number of shards that are left out.
	MissingParts string
}

// Defaults of Options.
const (
	DefaultCallerMargin     = 10 * time.Millisecond
	DefaultCallerRoundTrip  = 6 * time.Millisecond
	DefaultStragglerTimeout = 300 * time.Millisecond
	DefaultTableWaitTimeout = 500 * time.Millisecond
	DefaultMaxBufferedBytes = 64 << 20
)

// Gateway carries callers' requests. Its methods may be called from several
// goroutines.
type Gateway struct {
	options Options
	epoch   clock.Epoch
	client  *exchange.Client
	table   atomic.Pointer[route.Table]
	// draining says that connections are to end with their next answer.
	draining atomic.Bool
	// tableKnown is closed once there is a table.
	tableKnown chan struct{}
	// rejecting says that requests are taken no more.
	rejecting     atomic.Bool
	bufferedBytes atomic.Int64
	isServing     atomic.Bool
	// sends counts the attempts that were sent since the start.
	sends    atomic.Uint64
	counters *counters

	mutex sync.Mutex
	// mutex serialises Step and guards the fields below. Invariants: pending
	// holds exactly the requests without a Finish; attempts holds exactly the
	// attempts that were sent and not reported back.
	router        *routing.Router
	pending       map[routing.RequestID]*pendingRequest
	attempts      map[gather.AttemptID]*runningAttempt
	lastRequestID routing.RequestID
	timer         *time.Timer
	servers       map[string]discovery.Server
	evacuated     []string
	// warmUntil is until when a connection to a server is kept ready.
	warmUntil map[string]time.Duration

	// background ends with the gateway; loops counts what runs until then. loops
	// grows only under mutex and before background ends.
	background context.Context
	stop       context.CancelFunc
	tasks      sync.WaitGroup
}

// pendingRequest is one without a final answer.
type pendingRequest struct {
	id            routing.RequestID
	outgoing      *exchange.Request
	callerAddress string // its address
	route         *route.Route
	header        headerInfo
	latency       callerLatency
	arrived       time.Time
	outcome       chan routing.Outcome // has room for the one outcome
}

// New returns a Gateway that knows no table and no server.
func New(options Options) *Gateway {
	options.CallerMargin = cmp.Or(options.CallerMargin, DefaultCallerMargin)
	options.CallerRoundTrip = cmp.Or(options.CallerRoundTrip, DefaultCallerRoundTrip)
	options.StragglerTimeout = cmp.Or(options.StragglerTimeout, DefaultStragglerTimeout)
	options.TableWaitTimeout = cmp.Or(options.TableWaitTimeout, DefaultTableWaitTimeout)
	options.MaxBufferedBytes = cmp.Or(options.MaxBufferedBytes, DefaultMaxBufferedBytes)
	options.Exchange.Headers = options.Headers
	background, stop := context.WithCancel(context.Background())
	return &Gateway{
		counters:   newCounters(options.Registry),
		background: background,
		stop:       stop,

		options:    options,
		epoch:      clock.Begin(),
		client:     exchange.NewClient(options.Exchange),
		router:     routing.New(0, options.Routing),
		tableKnown: make(chan struct{}),
		pending:    make(map[routing.RequestID]*pendingRequest),
		attempts:   make(map[gather.AttemptID]*runningAttempt),

		warmUntil: make(map[string]time.Duration),
	}
}

// now is the time since the start, also while the machine was suspended: windows of budgets and
// the freshness of what is believed count by it.
func (g *Gateway) now() time.Duration { return g.epoch.Elapsed() }

// Table is the table in force; nil until there is one.
func (g *Gateway) Table() *route.Table { return g.table.Load() }

// Homes lists the regions in which all requests for a host may be served; none is
// everywhere.
func (g *Gateway) Homes(host string) []string {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	return table.Homes(host)
}

// SetTable puts a table in force. One that is older than the table in force
// changes nothing; it reports whether the table is now in force.
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

// SetServers tells all servers that may be there.
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

// SetEvacuated tells the zones to whose servers nothing more may be sent, sorted. It
// reports whether they are other ones than before. Connections to the servers that take
// over are opened with the next MaintainConnections.
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

// EvacuatedZoneCount is the number of zones to whose servers nothing more may be sent.
func (g *Gateway) EvacuatedZoneCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.evacuated)
}

// SetNodes tells of the nodes that are live. One to which no callers are sent
// keeps no connections that rest.
func (g *Gateway) SetNodes(nodes routing.NodesChanged) {
	g.isServing.Store(nodes.IsServing)
	g.step(nodes)
}

// SetPeersAvailable tells whether another node is known that reaches enough servers and takes callers.
func (g *Gateway) SetPeersAvailable(available bool) {
	g.step(routing.PeerAvailabilityChanged{Available: available})
}

// ApplySettings takes bounds that were set anew.
func (g *Gateway) ApplySettings(settings routing.SettingsChanged) { g.step(settings) }

// Drain makes every connection end with its next answer.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RejectRequests refuses every request that comes from now on: another node is there for it.
func (g *Gateway) RejectRequests() { g.rejecting.Store(true) }

// AbortPending gives every request at hand its final answer.
func (g *Gateway) AbortPending() { g.step(routing.Stopping{}) }

// SendCount is the number of attempts that were sent to servers since the start.
func (g *Gateway) SendCount() uint64 { return g.sends.Load() }

// PendingCount is the number of requests without a final answer.
func (g *Gateway) PendingCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.pending)
}

// startTask starts what goes on in the background. The caller holds the mutex.
func (g *Gateway) startTask(task func()) {
	if g.background.Err() == nil {
		g.tasks.Go(task)
	}
}

// Close ends what goes on in the background.
func (g *Gateway) Close() {
	g.mutex.Lock()
	g.stop()
	if g.timer != nil {
		g.timer.Stop()
	}
	g.mutex.Unlock()
	g.tasks.Wait()
}

// step passes an event to the router and carries out its actions.
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
