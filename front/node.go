package front

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gateway"
	"github.com/banksail/banksail/gossip"
	"github.com/banksail/banksail/inbound"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/internal/traffic"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/relay"
	"github.com/banksail/banksail/routing"
)

// Node is the interface that the handler of readiness checks needs.
type Node interface {
	// Ready reports whether callers should be sent to this node.
	Ready() bool
}

// Options configures a Front.
type Options struct {
	Settings Settings
	// Incarnation distinguishes this process from earlier ones of the same node.
	Incarnation   string
	Headers       exchange.Headers
	AnswerHeaders gateway.AnswerHeaders
	Source        discovery.Source
	Registrar     discovery.Registrar
	// Rollouts stores the records of roll-outs; nil disables roll-outs on request.
	Rollouts RolloutStore
	// Quarantines stores the fingerprints of rejected requests; if nil, only the nodes' memory
	// holds them.
	Quarantines QuarantineStore
	// Readiness and Directory create the handlers of the listeners for readiness checks and for
	// address look-ups.
	Readiness func(Node) http.Handler
	Directory func(directory.Resolver) http.Handler
	Logger    zerolog.Logger
	// Registry holds the node's metrics, which are served on their own address; nil disables
	// metrics.
	Registry *prometheus.Registry
	Seed     uint64
	// Disabled is the set of mechanisms that are switched off, for diagnosis.
	Disabled mechanism.Disabled
	// Listen opens a listener, ListenPacket a datagram socket and Dial a connection to a server or
	// node. The defaults are the operating system's TCP, with
	// small receive buffers for accepted connections, and UDP.
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Front is one node. Run must be called exactly once.
type Front struct {
	options     Options
	gateway     *gateway.Gateway
	follower    *discovery.Follower
	announcer   *discovery.Announcer
	agent       *gossip.Agent
	meter       *traffic.Meter
	limits      *limits
	self        discovery.Node
	startedAt   time.Time
	leaving     atomic.Bool
	gracePeriod atomic.Int64 // nanoseconds
	// hasTable is set once the node has received a table and the servers.
	hasTable        atomic.Bool
	maintenanceWake chan struct{}
	// load decides whether other nodes should take over callers; used by maintenanceLoop only.
	load loadMeter
	// suspendedTotal is how long the machine has been suspended in total, as of the last check;
	// used by maintenanceLoop only.
	suspendedTotal time.Duration
	// presence describes in which zones servers are ready; nil until it is known.
	presence atomic.Pointer[directory.Presence]
	// servingNodes are the nodes to which callers are sent; nil until they are known.
	servingNodes atomic.Pointer[[]discovery.Node]
	// minConnections is the smallest number of connections that all nodes together may hold to any
	// server. liveNodeCount is the number of live nodes.
	minConnections, liveNodeCount atomic.Int64
	// nodesWake signals that the set of nodes may have changed; it holds one token.
	nodesWake chan struct{}
	// role is the role last passed to the gateway. bootstrapSince is when this node became one of
	// those that keep a bootstrap entry in the registry; zero if it is none of them. Used by
	// nodesLoop only.
	role           routing.NodesChanged
	bootstrapSince time.Time
	// loneBootstrapDelay is how much longer the node waits before it writes its bootstrap entry if
	// it knows no other node.
	loneBootstrapDelay time.Duration
	// peersAvailable reports whether another node accepts callers and reaches enough servers; used
	// by nodesLoop only.
	peersAvailable bool
	// unable is set while this node cannot reach enough servers. rememberedNodes are the nodes as
	// last seen before this node or another one of its zone became unable; they are used by
	// nodesLoop only.
	unable          atomic.Bool
	rememberedNodes []discovery.Node
	// busy is set while other nodes should take over callers of this node.
	busy atomic.Bool
	// rollouts runs this node's part in roll-outs.
	rollouts *rolloutManager
	// quarantines exchanges findings on requests that crash servers.
	quarantines *quarantineManager
	// relay fetches publications from the nodes that read the registry; nil if this node has no
	// address for other nodes.
	relay *relay.Client
}

const (
	// directoryTTL is how long callers may use an answer of the directory, unless the settings
	// demand a shorter time.
	directoryTTL = 5 * time.Second
	// followerReadShare is the share of the registry's read budget that the follower may use.
	followerReadShare = 0.6
	// maintenanceInterval is the time between two maintenance passes over the connections to
	// servers.
	maintenanceInterval = time.Second
	// pollShare is the registry poll interval as a share of the shortest bound on the adoption of
	// changes. One read may fail, and the next one still falls within the bound.
	pollShare = 0.6
	// maxHeaderBytes limits request headers on all listeners. The other limits apply to all
	// listeners but the callers': readTimeout to a whole request, writeTimeout to its answer.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 8 << 20
	headerTimeout  = 3 * time.Second
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	// callerHeaderTimeout and callerIdleTimeout apply to callers whatever the table says; the
	// gateway enforces the table's own limits.
	callerHeaderTimeout = 30 * time.Second
	callerIdleTimeout   = 10 * time.Minute
)

// New returns a node that has not been started. It fails if the settings do not identify the node
// to the other nodes.
func New(options Options) (*Front, error) {
	settings := options.Settings
	if options.Listen == nil {
		options.Listen = inbound.OpenSocket
	}
	var registry prometheus.Registerer
	if options.Registry != nil {
		registry = options.Registry
	}
	limits := newLimits(settings, registry)
	f := &Front{
		options:         options,
		limits:          limits,
		startedAt:       time.Now(),
		maintenanceWake: make(chan struct{}, 1),

		nodesWake:          make(chan struct{}, 1),
		loneBootstrapDelay: drawLoneBootstrapDelay(options.Seed),
		load:               loadMeter{capacity: settings.Capacity},
		self: discovery.Node{
			ID:       settings.Node,
			Address:  settings.Callers,
			Peer:     settings.Peer,
			Gossip:   settings.Gossip,
			Zone:     settings.Zone,
			Region:   settings.Region,
			Capacity: settings.Capacity,
		},
	}
	f.meter = traffic.NewMeter(registry)
	f.gracePeriod.Store(int64(settings.GracePeriod))
	f.quarantines = newQuarantineManager(f, options.Quarantines, registry)
	f.gateway = gateway.New(gateway.Options{
		Findings: f.quarantines,
		Registry: registry,
		ViewAge:  f.viewAge,
		OnReachabilityChanged: func(able bool) {
			f.unable.Store(!able)
			f.wakeNodesLoop()
		},
		Headers:       options.Headers,
		AnswerHeaders: options.AnswerHeaders,
		Logger:        options.Logger,
		Exchange: exchange.Options{
			Dial:             f.meter.Dial(traffic.Servers, options.Dial),
			MaxBufferedBytes: limits.replyBytes,
		},
		Memory:      limits.requests,
		Connections: limits.connections("callers", callersShare),
		Routing: routing.Options{
			Seed:    options.Seed,
			Zone:    settings.Zone,
			Regions: settings.Regions,
			Budget: extrabudget.Options{
				Ratio:  settings.BudgetRatio,
				Fixed:  settings.BudgetFixed,
				Window: settings.BudgetWindow,
			},
			Cold:      coldOptions(settings),
			Rollouts:  settings.Rollouts,
			Restarted: !settings.FirstStart,
			Disabled:  options.Disabled,
		},
	})
	f.rollouts = newRolloutManager(f, options.Rollouts, registry)
	f.minConnections.Store(math.MaxInt32)
	var err error
	f.agent, err = gossip.NewAgent(gossip.Options{
		Self:         f.self,
		Regions:      settings.Regions,
		Seeds:        settings.GossipSeeds,
		Seed:         options.Seed,
		Logger:       options.Logger,
		Registry:     registry,
		ListenPacket: options.ListenPacket,
		OnFinding:    f.quarantines.receiveFinding,
		OnChanged:    f.wakeNodesLoop,
	})
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	var publishers discovery.PublicationFetcher
	if settings.Peer != "" {
		f.relay = relay.NewClient(f.meter.Dial(traffic.Nodes, options.Dial))
	}
	if f.relay != nil && options.Disabled.Enabled(mechanism.RegistryReaders) {
		publishers = f.relay
	}
	f.follower = discovery.NewFollower(discovery.FollowerOptions{
		Seed:           options.Seed,
		Self:           settings.Node + "." + options.Incarnation,
		NodeID:         settings.Node,
		Nodes:          f.agent.Nodes,
		Fetcher:        publishers,
		Seeds:          excludeAddress(settings.Seeds, settings.Peer),
		SeedTimeout:    seedTimeout(settings),
		Source:         options.Source,
		Logger:         options.Logger,
		View:           discovery.Options{Disabled: options.Disabled},
		OnChanged:      f.applyClusterState,
		OnAdopted:      newAdoptionMeter(shortestBound(settings), registry, options.Logger).observe,
		PollInterval:   time.Duration(float64(shortestBound(settings)) * pollShare),
		EntryTTL:       settings.EntryTTL,
		ReadsPerSecond: settings.ReadsPerSecond * followerReadShare,
	})
	entry := f.self
	entry.ID = settings.Node + "." + options.Incarnation // per incarnation, so that a late write of an earlier process has no effect
	f.announcer = discovery.NewAnnouncer(discovery.AnnouncerOptions{
		Registrar:  options.Registrar,
		Node:       entry,
		Logger:     options.Logger,
		TimeToLive: max(discovery.DefaultTimeToLive, settings.MinLeaseTTL),
	})
	return f, nil
}

// shortestBound returns the shortest of the times within which changes in the registry must be in
// force.
func shortestBound(settings Settings) time.Duration {
	return min(settings.DrainBound, settings.ApplyBound, cmp.Or(settings.EvacuateBound, settings.DrainBound))
}

func coldOptions(settings Settings) routing.ColdOptions {
	return routing.ColdOptions{Overshoot: settings.ColdOvershoot, Slack: settings.ColdSlack}
}

const (
	// firstStartSeedTimeout is how long nodes try to reach the seeds at the first start of all
	// nodes.
	firstStartSeedTimeout = 2 * time.Second
	// restartSeedTimeout applies to restarted nodes, whose callers are waiting. A live seed answers
	// within this time, and reading everything from the registry costs two calls.
	restartSeedTimeout = 150 * time.Millisecond
)

// seedTimeout returns how long the node tries its seeds before it reads the registry. At the first
// start of all nodes the seeds read the registry at once, and the other nodes fetch from them.
func seedTimeout(settings Settings) time.Duration {
	switch {
	case !settings.FirstStart:
		return restartSeedTimeout
	case slices.Contains(settings.Seeds, settings.Peer):
		return 0
	default:
		return firstStartSeedTimeout
	}
}

func excludeAddress(addresses []string, self string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == self })
}

// ApplySettings applies settings that changed while the node runs: the grace period of a shutdown,
// the budget of extra attempts, the limits on cold servers and the regions of zones. Settings that
// identify the node or its listeners take effect at the next start only.
func (f *Front) ApplySettings(settings Settings) {
	f.gracePeriod.Store(int64(settings.GracePeriod))
	f.gateway.ApplySettings(routing.SettingsChanged{
		Budget:  extrabudget.Options{Ratio: settings.BudgetRatio, Fixed: settings.BudgetFixed},
		Cold:    coldOptions(settings),
		Regions: settings.Regions,
	})
	f.options.Logger.Info().Dur("grace_ms", settings.GracePeriod).Float64("budget_ratio", settings.BudgetRatio).
		Float64("budget_fixed", settings.BudgetFixed).Msg("settings applied")
}

// applyClusterState passes a new view of the cluster, as adopted by the follower, to all parts of
// the node.
func (f *Front) applyClusterState(state discovery.ClusterState) {
	f.agent.SetContacts(state.Nodes)
	f.minConnections.Store(int64(minUsableConnections(state.Table)))
	f.wakeNodesLoop()
	// Servers are set before evacuated zones, as the servers of a zone that returns to service may
	// be cold.
	f.gateway.SetServers(state.Servers)
	f.setEvacuated(discovery.EvacuatedZones(state.Directives))
	f.quarantines.update(state.Directives)
	f.rollouts.update(state, f.syncedAt())
	f.presence.Store(zonePresence(state))
	if state.Table == nil {
		return
	}
	if f.gateway.SetTable(state.Table) {
		f.options.Logger.Info().Uint64("version", state.Table.Version).Int("routes", state.Table.Len()).Msg("table in force")
		f.wakeMaintenance()
	}
	f.hasTable.Store(true)
}

// setEvacuated sets the zones whose servers must not receive any more requests.
func (f *Front) setEvacuated(zones []string) {
	if f.gateway.SetEvacuated(zones) {
		f.options.Logger.Info().Strs("zones", zones).Msg("evacuated zones changed")
		f.wakeMaintenance()
	}
}

func (f *Front) wakeMaintenance() {
	select {
	case f.maintenanceWake <- struct{}{}:
	default:
	}
}

// syncedAt returns when the registry was last read, by this node or by the one that it fetched the
// view from.
func (f *Front) syncedAt() time.Time { return time.Now().Add(-max(f.viewAge(), 0)) }

// viewAge returns the age of the node's view of the registry, or -1 if it has none.
func (f *Front) viewAge() time.Duration {
	age, known := f.follower.Age()
	if !known {
		return -1
	}
	return age
}

// Run serves until ctx ends and then shuts down gracefully. It returns an error if it cannot listen
// on one of the addresses other than that for metrics.
func (f *Front) Run(ctx context.Context) error {
	settings := f.options.Settings
	callers, err := f.serveCallers()
	if err != nil {
		return err
	}
	ready, err := f.serve(traffic.Checks, settings.Readiness, f.options.Readiness(f), f.limits.connections("readiness", readinessShare))
	if err != nil {
		return err
	}
	directory, err := f.serveDirectory()
	if err != nil {
		return err
	}
	peers, err := f.servePeers()
	if err != nil {
		return err
	}
	metrics := f.serveMetrics()
	background, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { f.runAgent(background) })
	loops.Go(func() { f.nodesLoop(background) })
	loops.Go(func() { f.follower.Run(background) })
	loops.Go(func() { f.announcer.Run(background) })
	loops.Go(func() { f.maintenanceLoop(background) })
	loops.Go(func() { f.rollouts.run(background) })
	loops.Go(func() { f.quarantines.run(background) })
	f.options.Logger.Info().Str("callers", settings.Callers).Msg("started")
	<-ctx.Done()
	f.stop(callers)
	f.gateway.Close()
	stop()
	loops.Wait()
	if metrics != nil {
		_ = metrics.Close()
	}
	if peers != nil {
		_ = peers.Close()
		f.relay.Close()
	}
	if directory != nil {
		_ = directory.Close()
	}
	_ = ready.Close()
	f.options.Logger.Info().Msg("stopped")
	return nil
}

// maintenanceLoop maintains the connections to servers and checks the load and suspensions, once
// per maintenanceInterval and when signalled.
func (f *Front) maintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.maintenanceWake:
		}
		f.gateway.MaintainConnections()
		f.updateLoad()
		f.logSuspension()
		f.limits.releaseMemory()
	}
}

// updateLoad measures the load and announces to other nodes whether this one is busy.
func (f *Front) updateLoad() {
	busy := f.load.update(time.Now(), f.gateway.SendCount())
	if f.busy.Swap(busy) != busy {
		f.options.Logger.Info().Bool("busy", busy).Float64("cores", f.load.capacity).Msg("load changed")
	}
	f.agent.SetBusy(busy)
}

// logSuspension logs a warning if the machine was suspended since the last call.
func (f *Front) logSuspension() {
	total := clock.SuspendedTime()
	if missed := total - f.suspendedTotal; missed > 0 {
		f.options.Logger.Warn().Dur("missed_ms", missed).Msg("the machine was suspended")
	}
	f.suspendedTotal = total
}

// runAgent runs the gossip agent that monitors the other nodes. A node that cannot listen for their
// datagrams keeps serving without it.
func (f *Front) runAgent(ctx context.Context) {
	if err := f.agent.Run(ctx); err != nil {
		f.options.Logger.Error().Err(err).Msg("gossip agent failed; other nodes are not monitored")
	}
}
