package gateway

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/clock"
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
	// BeliefAge tells how old what is believed of the servers is; nil is unknown.
	BeliefAge func() time.Duration
	// CallerMargin is the part of a caller's deadline that is kept for the way
	// back; default 10 ms.
	CallerMargin time.Duration
	// CallerRoundTrip is the time that a message takes to a caller and back;
	// default 6 ms.
	CallerRoundTrip time.Duration
	// StragglerTime is how long an attempt that its request gave up may go on:
	// its connection is worth keeping; default 300 ms.
	StragglerTime time.Duration
	// MaximumBytes bounds the bodies of the requests that are held; default 64 MiB.
	MaximumBytes int64
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
	DefaultCallerMargin    = 10 * time.Millisecond
	DefaultCallerRoundTrip = 6 * time.Millisecond
	DefaultStragglerTime   = 300 * time.Millisecond
	DefaultMaximumBytes    = 64 << 20
)

// Gateway carries callers' requests. Its methods may be called from several
// goroutines.
type Gateway struct {
	options Options
	epoch   time.Time
	client  *exchange.Client
	table   atomic.Pointer[route.Table]
	// draining says that connections are to end with their next answer.
	draining atomic.Bool
	held     atomic.Int64
	serves   atomic.Bool
	counters *counters

	mutex sync.Mutex
	// mutex serialises Step and guards the fields below. Invariants: pending
	// holds exactly the requests without a Finish; attempts holds exactly the
	// attempts that were sent and not reported back.
	router      *routing.Router
	pending     map[routing.RequestID]*pendingRequest
	attempts    map[gather.AttemptID]*runningAttempt
	lastRequest routing.RequestID
	wake        *time.Timer
	servers     map[string]discovery.Server
	// wantedUntil is until when a connection to a server is kept ready.
	wantedUntil map[string]time.Duration

	// background ends with the gateway; loops counts what runs until then. loops
	// grows only under mutex and before background ends.
	background context.Context
	end        context.CancelFunc
	loops      sync.WaitGroup
}

// pendingRequest is one without a final answer.
type pendingRequest struct {
	id       routing.RequestID
	outgoing *exchange.Request
	route    *route.Route
	header   header
	arrived  time.Time
	done     chan routing.Outcome // has room for the one outcome
}

// runningAttempt is one that was not reported back.
type runningAttempt struct {
	cancel    context.CancelFunc
	straggler *time.Timer // set once its request gave it up
}

// New returns a Gateway that knows no table and no server.
func New(options Options) *Gateway {
	options.CallerMargin = cmp.Or(options.CallerMargin, DefaultCallerMargin)
	options.CallerRoundTrip = cmp.Or(options.CallerRoundTrip, DefaultCallerRoundTrip)
	options.StragglerTime = cmp.Or(options.StragglerTime, DefaultStragglerTime)
	options.MaximumBytes = cmp.Or(options.MaximumBytes, DefaultMaximumBytes)
	options.Exchange.Headers = options.Headers
	background, end := context.WithCancel(context.Background())
	return &Gateway{
		counters:   newCounters(options.Registry),
		background: background,
		end:        end,

		options:  options,
		epoch:    time.Now(),
		client:   exchange.NewClient(options.Exchange),
		router:   routing.New(0, options.Routing),
		pending:  make(map[routing.RequestID]*pendingRequest),
		attempts: make(map[gather.AttemptID]*runningAttempt),

		wantedUntil: make(map[string]time.Duration),
	}
}

func (g *Gateway) now() time.Duration { return time.Since(g.epoch) }

// Table is the table in force; nil until there is one.
func (g *Gateway) Table() *route.Table { return g.table.Load() }

// SetTable puts a table in force. One that is older than the table in force
// changes nothing; it reports whether the table is now in force.
func (g *Gateway) SetTable(table *route.Table) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if current := g.table.Load(); current != nil && table.Version <= current.Version {
		return false
	}
	g.stepLocked(routing.TableChanged{Table: table})
	g.table.Store(table)
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
		g.want(byID)
		g.servers = byID
		g.stepLocked(routing.ServersChanged{Servers: servers})
	}
	g.mutex.Unlock()
}

// wantedFor is how long a connection to a server is kept ready after it was
// used, or after the server came: one that is seldom used would only be opened
// again and again as the server closes it.
const wantedFor = 15 * time.Second

// want keeps a connection ready to the servers that came, and forgets those that
// went. The caller holds the mutex.
func (g *Gateway) want(servers map[string]discovery.Server) {
	for id := range servers {
		if _, known := g.servers[id]; !known {
			g.wantedUntil[id] = g.now() + wantedFor
		}
	}
	for id := range g.wantedUntil {
		if _, listed := servers[id]; !listed {
			delete(g.wantedUntil, id)
		}
	}
}

// SetNodes tells of the nodes that are live. One to which no callers are sent
// keeps no connections that rest.
func (g *Gateway) SetNodes(nodes routing.NodesChanged) {
	g.serves.Store(nodes.Serves)
	g.step(nodes)
}

// SetBounds takes bounds that were set anew.
func (g *Gateway) SetBounds(bounds routing.SettingsChanged) { g.step(bounds) }

// Drain makes every connection end with its next answer.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Pending is the number of requests without a final answer.
func (g *Gateway) Pending() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.pending)
}

// Connections is the number of connections to servers.
func (g *Gateway) Connections() int { return g.client.Connections() }

// Tend closes connections that are of no use any more and opens one to each
// server of a service in force that has none.
func (g *Gateway) Tend() {
	g.mutex.Lock()
	servers := g.servers
	g.mutex.Unlock()
	listed := make(map[string]struct{}, len(servers))
	for id, server := range servers {
		if server.State == discovery.Ready {
			listed[id] = struct{}{}
		}
	}
	table := g.table.Load()
	if table == nil || !g.serves.Load() {
		g.client.Retain(listed, 0)
		return
	}
	g.client.Retain(listed, 1)
	used := make(map[string]struct{})
	for _, name := range table.UsedServices() {
		used[name] = struct{}{}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for id := range listed {
		if _, inUse := used[servers[id].Service]; inUse && g.wantedUntil[id] > g.now() {
			g.run(func() { g.warm(servers[id]) })
		}
	}
}

// warm opens a connection to a server that has none, and tells when it can't.
func (g *Gateway) warm(server discovery.Server) {
	if err := g.client.Warm(g.background, server); err != nil && g.background.Err() == nil {
		g.step(routing.Unreached{Server: server.ID})
	}
}

// reachPause is the time between two tries to connect to a server that could
// not be reached.
const reachPause = 250 * time.Millisecond

// reach opens a connection to a server that could not be reached.
func (g *Gateway) reach(server discovery.Server) {
	for g.lists(server.ID) && clock.Sleep(g.background, reachPause) == nil {
		if g.client.Warm(g.background, server) == nil {
			g.step(routing.Reached{Server: server.ID})
			return
		}
	}
}

// lists reports whether the server may still be there.
func (g *Gateway) lists(id string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, listed := g.servers[id]
	return listed
}

// run starts what goes on in the background. The caller holds the mutex.
func (g *Gateway) run(loop func()) {
	if g.background.Err() == nil {
		g.loops.Go(loop)
	}
}

// Close ends what goes on in the background.
func (g *Gateway) Close() {
	g.mutex.Lock()
	g.end()
	if g.wake != nil {
		g.wake.Stop()
	}
	g.mutex.Unlock()
	g.loops.Wait()
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
			g.cancel(action.Attempt)
		case routing.Reach:
			g.run(func() { g.reach(action.Server) })
		case routing.Finish:
			g.finish(action)
		case routing.Wake:
			g.setWake(action.At - now)
		}
	}
}

func (g *Gateway) setWake(after time.Duration) {
	after = max(after, 0)
	if g.wake == nil {
		g.wake = time.AfterFunc(after, func() { g.step(routing.Woken{}) })
		return
	}
	g.wake.Reset(after)
}

func (g *Gateway) send(action routing.Send) {
	asked := g.pending[action.Request]
	ctx, cancel := context.WithCancel(context.Background())
	g.attempts[action.Attempt] = &runningAttempt{cancel: cancel}
	g.wantedUntil[action.Server.ID] = g.now() + wantedFor
	g.counters.sent(action.Kind)
	go g.carry(ctx, cancel, asked, action)
}

// carry sends one attempt and reports its end.
func (g *Gateway) carry(ctx context.Context, cancel context.CancelFunc, asked *pendingRequest, action routing.Send) {
	defer cancel()
	reply, err := g.client.Do(ctx, &exchange.Attempt{
		Request:   asked.outgoing,
		Server:    action.Server,
		Remaining: action.Remaining,
	})
	event := g.report(asked.route, action, reply, err)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if running := g.attempts[action.Attempt]; running.straggler != nil {
		running.straggler.Stop()
	}
	delete(g.attempts, action.Attempt)
	g.stepLocked(event)
}

// cancel lets an attempt go on for a while: most end soon, and their
// connections can be used again.
func (g *Gateway) cancel(id gather.AttemptID) {
	running := g.attempts[id]
	if running == nil || running.straggler != nil {
		return
	}
	running.straggler = time.AfterFunc(g.options.StragglerTime, running.cancel)
}

func (g *Gateway) finish(action routing.Finish) {
	asked := g.pending[action.Request]
	delete(g.pending, action.Request)
	asked.done <- action.Outcome
}

// report tells how an attempt ended.
func (g *Gateway) report(r *route.Route, action routing.Send, reply *exchange.Reply, err error) routing.Event {
	event := g.eventOf(r, action, reply, err)
	switch event := event.(type) {
	case routing.Failed:
		g.counters.ended(event.Reason)
	case routing.Replied:
		g.counters.ended(routing.StatusName(event.Status))
	}
	return event
}

func (g *Gateway) eventOf(r *route.Route, action routing.Send, reply *exchange.Reply, err error) routing.Event {
	if err != nil {
		delivery := gather.DeliveryUnknown
		if errors.Is(err, exchange.ErrNotDelivered) {
			delivery = gather.NotDelivered
		}
		return routing.Failed{Attempt: action.Attempt, Delivery: delivery, Reason: failureName(err)}
	}
	status, why := g.classify(r, reply)
	if why != "" {
		return routing.Failed{Attempt: action.Attempt, Delivery: gather.DeliveryUnknown, Reason: why}
	}
	event := routing.Replied{Attempt: action.Attempt, Status: status, Body: reply}
	event.Load, event.LoadKnown = parseLoad(reply.Header.Get(g.options.Headers.Load))
	if status == gather.ReplyShed {
		event.RetryAfter = retryAfter(reply.Header)
	}
	return event
}

func failureName(err error) string {
	switch {
	case errors.Is(err, exchange.ErrNotDelivered):
		return "not_delivered"
	case errors.Is(err, exchange.ErrMalformed):
		return "malformed"
	default:
		return "no_answer"
	}
}
