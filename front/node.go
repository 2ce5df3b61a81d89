package front

import (
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
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/gateway"
	"github.com/banksail/banksail/relay"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// Node is what the handlers of checks and of the directory ask.
type Node interface {
	// Ready reports whether callers should come.
	Ready() bool
	// Addresses lists where a caller may connect, and for how long that counts.
	Addresses(caller directory.Caller, most int) (addresses []string, timeToLive time.Duration)
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
	// Readiness and Directory answer the node's other listeners.
	Readiness, Directory func(Node) http.Handler
	Logger               zerolog.Logger
	// Registry holds the node's metrics, which are served on their own address;
	// nil is none.
	Registry *prometheus.Registry
	Seed     uint64
	// Listen opens a listener and Dial a connection to a server; the default is
	// the operating system's TCP.
	Listen func(network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// Front is one node. Run must be called once.
type Front struct {
	options   Options
	gateway   *gateway.Gateway
	follower  *discovery.Follower
	announcer *discovery.Announcer
	self      discovery.Node
	leaving   atomic.Bool
	grace     atomic.Int64 // in nanoseconds
	// knows says that a table and the servers were heard of once.
	knows atomic.Bool
	tend  chan struct{}
	// presence tells where the servers stand; nil until it is known.
	presence atomic.Pointer[directory.Presence]
	// serving are the nodes to which callers are sent; nil until it is known.
	serving atomic.Pointer[[]discovery.Node]
	// relay asks the nodes that read the registry; nil when this node has no
	// address for other nodes.
	relay *relay.Client
}

const (
	// directoryTTL is how long an answer of the directory counts.
	directoryTTL = 5 * time.Second
	// readShare is the part of the registry's readings that following may take.
	readShare = 0.6
	// tendInterval is the time between two looks at the connections.
	tendInterval = time.Second
	// readPace is the part of the bounds on leaving servers and on tables that
	// may pass between two readings of the registry: one reading may fail, and
	// the next still falls within the bound.
	readPace = 0.6
	// headerBytes, headerTimeout and idleTimeout bound callers whatever the table
	// says; the gateway holds them to the table's own limit of header bytes.
	headerBytes   = 64 << 10
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
)

// New returns a node that has not started.
func New(options Options) *Front {
	settings := options.Settings
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	f := &Front{
		options: options,
		tend:    make(chan struct{}, 1),
		self: discovery.Node{
			ID:      settings.Node + "." + options.Incarnation,
			Address: settings.Callers,
			Peer:    settings.Peer,
			Zone:    settings.Zone,
			Region:  settings.Region,
		},
	}
	var registry prometheus.Registerer
	if options.Registry != nil {
		registry = options.Registry
	}
	f.grace.Store(int64(settings.Grace))
	f.gateway = gateway.New(gateway.Options{
		Registry:      registry,
		BeliefAge:     f.beliefAge,
		Headers:       options.Headers,
		AnswerHeaders: options.AnswerHeaders,
		Logger:        options.Logger,
		Exchange:      exchange.Options{Dial: options.Dial},
		Routing: routing.Options{
			Seed:    options.Seed,
			Zone:    settings.Zone,
			Regions: settings.Regions,
			Budget: routing.BudgetOptions{
				Ratio:  settings.BudgetRatio,
				Fixed:  settings.BudgetFixed,
				Window: settings.BudgetWindow,
			},
			Fresh: !settings.FirstStart,
		},
	})
	var publishers discovery.Publishers
	if settings.Peer != "" {
		f.relay = relay.NewClient(options.Dial)
		publishers = f.relay
	}
	f.follower = discovery.NewFollower(discovery.FollowerOptions{
		Self:           f.self.ID,
		Publishers:     publishers,
		Source:         options.Source,
		Logger:         options.Logger,
		Changed:        f.changed,
		Pace:           time.Duration(float64(min(settings.DrainBound, settings.ApplyBound)) * readPace),
		ReadsPerSecond: settings.ReadsPerSecond * readShare,
	})
	f.announcer = discovery.NewAnnouncer(discovery.AnnouncerOptions{
		Registrar:  options.Registrar,
		Node:       f.self,
		Logger:     options.Logger,
		TimeToLive: max(discovery.DefaultTimeToLive, settings.LeastLease),
	})
	return f
}

// Apply takes settings that were changed while the node runs: the grace of a
// stop, the budget of extra sends, and the regions of zones. What names the node
// and its listeners counts at the next start only.
func (f *Front) Apply(settings Settings) {
	f.grace.Store(int64(settings.Grace))
	f.gateway.SetBounds(routing.SettingsChanged{
		Budget:  routing.BudgetOptions{Ratio: settings.BudgetRatio, Fixed: settings.BudgetFixed},
		Regions: settings.Regions,
	})
	f.options.Logger.Info().Dur("grace_ms", settings.Grace).Float64("budget_ratio", settings.BudgetRatio).
		Float64("budget_fixed", settings.BudgetFixed).Msg("settings applied")
}

// changed takes what the follower believes.
func (f *Front) changed(news discovery.News) {
	f.gateway.SetNodes(f.nodesOf(news))
	f.gateway.SetServers(news.Servers)
	f.presence.Store(presenceOf(news))
	if news.Table == nil {
		return
	}
	if f.gateway.SetTable(news.Table) {
		f.options.Logger.Info().Uint64("version", news.Table.Version).Int("routes", news.Table.Len()).Msg("table in force")
		f.tendNow()
	}
	f.knows.Store(true)
}

// nodesOf tells how many nodes there are, and which of them serve callers.
func (f *Front) nodesOf(news discovery.News) routing.NodesChanged {
	serving := directory.Serving(news.Nodes, leastConnections(news.Table))
	serves := slices.ContainsFunc(serving, func(n discovery.Node) bool { return n.ID == f.self.ID })
	f.serving.Store(&serving)
	return routing.NodesChanged{
		Live:    max(len(news.Nodes), 1),
		Serving: max(len(serving), 1),
		Serves:  serves || len(serving) == len(news.Nodes),
	}
}

// connectionsCounted is the part of a server's connections that may be held.
const connectionsCounted = 0.8

// leastConnections is the least number that a server of a service in use takes.
func leastConnections(table *route.Table) int {
	if table == nil {
		return math.MaxInt
	}
	least := math.MaxInt
	for _, name := range table.UsedServices() {
		least = min(least, int(float64(table.Services[name].Connections)*connectionsCounted))
	}
	return least
}

// presenceOf tells which part of the services in use each zone has a server of.
func presenceOf(news discovery.News) *directory.Presence {
	presence := make(directory.Presence)
	if news.Table == nil {
		return &presence
	}
	used := make(map[string]struct{})
	for _, name := range news.Table.UsedServices() {
		used[name] = struct{}{}
	}
	type place struct{ zone, service string }
	seen := make(map[place]struct{})
	for _, server := range news.Servers {
		at := place{server.Zone, server.Service}
		_, twice := seen[at]
		if _, inUse := used[server.Service]; !inUse || twice || server.State != discovery.Ready {
			continue
		}
		seen[at] = struct{}{}
		presence[server.Zone] += 1 / float64(len(used))
	}
	return &presence
}

func (f *Front) tendNow() {
	select {
	case f.tend <- struct{}{}:
	default:
	}
}

// Ready implements Node.
func (f *Front) Ready() bool { return f.knows.Load() && !f.leaving.Load() }

// Addresses implements Node. The node itself counts as live as long as it answers.
func (f *Front) Addresses(caller directory.Caller, most int) ([]string, time.Duration) {
	var nodes []discovery.Node
	if serving := f.serving.Load(); serving != nil {
		nodes = *serving
	}
	seen := make(map[string]struct{}, len(nodes)+1)
	kept := make([]discovery.Node, 0, len(nodes)+1)
	serves := len(nodes) == 0
	for _, node := range nodes {
		if node.Address == f.self.Address {
			serves = true
			continue
		}
		if _, twice := seen[node.Address]; !twice {
			seen[node.Address] = struct{}{}
			kept = append(kept, node)
		}
	}
	self := f.self
	self.Leaving = f.leaving.Load()
	if serves && f.knows.Load() || len(kept) == 0 {
		kept = append(kept, self)
	}
	var presence directory.Presence
	if known := f.presence.Load(); known != nil {
		presence = *known
	}
	return directory.Addresses(kept, presence, caller, most), min(directoryTTL, f.options.Settings.LongestTTL)
}

// beliefAge is how old what the node believes of the registry is; -1 when it
// believes nothing.
func (f *Front) beliefAge() time.Duration {
	age, known := f.follower.Age()
	if !known {
		return -1
	}
	return age
}

// Run serves until ctx ends, then stops as planned, and returns.
func (f *Front) Run(ctx context.Context) error {
	settings := f.options.Settings
	callers, err := f.serve(settings.Callers, f.gateway, f.gateway.ConnContext)
	if err != nil {
		return err
	}
	ready, err := f.serve(settings.Readiness, f.options.Readiness(f), nil)
	if err != nil {
		return err
	}
	resolve, err := f.serve(settings.Directory, f.options.Directory(f), nil)
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
	loops.Go(func() { f.follower.Run(background) })
	loops.Go(func() { f.announcer.Run(background) })
	loops.Go(func() { f.tendLoop(background) })
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
	_ = resolve.Close()
	_ = ready.Close()
	f.options.Logger.Info().Msg("stopped")
	return nil
}

// servePeers answers other nodes; nil when the node has no address for them.
func (f *Front) servePeers() (*http.Server, error) {
	if f.options.Settings.Peer == "" {
		return nil, nil
	}
	return f.serve(f.options.Settings.Peer, relay.Handler(f.follower), nil)
}

// metricsPath is where the node's figures are.
const metricsPath = "/metrics"

// serveMetrics answers with the node's figures; nil when it has no address for
// them, or can't listen there: a node without metrics still serves callers.
func (f *Front) serveMetrics() *http.Server {
	registry := f.options.Registry
	if registry == nil || f.options.Settings.Metrics == "" {
		return nil
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_belief_age_seconds", Help: "Age of what the node believes of the registry; -1 when nothing.",
	}, func() float64 { return max(f.beliefAge().Seconds(), -1) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_table_version", Help: "Version of the table in force; 0 when there is none.",
	}, func() float64 {
		if table := f.gateway.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	}))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_live_nodes", Help: "Nodes that are believed to be live.",
	}, func() float64 { return float64(len(f.follower.Nodes())) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_server_connections", Help: "Connections to servers that are open or being opened.",
	}, func() float64 { return float64(f.gateway.Connections()) }))
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server, err := f.serve(f.options.Settings.Metrics, mux, nil)
	if err != nil {
		f.options.Logger.Warn().Err(err).Msg("metrics are not served")
		return nil
	}
	return server
}

// serve answers on an address in the background.
func (f *Front) serve(address string, handler http.Handler, connContext func(context.Context, net.Conn) context.Context) (*http.Server, error) {
	listener, err := f.options.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("front: listening on %s: %w", address, err)
	}
	if connContext != nil {
		listener = gateway.Watch(listener)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnContext:       connContext,
	}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	return server, nil
}

// tendLoop looks after the connections to servers.
func (f *Front) tendLoop(ctx context.Context) {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.tend:
		}
		f.gateway.Tend()
	}
}
