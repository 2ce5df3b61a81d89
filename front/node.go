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
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/internal/traffic"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/relay"
	"github.com/banksail/banksail/routing"
)

// Node is what the handler of checks asks.
type Node interface {
	// Ready reports whether callers should come.
	Ready() bool
}

// Options sets up a Front.
type Options struct {
	Settings Settings
	// Incarnation tells this process from earlier ones of the same node.
	Incarnation   string
	Headers       exchange.Headers
	AnswerHeaders gateway.AnswerHeaders
	Source        discovery.Source
	Registrar     discovery.Registrar
	// Rollouts keeps records of roll-outs; nil is that versions are not rolled out.
	Rollouts RolloutStore
	// Quarantines keeps the contents that are refused; nil is that only nodes remember them.
	Quarantines QuarantineStore
	// Readiness and Directory answer the node's other listeners.
	Readiness func(Node) http.Handler
	Directory func(directory.Resolver) http.Handler
	Logger    zerolog.Logger
	// Registry holds the node's metrics, which are served on their own address;
	// nil is none.
	Registry *prometheus.Registry
	Seed     uint64
	// Disabled names the mechanisms that are switched off, for diagnosis.
	Disabled mechanism.Disabled
	// Listen opens a listener, ListenPacket a socket for datagrams and Dial a connection
	// to a server; the default is the operating system's TCP and UDP.
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// Front is one node. Run must be called once.
type Front struct {
	options     Options
	gateway     *gateway.Gateway
	follower    *discovery.Follower
	announcer   *discovery.Announcer
	agent       *gossip.Agent
	meter       *traffic.Meter
	self        discovery.Node
	startedAt   time.Time
	leaving     atomic.Bool
	gracePeriod atomic.Int64 // in nanoseconds
	// hasTable says that a table and the servers were heard of once.
	hasTable        atomic.Bool
	maintenanceWake chan struct{}
	// load tells when others should help; only maintenanceLoop uses it.
	load loadMeter
	// suspendedTotal is for how long the machine has been, as far as was told; only maintenanceLoop uses it.
	suspendedTotal time.Duration
	// presence tells where the servers stand; nil until it is known.
	presence atomic.Pointer[directory.Presence]
	// servingNodes are the nodes to which callers are sent; nil until it is known.
	servingNodes atomic.Pointer[[]discovery.Node]
	// minConnections is the least number that a server takes, and liveNodeCount that of the
	// nodes that are there.
	minConnections, liveNodeCount atomic.Int64
	// nodesWake says that the nodes may have changed; it holds one token.
	nodesWake chan struct{}
	// role is the node's part among the nodes as it was told last, and bootstrapSince when
	// it became a node that keeps an entry in the registry; only nodesLoop uses them.
	role           routing.NodesChanged
	bootstrapSince time.Time
	// loneBootstrapDelay is how much longer the node waits for that when it knows nobody.
	loneBootstrapDelay time.Duration
	// peersAvailable says that another node reaches enough servers; only nodesLoop uses it.
	peersAvailable bool
	// unable says that the node can't reach enough servers, and remembered are the nodes
	// as they were before that or the like happened to a node of its zone; only nodesLoop
	// uses remembered.
	unable          atomic.Bool
	rememberedNodes []discovery.Node
	// busy says that others should help the node.
	busy atomic.Bool
	// rollouts moves services to other versions.
	rollouts *rolloutManager
	// quarantines carries what is found out of requests that end servers.
	quarantines *quarantineManager
	// relay asks the nodes that read the registry; nil when this node has no
	// address for other nodes.
	relay *relay.Client
}

const (
	// directoryTTL is how long an answer of the directory counts.
	directoryTTL = 5 * time.Second
	// followerReadShare is the part of the registry's readings that following may take.
	followerReadShare = 0.6
	// maintenanceInterval is the time between two looks at the connections.
	maintenanceInterval = time.Second
	// pollShare is the part of the bounds on leaving servers and on tables that
	// may pass between two readings of the registry: one reading may fail, and
	// the next still falls within the bound.
	pollShare = 0.6
	// maxHeaderBytes, headerTimeout and idleTimeout bound those who call a node.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 3 * time.Second
	idleTimeout    = time.Minute
	// callerHeaderTimeout and callerIdleTimeout bound callers whatever the table
	// says; the gateway holds them to the table's own limits.
	callerHeaderTimeout = 30 * time.Second
	callerIdleTimeout   = 10 * time.Minute
)

// New returns a node that has not started. Its error says what of the settings the
// node can't be known by.
func New(options Options) (*Front, error) {
	settings := options.Settings
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	f := &Front{
		options:         options,
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
	var registry prometheus.Registerer
	if options.Registry != nil {
		registry = options.Registry
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
		Exchange:      exchange.Options{Dial: f.meter.Dial(traffic.Servers, options.Dial)},
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
		Heard:        f.quarantines.receiveFinding,
		Changed:      f.wakeNodesLoop,
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
		Changed:        f.applyClusterState,
		OnAdopted:      newAdoptionMeter(shortestBound(settings), registry, options.Logger).observe,
		PollInterval:   time.Duration(float64(shortestBound(settings)) * pollShare),
		LapseTime:      settings.LapseTime,
		ReadsPerSecond: settings.ReadsPerSecond * followerReadShare,
	})
	entry := f.self
	entry.ID = settings.Node + "." + options.Incarnation // a late write of an earlier incarnation changes nothing
	f.announcer = discovery.NewAnnouncer(discovery.AnnouncerOptions{
		Registrar:  options.Registrar,
		Node:       entry,
		Logger:     options.Logger,
		TimeToLive: max(discovery.DefaultTimeToLive, settings.MinLeaseTTL),
	})
	return f, nil
}

// shortestBound is the shortest time in which what the registry tells is in force.
func shortestBound(settings Settings) time.Duration {
	return min(settings.DrainBound, settings.ApplyBound, cmp.Or(settings.EvacuateBound, settings.DrainBound))
}

func coldOptions(settings Settings) routing.ColdOptions {
	return routing.ColdOptions{Overshoot: settings.ColdOvershoot, Slack: settings.ColdSlack}
}

const (
	// firstStartSeedTimeout is for how long the nodes of a first start ask the seeds.
	firstStartSeedTimeout = 2 * time.Second
	// restartSeedTimeout is the same for nodes that start again, whose callers wait: a seed
	// that is there answers within it, and reading everything costs two calls.
	restartSeedTimeout = 150 * time.Millisecond
)

// seedTimeout is for how long the node asks its seeds before it reads the registry. At a
// first start the seeds themselves read it, and the others learn from them.
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

// ApplySettings takes settings that were changed while the node runs: the grace of a
// stop, the budget of extra sends, and the regions of zones. What names the node
// and its listeners counts at the next start only.
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

// applyClusterState takes what the follower believes.
func (f *Front) applyClusterState(state discovery.ClusterState) {
	f.agent.SetContacts(state.Nodes)
	f.minConnections.Store(int64(minUsableConnections(state.Table)))
	f.wakeNodesLoop()
	// Servers come first: those of a zone that is given back may be cold.
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

// setEvacuated takes the zones to whose servers nothing more may be sent.
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

// syncedAt is when the registry was heard last, by this node or by one that told it.
func (f *Front) syncedAt() time.Time { return time.Now().Add(-max(f.viewAge(), 0)) }

// viewAge is how old what the node believes of the registry is; -1 when it
// believes nothing.
func (f *Front) viewAge() time.Duration {
	age, known := f.follower.Age()
	if !known {
		return -1
	}
	return age
}

// Run serves until ctx ends, then stops as planned, and returns.
func (f *Front) Run(ctx context.Context) error {
	settings := f.options.Settings
	callers, err := f.serve(traffic.Callers, settings.Callers, f.gateway, f.gateway.ConnContext)
	if err != nil {
		return err
	}
	ready, err := f.serve(traffic.Checks, settings.Readiness, f.options.Readiness(f), nil)
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

// maintenanceLoop looks after the connections to servers.
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
	}
}

// updateLoad asks other nodes for help while this one is busy.
func (f *Front) updateLoad() {
	busy := f.load.update(time.Now(), f.gateway.SendCount())
	if f.busy.Swap(busy) != busy {
		f.options.Logger.Info().Bool("busy", busy).Float64("cores", f.load.capacity).Msg("load changed")
	}
	f.agent.SetBusy(busy)
}

// logSuspension tells when the machine has been suspended.
func (f *Front) logSuspension() {
	total := clock.Suspended()
	if missed := total - f.suspendedTotal; missed > 0 {
		f.options.Logger.Warn().Dur("missed_ms", missed).Msg("the machine was suspended")
	}
	f.suspendedTotal = total
}

// runAgent runs the agent that watches the other nodes. A node that can't listen for
// their datagrams serves on without them.
func (f *Front) runAgent(ctx context.Context) {
	if err := f.agent.Run(ctx); err != nil {
		f.options.Logger.Error().Err(err).Msg("other nodes are not watched")
	}
}
