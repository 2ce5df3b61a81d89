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

// Agent maintains the node's view of the other nodes and of the back-end
// servers. It drives the state machines of package membership over twirp,
// follows the machine list, and claims requests at the nodes that own them.
//
// Run must be called once; Handler serves requests from peers. All methods are
// safe for concurrent use.
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

	// selfID and startIncarnation identify this process in claims.
	selfID           string
	startIncarnation uint64
	// hasReadList is set once a non-empty machine list has been read.
	hasReadList atomic.Bool
	// listAttempted is closed by markListAttempted once the first attempt to
	// read the machine list has ended.
	listAttempted     chan struct{}
	markListAttempted func()

	nodes   nodeTable
	servers serverTable
	claims  claimTable

	// requestSlots limits the membership requests that send has in flight.
	requestSlots chan struct{}
	// wake triggers an immediate tick; it buffers one signal.
	wake chan struct{}
	// pendingRequests counts the goroutines that are waiting for a peer's reply.
	pendingRequests sync.WaitGroup
}

// nodeTable holds the agent's state about nodes.
type nodeTable struct {
	// mutex guards core and shares. Invariants: the times passed to core never
	// decrease, because the clock is read with mutex held; shares is only valid
	// for the table version that it records.
	mutex  sync.Mutex
	core   *membership.Nodes
	shares shareCache
}

// NewAgent returns an agent that knows no peers yet.
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

// Handler returns the HTTP handler for requests from other nodes.
func (a *Agent) Handler() http.Handler { return a.handler }

// Self returns the node's own membership entry.
func (a *Agent) Self() membership.Member {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	return a.nodes.core.Self()
}

// Members returns the node itself and every member that is not in state Gone,
// sorted by ID.
func (a *Agent) Members() []membership.Member {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	return a.nodes.core.Members()
}

// SubscribeServers calls notify with the state of every known server, and then
// with every change of state. Calls are made in order and one at a time. A
// server that has not been reported is live. notify may call the agent's
// methods.
func (a *Agent) SubscribeServers(notify func(id string, state dispatch.ServerState)) {
	a.servers.subscribe(notify)
}

// ReportServer records the node's own observation of a server.
func (a *Agent) ReportServer(id string, report membership.ServerReport) {
	a.servers.update(func(core *membership.Servers) { core.Report(a.now(), id, report) })
}

// now returns the time since the agent was created.
func (a *Agent) now() time.Duration { return time.Since(a.startTime) }

// Run probes peers and follows the machine list until ctx is cancelled. It then
// hands over the claims that it holds, announces its departure and returns when
// all its goroutines have ended.
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

// Leave announces to several peers that the node is leaving, that is, that it
// completes the requests in flight and accepts no new ones. It returns when the
// announcements have been answered or have timed out.
func (a *Agent) Leave(ctx context.Context) {
	a.nodes.mutex.Lock()
	requests := a.nodes.core.Leave()
	a.nodes.mutex.Unlock()
	a.sendAndWait(ctx, requests)
}

// RefreshRevisions asks a bounded number of members that are not known to have
// the given revision for the one in force there. It returns when they have
// answered or timed out. Afterwards the revisions in Members are as current as
// possible; those spread by gossip alone lag behind.
func (a *Agent) RefreshRevisions(ctx context.Context, revision policy.Revision) {
	a.nodes.mutex.Lock()
	requests := a.nodes.core.RequestRevisions(revision)
	a.nodes.mutex.Unlock()
	a.sendAndWait(ctx, requests)
}

// depart announces that the node has stopped.
func (a *Agent) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	a.nodes.mutex.Lock()
	requests := a.nodes.core.Depart()
	a.nodes.mutex.Unlock()
	a.sendAndWait(ctx, requests)
}

// tickLoop drives the timers of the node and server tables until ctx is cancelled.
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

// tick advances both tables, sends the requests that are due and returns the
// delay until the next tick.
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

// logChanges logs changes to the node table.
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

// refreshRevision updates the configuration revision that gossip carries to the
// one now in force.
func (a *Agent) refreshRevision() {
	if a.configurations == nil {
		return
	}
	revision := a.configurations.Revision()
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	a.nodes.core.SetRevision(revision)
}

// send performs each request in its own goroutine. A request that exceeds the
// limit on requests in flight fails immediately.
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

// sendAndWait performs the requests concurrently, without regard to the limit on
// requests in flight, and returns when all have ended.
func (a *Agent) sendAndWait(ctx context.Context, requests []membership.Request) {
	var sent sync.WaitGroup
	for _, request := range requests {
		sent.Go(func() { a.perform(ctx, request) })
	}
	sent.Wait()
}

// perform sends one request and passes its result to the node table.
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

// complete passes a result to the node table and sends the requests that follow
// from it, unless ctx is done.
func (a *Agent) complete(ctx context.Context, result membership.Result) {
	a.nodes.mutex.Lock()
	requests := a.nodes.core.Complete(a.now(), result)
	a.nodes.mutex.Unlock()
	if ctx.Err() == nil {
		a.send(ctx, requests)
	}
}

// jitter returns a random duration between half of delay and delay.
func jitter(random *rand.Rand, delay time.Duration) time.Duration {
	half := delay / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}
