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

// The sizes of today's Blue Mahoe.
const (
	fleetNodes   = 24
	fleetServers = 70
	// fleetGroups have two servers each.
	fleetGroups = fleetServers / 2
	// fleetSettle is long enough for all to know each other and to have read
	// every server.
	fleetSettle = 10 * time.Second
	// leavingGrace is the bound on new work for a leaving server.
	leavingGrace = 3 * time.Second
)

// fleet is a crowd of today's size whose servers count their readings.
type fleet struct {
	*crowd
	readings *readingCounter
}

// readingCounter counts the readings of health and load by the reader's IP number.
type readingCounter struct {
	mutex  sync.Mutex
	byNode map[string]int
	// deceived reads that a server is ready whatever it says.
	deceived string
	// readers holds who reads each server's health, and how often.
	readers map[string]map[string]int
}

func (c *readingCounter) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.byNode = make(map[string]int)
	c.readers = make(map[string]map[string]int)
}

// busiest is the reader with the most readings, and their number.
func (c *readingCounter) busiest() (string, int) {
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

// total is the number of all readings.
func (c *readingCounter) total() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total := 0
	for _, count := range c.byNode {
		total += count
	}
	return total
}

// mostFrequent lists the IP numbers that read a server at least least times.
func (c *readingCounter) mostFrequent(server string, least int) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var ips []string
	for ip, count := range c.readers[server] {
		if count >= least {
			ips = append(ips, ip)
		}
	}
	return ips
}

func (c *readingCounter) count(server string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == backend.HealthPath || request.URL.Path == backend.LoadPath {
			ip, _, _ := net.SplitHostPort(request.RemoteAddr)
			c.mutex.Lock()
			c.byNode[ip]++
			if request.URL.Path == backend.HealthPath {
				if c.readers[server] == nil {
					c.readers[server] = make(map[string]int)
				}
				c.readers[server][ip]++
			}
			deceived := ip == c.deceived && request.URL.Path == backend.HealthPath
			c.mutex.Unlock()
			if deceived {
				_ = json.NewEncoder(writer).Encode(backend.Health{State: backend.HealthReady, Incarnation: "first", Snapshots: []uint64{1}})
				return
			}
		}
		next.ServeHTTP(writer, request)
	})
}

// inFleet runs a test against a fleet that is settled.
func inFleet(t *testing.T, run func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			crowd:    &crowd{world: &world{t: t, network: network.New(network.Options{Seed: 1}), log: &lockedBuffer{}}, size: fleetNodes},
			readings: &readingCounter{},
		}
		f.readings.reset()
		f.memory = store.NewMemory(store.MemoryOptions{})
		for index := range fleetServers {
			f.startFleetServer(index, "first")
		}
		f.putConfiguration(1, fleetConfiguration())
		f.startNodes()
		f.client = f.newClient()
		time.Sleep(fleetSettle)
		f.readings.reset()
		run(t, f)
		f.endCrowd()
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
	web := &http.Server{Handler: f.readings.count(serverID(index), server)}
	go func() { _ = web.Serve(listener) }()
	if index < len(f.servers) {
		f.webs[index], f.servers[index] = web, server
		return
	}
	f.webs = append(f.webs, web)
	f.servers = append(f.servers, server)
}

func fleetConfiguration() policy.Config {
	asked := policy.Service{Name: service, KeySpace: coverage.Range{Start: 0, End: fleetGroups * keysEach}}
	for index := range fleetGroups {
		group := policy.Group{
			Name:  fmt.Sprintf("group-%d", index),
			Range: coverage.Range{Start: uint64(index * keysEach), End: uint64((index + 1) * keysEach)},
		}
		for _, number := range []int{2 * index, 2*index + 1} {
			group.Servers = append(group.Servers, policy.Server{
				ID: serverID(number), Address: serverAddress(number), Zone: zoneOf(number), Slots: 8, Connections: 110,
			})
		}
		asked.Groups = append(asked.Groups, group)
	}
	return policy.Config{
		Classes:  []policy.Class{{Name: "normal", Order: 1, LongestWait: 1000, Deadline: 20_000, MinimumCoverage: 1}},
		Services: []policy.Service{asked},
	}
}

// drainQuietly makes only a server's health endpoint say that it leaves.
func (f *fleet) drainQuietly(index int) {
	faults := f.servers[index].Faults()
	faults.HealthState = backend.HealthDraining
	f.servers[index].SetFaults(faults)
}

// wantNoNewWork asks every node in the list and checks that a server got nothing.
func (f *fleet) wantNoNewWork(index int, nodes []*crowdNode) {
	f.t.Helper()
	before := len(f.servers[index].Executions())
	for round := range 2 {
		var asking sync.WaitGroup
		for _, one := range nodes {
			asking.Go(func() {
				got := f.ask(one, fmt.Sprintf("%s-%d-%d", one.id, index, round), true)
				if got.status != http.StatusOK || got.answer.Coverage != 1 {
					f.t.Errorf("%s: status %d, coverage %g, %v", one.id, got.status, got.answer.Coverage, got.err)
				}
			})
		}
		asking.Wait()
	}
	if after := len(f.servers[index].Executions()); after > before {
		f.t.Errorf("%d sub-requests reached the leaving server", after-before)
	}
}

func TestReadingsStayWithinTheBudget(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		const span = 30 * time.Second
		budget := settings.Default().Backend.HealthReadings
		time.Sleep(span)
		ip, most := f.readings.busiest()
		t.Logf("%.1f readings a second a node, %.1f at the busiest",
			float64(f.readings.total())/span.Seconds()/fleetNodes, float64(most)/span.Seconds())
		if rate := float64(most) / span.Seconds(); rate > budget {
			t.Errorf("%s makes %.1f readings a second, the budget is %g", ip, rate, budget)
		}
	})
}

func TestDrainThatOnlyTheHealthEndpointTells(t *testing.T) {
	const leaving = 7
	// Each fault hits readers of the server; it returns those that can't answer.
	tests := map[string]func(f *fleet, readers []*crowdNode) []*crowdNode{
		"all nodes are well": func(*fleet, []*crowdNode) []*crowdNode { return nil },
		"a reader has vanished": func(f *fleet, readers []*crowdNode) []*crowdNode {
			f.vanish(readers[0])
			return readers[:1]
		},
		"two readers have vanished": func(f *fleet, readers []*crowdNode) []*crowdNode {
			f.vanish(readers[0])
			f.vanish(readers[1])
			return readers[:2]
		},
		"a reader is frozen": func(f *fleet, readers []*crowdNode) []*crowdNode {
			f.network.Freeze(readers[0].ip)
			return readers[:1]
		},
		"a reader is cut off from the server": func(f *fleet, readers []*crowdNode) []*crowdNode {
			f.network.Cut(strings.Split(serverAddress(leaving), ":")[0], readers[0].ip)
			return nil
		},
		"a reader hears that the server is well": func(f *fleet, readers []*crowdNode) []*crowdNode {
			f.readings.deceive(readers[0].ip)
			return nil
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
				readers := f.readersOf(leaving)
				out := fault(f, readers)
				f.drainQuietly(leaving)
				time.Sleep(leavingGrace)
				f.wantNoNewWork(leaving, f.without(out))
				for _, one := range out {
					f.network.Thaw(one.ip)
				}
			})
		})
	}
}

// readersOf waits for and lists the nodes that read a server every interval.
func (f *fleet) readersOf(index int) []*crowdNode {
	f.readings.reset()
	time.Sleep(fleetSettle)
	ips := f.readings.mostFrequent(serverID(index), int(fleetSettle/(2500*time.Millisecond)))
	var readers []*crowdNode
	for _, one := range f.nodes {
		if slices.Contains(ips, one.ip) {
			readers = append(readers, one)
		}
	}
	if len(readers) < membership.ReadersPerServer {
		f.t.Fatalf("%d nodes read the server every interval", len(readers))
	}
	return readers
}

func (f *fleet) without(out []*crowdNode) []*crowdNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(one *crowdNode) bool { return slices.Contains(out, one) })
}

// deceive makes a node read that every server is ready.
func (c *readingCounter) deceive(ip string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deceived = ip
}

func TestServerThatComesBackTakesOverFromOneThatLeaves(t *testing.T) {
	// The two servers of one group.
	const first, second = 6, 7
	inFleet(t, func(t *testing.T, f *fleet) {
		f.drainQuietly(second)
		time.Sleep(leavingGrace)
		f.wantNoNewWork(second, f.nodes)
		f.restart(second)
		f.drainQuietly(first)
		time.Sleep(leavingGrace)
		f.wantNoNewWork(first, f.nodes)
	})
}

// restart replaces a server by a new incarnation.
func (f *fleet) restart(index int) {
	_ = f.webs[index].Close()
	_ = f.servers[index].Close()
	f.network.Kill(strings.Split(serverAddress(index), ":")[0], network.KillReset)
	f.startFleetServer(index, "second")
}

func TestFreshNodeAnswersSoonAndReadsEachServerOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		fresh := f.nodes[5]
		f.endNode(fresh)
		f.network.Kill(fresh.ip, network.KillReset)
		f.readings.reset()
		f.startCrowdNode(5, fresh)
		const span = 3 * time.Second
		time.Sleep(span)
		got := f.ask(fresh, "fresh", true)
		if got.status != http.StatusOK || got.answer.Coverage != 1 {
			t.Errorf("status %d, coverage %g, %v", got.status, got.answer.Coverage, got.problem)
		}
		// Each server is read once, its load with it, and what the budget allows.
		most := 2*fleetServers + int(span.Seconds()*settings.Default().Backend.HealthReadings)
		if readings := f.readings.of(fresh.ip); readings < fleetServers || readings > most {
			t.Errorf("the fresh node made %d readings, want %d to %d", readings, fleetServers, most)
		}
	})
}

// of is the number of a node's readings.
func (c *readingCounter) of(ip string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.byNode[ip]
}

// vanish ends a node's machine.
func (f *fleet) vanish(one *crowdNode) {
	f.network.Kill(one.ip, network.KillVanish)
	one.node.Abort()
}
