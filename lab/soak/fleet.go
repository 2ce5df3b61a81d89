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
	// before are the resources that processes held before the first fault.
	before resources

	mutex sync.Mutex
	// mutex guards the fields below.
	nodes       []*node
	servers     map[string]*server
	violations  []Violation
	evacuations []evacuation
	orders      []*order
	closing     []func()
	version     int // of the configuration
	// set is that of the shards that searches go to, of sets; replaced nodes and returned
	// servers are counted.
	set, sets, replaced, returned int
	longestPause                  time.Duration
	// badness is how versions are bad, also on servers that come in the place of others.
	badness map[string]standin.Defect
	// deadly are the targets of requests under which servers end.
	deadly []string
	// deadlyEnds are when servers ended under such requests, by their target.
	deadlyEnds map[string][]time.Duration
	// watch starts to probe a node that has come later.
	watch func(n *node)
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
	ended     bool
}

// addressed is a listener that is reached at another address.
type addressed struct {
	net.Listener
	at net.Addr
}

// Addr is where others reach it.
func (a addressed) Addr() net.Addr { return a.at }

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
func (f *fleet) onClose(end func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closing = append(f.closing, end)
}

// startServer starts a server of a service behind a link; over is the link whose address it
// takes over, or nil for a new one.
func (f *fleet) startServer(service string, number, set, shard int, version string, over *link) (*server, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return nil, err
	}
	way := over
	if way == nil {
		way, err = newLink(loopback, listener.Addr().String())
	} else {
		way.retarget(listener.Addr().String())
	}
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	zone := f.layout.Zones[number%replicas]
	s := &server{link: way, set: set, shard: shard, number: number}
	s.Server = standin.StartServerVersion(f.store, standin.ServerName(service, number), service, zone, version,
		addressed{listener, way.listener.Addr()})
	f.mutex.Lock()
	f.servers[s.ID] = s
	deadly, badness := slices.Clone(f.deadly), f.badness[version]
	f.mutex.Unlock()
	s.Set(func() { s.Defect = badness })
	f.arm(s, deadly)
	return s, nil
}

// startShards starts the servers of a set of shards.
func (f *fleet) startShards(set int) error {
	for shard := range shardCount {
		for replica := range replicas {
			if _, err := f.startServer(shardName(set, shard), replica, set, shard, usualVersion, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// usualVersion is that of servers' software unless a roll-out brings another.
const usualVersion = "v1"

// Numbers from which servers of a service that come later are named.
const (
	targetNumber = 10
	reusedNumber = 50
	returnNumber = 100
)

// start starts everything but the load.
func (f *fleet) start() error {
	f.version, f.set = 0, 1
	f.servers = make(map[string]*server)
	f.badness = make(map[string]standin.Defect)
	if err := f.startShards(f.set); err != nil {
		return err
	}
	for number := range ledgerServers {
		if _, err := f.startServer(ledger, number, 0, 0, usualVersion, nil); err != nil {
			return err
		}
	}
	f.configure()
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
		n.gone = true
		n.mutex.Unlock()
		n.kill()
	}
	for _, s := range f.allServers() {
		s.Stop()
		s.link.close()
	}
	f.mutex.Lock()
	closing := f.closing
	f.mutex.Unlock()
	for _, end := range closing {
		end()
	}
	f.store.Close()
}

// violate notes a breach that was seen while the soak runs.
func (f *fleet) violate(invariant history.Invariant, subject, format string, arguments ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, Violation{Invariant: invariant, Subject: subject, Evidence: fmt.Sprintf(format, arguments...)})
}

// addNode adds a machine, and watches it if all are.
func (f *fleet) addNode(n *node) {
	f.mutex.Lock()
	f.nodes = append(f.nodes, n)
	watch := f.watch
	f.mutex.Unlock()
	if watch != nil {
		watch(n)
	}
}

// watchNodes has all nodes watched, and those that come later.
func (f *fleet) watchNodes(watch func(n *node)) {
	f.mutex.Lock()
	f.watch = watch
	f.mutex.Unlock()
	for _, n := range f.allNodes() {
		watch(n)
	}
}

func (f *fleet) allNodes() []*node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.nodes)
}

// stopAll stops all nodes as planned.
func (f *fleet) stopAll() {
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

func (f *fleet) serverNamed(id string) *server {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.servers[id]
}

func (f *fleet) nodeNamed(name string) *node {
	for _, n := range f.allNodes() {
		if n.name == name {
			return n
		}
	}
	return nil
}

// markersKept is the number of versions whose marker routes stand in a configuration.
const markersKept = 24

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
	routeTimeout  = 1500 * time.Millisecond
	routeTarget   = 100 * time.Millisecond
	topRecords    = 5
	leastCoverage = 0.5
	// connectionsEach is what a server takes from all nodes.
	connectionsEach = 40
)

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.mutex.Lock()
	f.version++
	version, set := f.version, f.set
	f.mutex.Unlock()
	route := func(name, path, kind string, priority int) standin.Route {
		return standin.Route{
			Name: name, Host: host, PathPrefix: path, Type: kind, Priority: priority, MaxAttempts: 2,
			TimeoutMS: routeTimeout.Milliseconds(), TargetLatencyMS: routeTarget.Milliseconds(),
		}
	}
	search := route("search", searchPath, standin.Repeatable, 1)
	search.Gather, search.TopK, search.MinimumCoverage = shardsOf(set), topRecords, leastCoverage
	page, enter := route("page", pagePath, standin.Repeatable, 2), route("enter", enterPath, standin.NotRepeatable, 2)
	page.Service, enter.Service = ledger, ledger
	config := standin.Config{Version: version, Routes: []standin.Route{search, page, enter}}
	for marked := max(version-markersKept+1, 1); marked <= version; marked++ {
		marker := route(fmt.Sprintf("marker-%d", marked), markerPath(marked), standin.Repeatable, 3)
		marker.Service = ledger
		config.Routes = append(config.Routes, marker)
	}
	for _, name := range append(shardsOf(set), ledger) {
		config.Services = append(config.Services, standin.ServiceConfig{Name: name, HealthPath: standin.HealthPath, MaxConnections: connectionsEach})
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

// contactTime is how long after a disturbance a node counts as disturbed.
const contactTime = 4 * time.Second

// disturb notes that a node could not take part from one time to another, and for contactTime
// after that. A frozen node doesn't answer callers either; a parted one must.
func (f *fleet) disturb(kind history.DisturbanceKind, name string, from, to time.Duration) {
	f.recorder.Update(func(h *history.History) {
		if kind == history.Frozen {
			h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: kind, Host: name, From: from, To: to})
		}
		h.Disturbances = append(h.Disturbances, history.Disturbance{Kind: history.Isolated, Host: name, From: from, To: to + contactTime})
	})
}

// disturbAll notes the same for all nodes.
func (f *fleet) disturbAll(kind history.DisturbanceKind, from, to time.Duration) {
	for _, n := range f.allNodes() {
		f.disturb(kind, n.name, from, to)
	}
}
