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

// loopback is where the stand-ins and the links listen.
const loopback = "127.0.0.1"

// fleet is a running soak: the stand-ins, the nodes, and the record of what happened.
type fleet struct {
	options   Options
	layout    Layout
	directory string
	store     *standin.Store
	recorder  *history.Recorder
	requests  atomic.Int64
	// initialResources are the resources that processes held before the first fault.
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
	// set is that of the shards that searches go to, of sets; replaced nodes and returned
	// servers are counted.
	set, setCount, replacedNodes, restartedServers int
	longestPause                                   time.Duration
	// defects is how versions are bad, also on servers that come in the place of others.
	defects map[string]standin.Defect
	// crashTargets are the targets of requests under which servers end.
	crashTargets []string
	// crashTimes are when servers ended under such requests, by their target.
	crashTimes map[string][]time.Duration
	// onNodeAdded starts to probe a node that has come later.
	onNodeAdded func(n *node)
}

// evacuation is a zone that is to be empty from one time to another; zero is still.
type evacuation struct {
	zone        string
	from, until time.Duration
}

// server is a stand-in server behind a link of its own.
type server struct {
	*standin.Server
	link *link
	// set and shard place it among the shards; set is zero for the ledger's.
	set, shard int
	// number is that by which its service names it.
	number int
	// drainedAt is when it began to drain; zero is never.
	drainedAt time.Duration
	stopped   bool
}

// proxiedListener is a listener that is reached at another address.
type proxiedListener struct {
	net.Listener
	address net.Addr
}

// Addr is where others reach it.
func (a proxiedListener) Addr() net.Addr { return a.address }

// serve answers at a free port until the soak ends.
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

// onClose has something done at the soak's end.
func (f *fleet) onClose(closer func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closers = append(f.closers, closer)
}

// startServer starts a server of a service behind a link; over is the link whose address it
// takes over, or nil for a new one.
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

// baseVersion is that of servers' software unless a roll-out brings another.
const baseVersion = "v1"

// Numbers from which servers of a service that come later are named.
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

// close ends all that was started, however far that came.
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

// addViolation notes a breach that was seen while the soak runs.
func (f *fleet) addViolation(invariant history.Invariant, subject, format string, arguments ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, Violation{Invariant: invariant, Subject: subject, Evidence: fmt.Sprintf(format, arguments...)})
}

// addNode adds a machine, and watches it if all are.
func (f *fleet) addNode(n *node) {
	f.mutex.Lock()
	f.nodes = append(f.nodes, n)
	visit := f.onNodeAdded
	f.mutex.Unlock()
	if visit != nil {
		visit(n)
	}
}

// forEachNode has all nodes watched, and those that come later.
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

// stopAllNodes stops all nodes as planned.
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

// maxMarkers is the number of versions whose marker routes stand in a configuration.
const maxMarkers = 24

// host is the name that callers ask for.
const host = "search.example"

// Paths of the routes.
const (
	searchPath = "/search/"
	pagePath   = "/page/"
	enterPath  = "/enter/"
)

// paths are those of the routes that all configurations hold.
var paths = []string{searchPath, pagePath, enterPath}

// markerPrefix begins the paths of routes that one version of the configuration adds.
const markerPrefix = "/marker-"

func markerPath(version int) string { return fmt.Sprintf("%s%d/", markerPrefix, version) }

const (
	routeTimeout       = 1500 * time.Millisecond
	routeTargetLatency = 100 * time.Millisecond
	topRecords         = 5
	minimumCoverage    = 0.5
	// connectionsPerServer is what a server takes from all nodes.
	connectionsPerServer = 40
)

// writeConfiguration writes the next version of the configuration.
func (f *fleet) writeConfiguration() {
	f.mutex.Lock()
	f.version++
	version, set := f.version, f.set
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
	page.Service, enter.Service = ledgerService, ledgerService
	config := standin.Config{Version: version, Routes: []standin.Route{search, page, enter}}
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

// newestVersion is that of the configuration written last.
func (f *fleet) newestVersion() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.version
}

// reconnectTime is how long after a disturbance a node counts as disturbed.
const reconnectTime = 4 * time.Second

// recordDisturbance notes that a node could not take part from one time to another, and for reconnectTime
// after that. A frozen node doesn't answer callers either; a parted one must.
func (f *fleet) recordDisturbance(kind history.DisturbanceKind, name string, from, to time.Duration) {
	f.recorder.Update(func(h *history.History) {
		if kind == history.Frozen {
			h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: kind, Host: name, From: from, To: to})
		}
		h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: history.Isolated, Host: name, From: from, To: to + reconnectTime})
	})
}

// recordDisturbanceOfAll notes the same for all nodes.
func (f *fleet) recordDisturbanceOfAll(kind history.DisturbanceKind, from, to time.Duration) {
	for _, n := range f.allNodes() {
		f.recordDisturbance(kind, n.name, from, to)
	}
}
