package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/spread"
	"github.com/banksail/banksail/telemetry"
)

// maxConnectionsPerPeer bounds the connections to one other node.
const maxConnectionsPerPeer = 4

// peerIdleTimeout is the time after which an idle connection to another node is
// closed.
const peerIdleTimeout = 30 * time.Second

// Node is one banksail node. It is created by New and can be run once.
type Node struct {
	options             Options
	startedAt           time.Time
	log                 zerolog.Logger
	metrics             *telemetry.Metrics
	explanations        *telemetry.Explanations
	client              *backend.Client
	sender              sender
	agent               *peer.Agent
	peerClient          *http.Client
	replicator          *spread.Replicator
	poller              *poller
	requestDeduplicator *requestDeduplicator

	// background is cancelled when the node aborts; it bounds all sub-requests.
	background context.Context
	abort      context.CancelFunc
	// running counts the sub-requests whose result was not yet passed to their
	// shard.
	running sync.WaitGroup
	// workers run the sub-requests.
	workers     *workers
	heldQueries atomic.Int64
	// awaitingReplyReport holds the IDs of servers whose next reply must be
	// reported to membership.
	awaitingReplyReport sync.Map
	stopping            atomic.Bool
	// activeConfig is the configuration in force, or nil before the first one.
	activeConfig atomic.Pointer[activeConfig]

	// routes maps a server's address to its route; nil until the connection
	// shares are known.
	routes atomic.Pointer[map[string]route]
	// forwarder sends sub-requests through other nodes; forwardServer handles
	// those that other nodes send through this one.
	forwarder     *peer.Forwarder
	forwardServer *forwardServer

	// listening is closed once addresses is set.
	listening chan struct{}
	addresses Addresses

	configurationMutex sync.Mutex
	// configurationMutex serialises changes of activeConfig and guards the
	// fields below; it is acquired before any shard's mutex. Invariant:
	// activeConfig and retiredShards together hold every shard that may have
	// work.
	retiredShards   []*shard
	lastShardNumber uint64
	serverStates    map[string]dispatch.ServerState
	liveNodes       []string
	// assignedNodes and assignedRoutes are the live nodes and routes from which
	// the current health poll assignments were computed.
	assignedNodes  []string
	assignedRoutes *map[string]route
}

// New creates a node. It opens no sockets; Run does.
func New(options Options) (*Node, error) {
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if options.Incarnation == 0 {
		options.Incarnation = uint64(time.Now().UnixMilli())
	}
	background, abort := context.WithCancel(context.Background())
	n := &Node{
		options:             options,
		startedAt:           time.Now(),
		log:                 options.Logger,
		metrics:             telemetry.NewMetrics(),
		explanations:        telemetry.NewExplanations(explanationsOptions(options.Settings.Explanation)),
		requestDeduplicator: newRequestDeduplicator(options.Settings.AtMostOnce),
		background:          background,
		abort:               abort,
		listening:           make(chan struct{}),
		workers:             newWorkers(),
		serverStates:        make(map[string]dispatch.ServerState),
	}
	n.client = backend.NewClient(backend.ClientOptions{
		Dial:                      options.Network.DialContext,
		ConnectionLimit:           n.connectionLimit,
		SpareConnectionsPerServer: spareConnections(options.Settings.Backend.SpareConnections),
	})
	recentHealth := n.setUpForwarding()
	routedClient := n.newRouter(recentHealth)
	n.sender = &backendSender{client: routedClient, onReply: n.handleReply, onUnreachable: n.handleUnreachable}
	n.poller = newPoller(pollerOptions{
		client:        routedClient,
		interval:      options.Settings.Backend.HealthInterval,
		timeout:       options.Settings.Backend.HealthTimeout,
		concurrency:   options.Settings.Backend.HealthConcurrency,
		budgetRate:    options.Settings.Backend.HealthReadings,
		seed:          options.Seed,
		onResult:      n.handleHealth,
		onUnreachable: n.handleUnreachable,
	})
	n.connectPeers()
	n.registerControlMetrics()
	if options.ProcessMetrics {
		n.metrics.RegisterProcessMetrics()
	}
	return n, nil
}

// connectPeers creates the configuration replicator and the agent, which refer
// to each other.
func (n *Node) connectPeers() {
	identity := n.options.Settings.Node
	n.replicator = spread.NewReplicator(spread.ReplicatorOptions{
		Core:   spread.CoreOptions{Self: identity.ID, Zone: identity.Zone, Seed: n.options.Seed},
		Store:  n.options.Store,
		Logger: n.log,
	})
	n.peerClient = &http.Client{Transport: &http.Transport{
		DialContext:         n.options.Network.DialContext,
		MaxConnsPerHost:     maxConnectionsPerPeer,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConns:        0,

		MaxResponseHeaderBytes: httpcall.MaximumHeaderBytes,
	}}
	n.agent = peer.NewAgent(peer.AgentOptions{
		Self: membership.Member{
			ID:          identity.ID,
			Address:     n.advertisedAddress(),
			Zone:        identity.Zone,
			Incarnation: n.options.Incarnation,
		},
		HTTPClient:     n.peerClient,
		MachineList:    n.options.MachineList,
		Configurations: n.replicator,
		ForwardTarget:  n.forwardServer,
		// A forward carries the body of a caller's request.
		ForwardBodyBytes: n.options.Settings.Caller.BodyBytes,
		Logger:           n.log,
		Seed:             n.options.Seed,
	})
	n.replicator.SetPeers(spreadPeers{agent: n.agent})
}

func explanationsOptions(configured settings.Explanation) telemetry.ExplanationsOptions {
	return telemetry.ExplanationsOptions{Requests: configured.Requests, Bytes: int(configured.Bytes)}
}

// spareConnections converts the setting to the client's option, in which zero
// selects the default and a negative value means none.
func spareConnections(configured int) int {
	if configured == 0 {
		return -1
	}
	return configured
}

func (n *Node) advertisedAddress() string {
	if advertise := n.options.Settings.Node.Advertise; advertise != "" {
		return advertise
	}
	return n.options.Settings.Listen.Peer
}

// now returns the time since the node was created.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// newDispatcher creates the decision core of one service.
func (n *Node) newDispatcher(seed uint64) Dispatcher {
	return dispatch.New(dispatch.Options{Seed: seed, Zone: n.options.Settings.Node.Zone})
}

func (n *Node) callerHandler() http.Handler {
	return caller.NewHandler(caller.Options{Node: n, BodyBytes: n.options.Settings.Caller.BodyBytes})
}

// operatorHandler serves the operator API, metrics and the health endpoints.
func (n *Node) operatorHandler() http.Handler {
	service := operator.NewService(operator.Options{
		Self:           n.options.Settings.Node.ID,
		Configurations: n.replicator,
		Nodes:          operatorNodes{agent: n.agent},
		Explanations:   operatorExplanations{node: n},
		Logger:         n.log,
	})
	mux := http.NewServeMux()
	container := restful.NewContainer()
	container.Add(service.WebService())
	mux.Handle(operator.RootPath+"/", container)
	n.addHealthEndpoints(mux)
	return mux
}

func (n *Node) peerHandler() http.Handler { return n.agent.Handler() }

// Listening returns a channel that is closed once all listeners are open.
func (n *Node) Listening() <-chan struct{} { return n.listening }

// Addresses returns the addresses that the node listens on. They are known once
// the Listening channel is closed.
func (n *Node) Addresses() Addresses { return n.addresses }
