package node_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

// Sizes of the Blue Mahoe deployment.
const (
	fleetNodes   = 24
	fleetServers = 70
	// fleetGroups is the number of groups, with two servers each.
	fleetGroups = fleetServers / 2
	// fleetSettleTime is long enough for all nodes to know each other and to
	// have polled every server.
	fleetSettleTime = 10 * time.Second
	// drainGrace is the time after which a draining server must get no new
	// requests.
	drainGrace = 3 * time.Second
)

// fleet is a cluster of the size of the Blue Mahoe deployment, whose servers
// count the polls that they receive.
type fleet struct {
	*cluster
	polls *pollCounter
}

// pollCounter counts health and load polls by the IP address of the polling
// node.
type pollCounter struct {
	mutex  sync.Mutex
	byNode map[string]int
	// alwaysReadyFor is the IP address of a node to which every server reports
	// that it is ready, whatever its state.
	alwaysReadyFor string
	// byServer counts the health polls of each server by the IP address of the
	// polling node.
	byServer map[string]map[string]int
}

func (c *pollCounter) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byNode = make(map[string]int)
	c.byServer = make(map[string]map[string]int)
}

// busiest returns the node with the most polls and their number.
func (c *pollCounter) busiest() (string, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	name, most := "", 0
	for ip, count := range c.byNode {
		if count > most {
			name, most = ip, count
		}
	}
	return name, most
}

// total returns the number of polls by all nodes.
func (c *pollCounter) total() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, count := range c.byNode {
		total += count
	}
	return total
}

// frequentPollers returns the IP addresses that polled a server's health
// minPolls times or more.
func (c *pollCounter) frequentPollers(server string, minPolls int) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ips []string
	for ip, count := range c.byServer[server] {
		if count >= minPolls {
			ips = append(ips, ip)
		}
	}
	return ips
}

func (c *pollCounter) countPolls(server string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == backend.HealthPath || request.URL.Path == backend.LoadPath {
			ip, _, _ := net.SplitHostPort(request.RemoteAddr)
			c.mutex.Lock()
			c.byNode[ip]++
			if request.URL.Path == backend.HealthPath {
				if c.byServer[server] == nil {
					c.byServer[server] = make(map[string]int)
				}
				c.byServer[server][ip]++
			}
			forceReady := ip == c.alwaysReadyFor && request.URL.Path == backend.HealthPath
			c.mutex.Unlock()
			if forceReady {
				_ = json.NewEncoder(writer).Encode(backend.Health{State: backend.HealthReady, Incarnation: "first", Snapshots: []uint64{1}})
				return
			}
		}
		next.ServeHTTP(writer, request)
	})
}

// withFleet runs a test against a fleet that has settled.
func withFleet(t *testing.T, run func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			cluster: &cluster{testEnv: &testEnv{t: t, network: network.New(network.Options{Seed: 1}), log: &syncBuffer{}}, nodeCount: fleetNodes},
			polls:   &pollCounter{},
		}
		f.polls.reset()
		f.memory = store.NewMemory(store.MemoryOptions{})
		for index := range fleetServers {
			f.startFleetServer(index, "first")
		}
		f.putConfiguration(1, fleetConfiguration())
		f.startNodes()
		f.client = f.newClient()
		time.Sleep(fleetSettleTime)
		f.polls.reset()
		run(t, f)
		f.shutDownCluster()
	})
}

func (f *fleet) startFleetServer(index int, incarnation string) {
	server, err := emulator.NewServer(emulator.ServerOptions{
		ID: serverID(index), Snapshots: []uint64{1}, Slots: 8, Seed: uint64(index + 1), Incarnation: incarnation,
		ServiceTime: emulator.Distribution{Kind: emulator.Fixed, Mean: serviceTime},
	})
	f.check(err)
	process, err := f.network.Start(strings.Split(serverAddress(index), ":")[0])
	f.check(err)
	listener, err := process.Listen(serverAddress(index))
	f.check(err)
	httpServer := &http.Server{Handler: f.polls.countPolls(serverID(index), server)}
	go func() { _ = httpServer.Serve(listener) }()
	if index < len(f.servers) {
		f.httpServers[index], f.servers[index] = httpServer, server
		return
	}
	f.httpServers = append(f.httpServers, httpServer)
	f.servers = append(f.servers, server)
}

func fleetConfiguration() policy.Config {
	configured := policy.Service{Name: service, KeySpace: coverage.Range{Start: 0, End: fleetGroups * keysPerGroup}}
	for index := range fleetGroups {
		group := policy.Group{
			Name:  fmt.Sprintf("group-%d", index),
			Range: coverage.Range{Start: uint64(index * keysPerGroup), End: uint64((index + 1) * keysPerGroup)},
		}
		for _, number := range []int{2 * index, 2*index + 1} {
			group.Servers = append(group.Servers, policy.Server{
				ID: serverID(number), Address: serverAddress(number), Zone: zoneOf(number), Slots: 8, Connections: 110,
			})
		}
		configured.Groups = append(configured.Groups, group)
	}
	return policy.Config{
		Classes:  []policy.Class{{Name: "normal", Order: 1, LongestWait: 1000, Deadline: 20_000, MinimumCoverage: 1}},
		Services: []policy.Service{configured},
	}
}

// drainInHealthOnly makes a server report that it is draining at its health
// endpoint only.
func (f *fleet) drainInHealthOnly(index int) {
	faults := f.servers[index].Faults()
	faults.HealthState = backend.HealthDraining
	f.servers[index].SetFaults(faults)
}

// expectNoNewRequests sends queries to every given node and checks that a
// server receives none of their sub-requests.
func (f *fleet) expectNoNewRequests(index int, nodes []*clusterNode) {
	f.t.Helper()
	before := len(f.servers[index].Executions())
	for round := range 2 {
		var queries sync.WaitGroup
		for _, n := range nodes {
			queries.Go(func() {
				got := f.queryNode(n, fmt.Sprintf("%s-%d-%d", n.id, index, round), true)
				if got.status != http.StatusOK || got.answer.Coverage != 1 {
					f.t.Errorf("%s: status %d, coverage %g, %v", n.id, got.status, got.answer.Coverage, got.err)
				}
			})
		}
		queries.Wait()
	}
	if after := len(f.servers[index].Executions()); after > before {
		f.t.Errorf("%d sub-requests reached the draining server", after-before)
	}
}

func TestHealthPollsStayWithinBudget(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		const span = 30 * time.Second
		budget := settings.Default().Backend.HealthReadings
		time.Sleep(span)
		ip, most := f.polls.busiest()
		t.Logf("%.1f polls per second per node on average, %.1f by the busiest node",
			float64(f.polls.total())/span.Seconds()/fleetNodes, float64(most)/span.Seconds())
		if rate := float64(most) / span.Seconds(); rate > budget {
			t.Errorf("%s makes %.1f polls per second, budget is %g", ip, rate, budget)
		}
	})
}

func TestDrainReportedOnlyByHealthEndpoint(t *testing.T) {
	const leaving = 7
	// Each fault affects nodes that poll the server; it returns the nodes that
	// cannot answer.
	tests := map[string]func(f *fleet, pollers []*clusterNode) []*clusterNode{
		"all nodes are well": func(*fleet, []*clusterNode) []*clusterNode { return nil },
		"a reader has vanished": func(f *fleet, pollers []*clusterNode) []*clusterNode {
			f.killHost(pollers[0])
			return pollers[:1]
		},
		"two readers have vanished": func(f *fleet, pollers []*clusterNode) []*clusterNode {
			f.killHost(pollers[0])
			f.killHost(pollers[1])
			return pollers[:2]
		},
		"a reader is frozen": func(f *fleet, pollers []*clusterNode) []*clusterNode {
			f.network.Freeze(pollers[0].ip)
			return pollers[:1]
		},
		"a reader is cut off from the server": func(f *fleet, pollers []*clusterNode) []*clusterNode {
			f.network.Cut(strings.Split(serverAddress(leaving), ":")[0], pollers[0].ip)
			return nil
		},
		"a reader hears that the server is well": func(f *fleet, pollers []*clusterNode) []*clusterNode {
			f.polls.reportReadyTo(pollers[0].ip)
			return nil
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				pollers := f.pollersOf(leaving)
				unavailable := fault(f, pollers)
				f.drainInHealthOnly(leaving)
				time.Sleep(drainGrace)
				f.expectNoNewRequests(leaving, f.without(unavailable))
				for _, n := range unavailable {
					f.network.Thaw(n.ip)
				}
			})
		})
	}
}

// pollersOf returns the nodes that poll a server every interval, observed over
// fleetSettleTime.
func (f *fleet) pollersOf(index int) []*clusterNode {
	f.polls.reset()
	time.Sleep(fleetSettleTime)
	ips := f.polls.frequentPollers(serverID(index), int(fleetSettleTime/(2500*time.Millisecond)))
	var pollers []*clusterNode
	for _, n := range f.nodes {
		if slices.Contains(ips, n.ip) {
			pollers = append(pollers, n)
		}
	}
	if len(pollers) < membership.ReadersPerServer {
		f.t.Fatalf("only %d nodes poll the server every interval", len(pollers))
	}
	return pollers
}

func (f *fleet) without(unavailable []*clusterNode) []*clusterNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *clusterNode) bool { return slices.Contains(unavailable, n) })
}

// reportReadyTo makes every server report to one node that it is ready.
func (c *pollCounter) reportReadyTo(ip string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.alwaysReadyFor = ip
}

func TestRestartedServerReplacesDrainingServer(t *testing.T) {
	// The two servers of one group.
	const first, second = 6, 7
	withFleet(t, func(t *testing.T, f *fleet) {
		f.drainInHealthOnly(second)
		time.Sleep(drainGrace)
		f.expectNoNewRequests(second, f.nodes)
		f.restartServer(second)
		f.drainInHealthOnly(first)
		time.Sleep(drainGrace)
		f.expectNoNewRequests(first, f.nodes)
	})
}

// restartServer replaces a server by a new incarnation.
func (f *fleet) restartServer(index int) {
	_ = f.httpServers[index].Close()
	_ = f.servers[index].Close()
	f.network.Kill(strings.Split(serverAddress(index), ":")[0], network.KillReset)
	f.startFleetServer(index, "second")
}

func TestRestartedNodeAnswersSoonAndPollsEachServerOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		restarted := f.nodes[5]
		f.stopNode(restarted)
		f.network.Kill(restarted.ip, network.KillReset)
		f.polls.reset()
		f.startClusterNode(5, restarted)
		const span = 3 * time.Second
		time.Sleep(span)
		got := f.queryNode(restarted, "fresh", true)
		if got.status != http.StatusOK || got.answer.Coverage != 1 {
			t.Errorf("status %d, coverage %g, %v", got.status, got.answer.Coverage, got.problem)
		}
		// One health and one load poll per server, plus the polls that the
		// budget allows.
		maxPolls := 2*fleetServers + int(span.Seconds()*settings.Default().Backend.HealthReadings)
		if polls := f.polls.pollsBy(restarted.ip); polls < fleetServers || polls > maxPolls {
			t.Errorf("restarted node made %d polls, want %d to %d", polls, fleetServers, maxPolls)
		}
	})
}

// pollsBy returns the number of polls by a node.
func (c *pollCounter) pollsBy(ip string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.byNode[ip]
}

// killHost makes a node's host disappear without resetting its connections.
func (f *fleet) killHost(n *clusterNode) {
	f.network.Kill(n.ip, network.KillVanish)
	n.node.Abort()
}
