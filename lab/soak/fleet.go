package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/platform/standin"
)

// loopback is the address on which the stand-ins and the links listen.
const loopback = "127.0.0.1"

// fleet is a running soak: the stand-ins, the nodes, and the record of what happened.
type fleet struct {
	options   Options
	layout    Layout
	directory string
	store     *standin.Store
	recorder  *history.Recorder
	requests  atomic.Int64
	// initialResources are the greatest resources of a process before the first fault.
	initialResources resources

	mutex sync.Mutex
	// mutex guards the fields below.
	nodes       []*node
	servers     map[string]*server
	violations  []Violation
	evacuations []evacuation
	rollouts    []*rollout
	closers     []func()
	version     int // of the configuration
	// set is the number of the shard set that searches are sent to, setCount the number of sets,
	// and replacedNodes and restartedServers count replacements and restarts.
	set, setCount, replacedNodes, restartedServers int
	longestPause                                   time.Duration
	// memorySamples counts the comparisons of a process's memory with its limit.
	memorySamples int
	// defects holds the defects of versions, which also apply to replacement servers.
	defects map[string]standin.Defect
	// optionalRouteRemoved is set while configurations lack the optional route.
	optionalRouteRemoved bool
	// crashTargets are the prefixes of request targets under which servers crash.
	crashTargets []string
	// crashTimes holds the times at which servers crashed under such requests, by request target.
	crashTimes map[string][]time.Duration
	// onNodeAdded is called for each node that is added later; nil means not at all.
	onNodeAdded func(n *node)
}

// evacuation is the evacuation of a zone; until is zero while it lasts.
type evacuation struct {
	zone        string
	from, until time.Duration
}

// server is a stand-in server behind its own link.
type server struct {
	*standin.Server
	link *link
	// set and shard identify the shard; set is zero for ledger servers.
	set, shard int
	// number is the server's number within its service, part of its name.
	number int
	// drainedAt is when the server began to drain; zero means never.
	drainedAt time.Duration
	stopped   bool
}

// proxiedListener is a listener that others reach at a proxy's address.
type proxiedListener struct {
	net.Listener
	address net.Addr
}

// Addr returns the proxy's address.
func (a proxiedListener) Addr() net.Addr { return a.address }

// serve starts an HTTP server on a free port, which runs until the soak ends.
func (f *fleet) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", err
	}
	web := &http.Server{Handler: handler}
	go func() { _ = web.Serve(listener) }() // ends with the fleet
	f.onClose(func() { _ = web.Close() })
	return listener.Addr().String(), nil
}

// onClose registers a function to be called at the end of the soak.
func (f *fleet) onClose(closer func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closers = append(f.closers, closer)
}

// startServer starts a server of a service behind a link. It takes over the address of reusedLink,
// or gets a new link if that is nil.
func (f *fleet) startServer(service string, number, set, shard int, version string, reusedLink *link) (*server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return nil, err
	}
	serverLink := reusedLink
	if serverLink == nil {
		serverLink, err = newLink(loopback, listener.Addr().String())
	} else {
		serverLink.retarget(listener.Addr().String())
	}
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	zone := f.layout.Zones[number%replicasPerShard]
	s := &server{link: serverLink, set: set, shard: shard, number: number}
	s.Server = standin.StartServerVersion(f.store, standin.ServerName(service, number), service, zone, version,
		proxiedListener{listener, serverLink.listener.Addr()})
	f.mutex.Lock()
	f.servers[s.ID] = s
	crashTargets, defect := slices.Clone(f.crashTargets), f.defects[version]
	f.mutex.Unlock()
	s.Set(func() { s.Defect = defect })
	f.setCrashTargets(s, crashTargets)
	return s, nil
}

// startShards starts the servers of a set of shards.
func (f *fleet) startShards(set int) error {
	for shard := range shardCount {
		for replica := range replicasPerShard {
			if _, err := f.startServer(shardName(set, shard), replica, set, shard, baseVersion, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// baseVersion is the version of servers unless a roll-out changes it.
const baseVersion = "v1"

// First numbers of servers that are started after the initial ones.
const (
	firstTargetNumber      = 10
	reusedNumber           = 50
	firstReplacementNumber = 100
)

// start starts everything but the load.
func (f *fleet) start() error {
	f.version, f.set = 0, 1
	f.servers = make(map[string]*server)
	f.defects = make(map[string]standin.Defect)
	if err := f.startShards(f.set); err != nil {
		return err
	}
	for number := range ledgerServerCount {
		if _, err := f.startServer(ledgerService, number, 0, 0, baseVersion, nil); err != nil {
			return err
		}
	}
	f.writeConfiguration()
	for number := range f.layout.Nodes {
		n, err := f.newNode(number)
		if err != nil {
			return err
		}
		f.addNode(n)
	}
	for _, n := range f.allNodes() {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// close stops everything that was started, also after a failed start.
func (f *fleet) close() {
	for _, n := range f.allNodes() {
		n.mutex.Lock()
		n.removed = true
		n.mutex.Unlock()
		n.kill()
	}
	for _, s := range f.allServers() {
		s.Stop()
		s.link.close()
	}
	f.mutex.Lock()
	closers := f.closers
	f.mutex.Unlock()
	for _, closer := range closers {
		closer()
	}
	f.store.Close()
}

// addViolation records a violation that was detected while the soak runs.
func (f *fleet) addViolation(invariant history.Invariant, subject, format string, arguments ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, Violation{Invariant: invariant, Subject: subject, Evidence: fmt.Sprintf(format, arguments...)})
}

// addNode adds a node and calls onNodeAdded for it if it is set.
func (f *fleet) addNode(n *node) {
	f.mutex.Lock()
	f.nodes = append(f.nodes, n)
	visit := f.onNodeAdded
	f.mutex.Unlock()
	if visit != nil {
		visit(n)
	}
}

// forEachNode calls visit for each node, including those that are added later.
func (f *fleet) forEachNode(visit func(n *node)) {
	f.mutex.Lock()
	f.onNodeAdded = visit
	f.mutex.Unlock()
	for _, n := range f.allNodes() {
		visit(n)
	}
}

func (f *fleet) allNodes() []*node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.nodes)
}

// stopAllNodes performs a planned stop of all nodes at once.
func (f *fleet) stopAllNodes() {
	var stopping sync.WaitGroup
	for _, n := range f.allNodes() {
		stopping.Go(n.stop)
	}
	stopping.Wait()
}

func (f *fleet) allServers() []*server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	all := make([]*server, 0, len(f.servers))
	for _, s := range f.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (f *fleet) findServer(id string) *server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[id]
}

func (f *fleet) findNode(name string) *node {
	for _, n := range f.allNodes() {
		if n.name == name {
			return n
		}
	}
	return nil
}

// maxMarkers is the maximum number of marker routes in a configuration, for its newest versions.
const maxMarkers = 24

// host is the host name of callers' requests.
const host = "search.example"

// Path prefixes of the routes.
const (
	searchPath = "/search/"
	pagePath   = "/page/"
	enterPath  = "/enter/"
	// optionalPath is the path prefix of a route that some configurations lack.
	optionalPath = "/optional/"
	// longTimeoutPath is the path prefix of requests that may run once and wait for longTimeout.
	longTimeoutPath = "/long-timeout/"
)

// paths are the path prefixes of the routes that all configurations contain.
var paths = []string{searchPath, pagePath, enterPath}

// markerPrefix is the prefix of marker routes' paths. Each version of the configuration adds one
// marker route, which shows whether the version is in force.
const markerPrefix = "/marker-"

func markerPath(version int) string { return fmt.Sprintf("%s%d/", markerPrefix, version) }

const (
	routeTimeout       = 1500 * time.Millisecond
	longTimeout        = 6 * time.Second
	routeTargetLatency = 100 * time.Millisecond
	topRecords         = 5
	minimumCoverage    = 0.5
	// connectionsPerServer is the maximum number of connections of all nodes to a server.
	connectionsPerServer = 40
)

// writeConfiguration writes the next version of the configuration.
func (f *fleet) writeConfiguration() {
	f.mutex.Lock()
	f.version++
	version, set, optionalRouteRemoved := f.version, f.set, f.optionalRouteRemoved
	f.mutex.Unlock()
	route := func(name, path, kind string, priority int) standin.Route {
		return standin.Route{
			Name: name, Host: host, PathPrefix: path, Type: kind, Priority: priority, MaxAttempts: 2,
			TimeoutMS: routeTimeout.Milliseconds(), TargetLatencyMS: routeTargetLatency.Milliseconds(),
		}
	}
	search := route("search", searchPath, standin.Repeatable, 1)
	search.Gather, search.TopK, search.MinimumCoverage = shardNames(set), topRecords, minimumCoverage
	page, enter := route("page", pagePath, standin.Repeatable, 2), route("enter", enterPath, standin.NotRepeatable, 2)
	longRoute := route("long-timeout", longTimeoutPath, standin.NotRepeatable, 2)
	longRoute.TimeoutMS = longTimeout.Milliseconds()
	page.Service, enter.Service, longRoute.Service = ledgerService, ledgerService, ledgerService
	config := standin.Config{Version: version, Routes: []standin.Route{search, page, enter, longRoute}}
	if !optionalRouteRemoved {
		optional := route("optional", optionalPath, standin.Repeatable, 2)
		optional.Service = ledgerService
		config.Routes = append(config.Routes, optional)
	}
	for markedVersion := max(version-maxMarkers+1, 1); markedVersion <= version; markedVersion++ {
		marker := route(fmt.Sprintf("marker-%d", markedVersion), markerPath(markedVersion), standin.Repeatable, 3)
		marker.Service = ledgerService
		config.Routes = append(config.Routes, marker)
	}
	for _, name := range append(shardNames(set), ledgerService) {
		config.Services = append(config.Services, standin.ServiceConfig{Name: name, HealthPath: standin.HealthPath, MaxConnections: connectionsPerServer})
	}
	f.store.PutConfig(config)
	f.recorder.Update(func(h *history.History) {
		h.Accepted = append(h.Accepted, history.Accepted{Revision: uint64(version), At: f.recorder.Now()})
	})
}

// newestVersion returns the version of the configuration that was written last.
func (f *fleet) newestVersion() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// reconnectTime is the time after a disturbance for which a node still counts as disturbed.
const reconnectTime = 4 * time.Second

// recordDisturbance records that a node was isolated during the given period and for reconnectTime
// after it. A frozen node need not answer callers during the period either; an isolated one must.
func (f *fleet) recordDisturbance(kind history.DisturbanceKind, name string, from, to time.Duration) {
	f.recorder.Update(func(h *history.History) {
		if kind == history.Frozen {
			h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: kind, Host: name, From: from, To: to})
		}
		h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: history.Isolated, Host: name, From: from, To: to + reconnectTime})
	})
}

// recordDisturbanceOfAll records a disturbance of all nodes.
func (f *fleet) recordDisturbanceOfAll(kind history.DisturbanceKind, from, to time.Duration) {
	for _, n := range f.allNodes() {
		f.recordDisturbance(kind, n.name, from, to)
	}
}
