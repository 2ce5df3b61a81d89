package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

// Agent keeps the node's view of the other nodes and of the servers: it drives
// the cores of package membership over twirp, and reads the machine list.
//
// Run must be called once; Handler serves the peers. All methods may be called
// from several goroutines.
type Agent struct {
	startTime           time.Time
	client              *http.Client
	machineList         machinelist.Conn
	configurations      ConfigurationSource
	logger              zerolog.Logger
	forwardTarget       ForwardTarget
	maximumForwardBytes int64
	handler             http.Handler
	seed                uint64

	// selfID and started name this process in claims.
	selfID           string
	startIncarnation uint64
	// hasReadList is set once a machine list that names machines was read.
	hasReadList atomic.Bool
	// listAttempted is closed by markListAttempted once the first reading has ended.
	listAttempted     chan struct{}
	markListAttempted func()

	nodes   nodeTable
	servers serverTable
	claims  claimTable

	// requestSlots bounds the requests in flight.
	requestSlots chan struct{}
	// wake makes the loop look at the tables at once; it holds one token.
	wake chan struct{}
	// pendingRequests counts the goroutines that wait for a peer's reply.
	pendingRequests sync.WaitGroup
}

// nodeTable is the shard of the agent's state about nodes.
type nodeTable struct {
	// mutex guards core and shares. Invariant: core sees times that never
	// decrease, as the clock is read under the lock; shares belong to the
	// table's version.
	mutex  sync.Mutex
	core   *membership.Nodes
	shares shareCache
}

// NewAgent returns an agent that knows no peer yet.
func NewAgent(options AgentOptions) *Agent {
	self := options.Self
	if self.Incarnation == 0 {
		self.Incarnation = uint64(max(1, time.Now().UnixMilli()))
	}
	nodesOptions := options.Nodes
	nodesOptions.Self = self
	nodesOptions.Seed = options.Seed
	agent := &Agent{
		startTime:           time.Now(),
		client:              boundedClient(options.HTTPClient),
		machineList:         options.MachineList,
		configurations:      options.Configurations,
		forwardTarget:       options.ForwardTarget,
		maximumForwardBytes: forwardSizeLimit(options.ForwardBodyBytes),
		logger:              options.Logger.With().Str("component", "peer").Logger(),
		seed:                options.Seed,
		selfID:              self.ID,
		startIncarnation:    self.Incarnation,
		claims:              claimTable{table: claim.NewTable(options.Claims)},
		listAttempted:       make(chan struct{}),
		nodes:               nodeTable{core: membership.NewNodes(nodesOptions)},
		servers:             serverTable{core: membership.NewServers(options.Servers), findingsReady: make(chan struct{}, 1)},
		requestSlots:        make(chan struct{}, maximumInFlight),
		wake:                make(chan struct{}, 1),
	}
	agent.markListAttempted = sync.OnceFunc(func() { close(agent.listAttempted) })
	if agent.machineList == nil {
		agent.markListAttempted()
	}
	agent.handler = newHandler(agent)
	return agent
}

// Handler serves the other nodes' requests.
func (a *Agent) Handler() http.Handler { return a.handler }

// Self returns the node's own entry.
func (a *Agent) Self() membership.Member {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	return a.nodes.core.Self()
}

// Members returns the node itself and every member that is not gone, sorted by ID.
func (a *Agent) Members() []membership.Member {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	return a.nodes.core.Members()
}

// SubscribeServers calls the function for every known server, and then for
// every change, in order and one call at a time. A server of which it was told
// nothing is live. The function may call the agent's methods.
func (a *Agent) SubscribeServers(notify func(id string, state dispatch.ServerState)) {
	a.servers.subscribe(notify)
}

// ReportServer takes in what the node saw of a server.
func (a *Agent) ReportServer(id string, report membership.ServerReport) {
	a.servers.update(func(core *membership.Servers) { core.Report(a.now(), id, report) })
}

// now is the time since the agent's epoch.
func (a *Agent) now() time.Duration { return time.Since(a.startTime) }

// Run probes peers and follows the machine list until the context ends; it
// then hands its claims over, announces the departure and returns when all its goroutines have ended.
func (a *Agent) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { a.tickLoop(ctx) })
	loops.Go(func() { a.findingLoop(ctx) })
	if a.machineList != nil {
		loops.Go(func() { a.listLoop(ctx) })
	}
	loops.Wait()
	a.handOver(context.WithoutCancel(ctx))
	a.claims.pendingCalls.Wait()
	a.depart(context.WithoutCancel(ctx))
	a.pendingRequests.Wait()
	return nil
}

// Leave announces to several peers that the node is leaving: it finishes what
// is in flight and takes no new work.
func (a *Agent) Leave(ctx context.Context) {
	a.nodes.mutex.Lock()
	requests := a.nodes.core.Leave()
	a.nodes.mutex.Unlock()
	a.sendAndWait(ctx, requests)
}

// RefreshRevisions asks members that are not known to have the revision in
// force, a bounded number of them, and returns when they have answered or did
// not in time. Members is then as exact as it can be, where gossip lags.
func (a *Agent) RefreshRevisions(ctx context.Context, revision policy.Revision) {
	a.nodes.mutex.Lock()
	requests := a.nodes.core.RequestRevisions(revision)
	a.nodes.mutex.Unlock()
	a.sendAndWait(ctx, requests)
}

// depart announces that the node is gone.
func (a *Agent) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	a.nodes.mutex.Lock()
	requests := a.nodes.core.Depart()
	a.nodes.mutex.Unlock()
	a.sendAndWait(ctx, requests)
}

// tickLoop drives the cores' timers.
func (a *Agent) tickLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wake:
		}
		timer.Reset(a.tick(ctx))
	}
}

// tick advances the cores and returns the time until the next one.
func (a *Agent) tick(ctx context.Context) time.Duration {
	a.servers.update(func(core *membership.Servers) { core.Tick(a.now()) })
	a.refreshRevision()
	a.nodes.mutex.Lock()
	now := a.now()
	requests := a.nodes.core.Tick(now)
	next := a.nodes.core.NextTick()
	changes := a.nodes.core.TakeChanges()
	a.nodes.mutex.Unlock()
	a.logChanges(changes)
	a.send(ctx, requests)
	return min(max(0, next-now), maximumTick)
}

// logChanges writes what changed in the table of nodes.
func (a *Agent) logChanges(changes []membership.Member) {
	for _, member := range changes {
		a.logger.Debug().
			Str("member", member.ID).
			Str("address", member.Address).
			Stringer("state", member.State).
			Uint64("incarnation", member.Incarnation).
			Uint64("revision", uint64(member.Revision)).
			Msg("member changed")
	}
}

// refreshRevision takes over the revision in force, which rides on gossip.
func (a *Agent) refreshRevision() {
	if a.configurations == nil {
		return
	}
	revision := a.configurations.Revision()
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	a.nodes.core.SetRevision(revision)
}

// send carries out requests, each in its own goroutine. A request over the
// bound on those in flight fails at once.
func (a *Agent) send(ctx context.Context, requests []membership.Request) {
	for _, request := range requests {
		select {
		case a.requestSlots <- struct{}{}:
			a.pendingRequests.Go(func() {
				defer func() { <-a.requestSlots }()
				a.perform(ctx, request)
			})
		default:
			a.complete(ctx, membership.Result{ID: request.ID, Failed: true})
		}
	}
}

// sendAndWait carries out announcements and returns when all have ended.
func (a *Agent) sendAndWait(ctx context.Context, requests []membership.Request) {
	var sent sync.WaitGroup
	for _, request := range requests {
		sent.Go(func() { a.perform(ctx, request) })
	}
	sent.Wait()
}

// perform carries out one request and reports its result.
func (a *Agent) perform(ctx context.Context, request membership.Request) {
	requestContext, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	result, err := a.exchange(requestContext, request)
	if err != nil {
		a.logger.Debug().Err(err).Str("member", request.To.ID).Msg("request to peer failed")
		result = membership.Result{Failed: true}
	}
	result.ID = request.ID
	a.complete(ctx, result)
}

func (a *Agent) complete(ctx context.Context, result membership.Result) {
	a.nodes.mutex.Lock()
	requests := a.nodes.core.Complete(a.now(), result)
	a.nodes.mutex.Unlock()
	if ctx.Err() == nil {
		a.send(ctx, requests)
	}
}

// jitter returns a time between half of the delay and the whole of it.
func jitter(random *rand.Rand, delay time.Duration) time.Duration {
	half := delay / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
