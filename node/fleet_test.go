package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/network"
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
			c.mutex.Unlock()
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
			f.startFleetServer(index)
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

func (f *fleet) startFleetServer(index int) {
	server, err := emulator.NewServer(emulator.ServerOptions{
		ID: serverID(index), Snapshots: []uint64{1}, Slots: 8, Seed: uint64(index + 1), Incarnation: "first",
		ServiceTime: emulator.Distribution{Kind: emulator.Fixed, Mean: serviceTime},
	})
	f.check(err)
	process, err := f.network.Start(strings.Split(serverAddress(index), ":")[0])
	f.check(err)
	listener, err := process.Listen(serverAddress(index))
	f.check(err)
	web := &http.Server{Handler: f.readings.count(serverID(index), server)}
	go func() { _ = web.Serve(listener) }()
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
				got := f.ask(one, fmt.Sprintf("%s-%d", one.id, round), true)
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
	tests := map[string]func(f *fleet, reader *crowdNode){
		"all nodes are well":    func(*fleet, *crowdNode) {},
		"a reader has vanished": func(f *fleet, reader *crowdNode) { f.vanish(reader) },
		"a reader is frozen":    func(f *fleet, reader *crowdNode) { f.network.Freeze(reader.ip) },
		"a reader is cut off from the server": func(f *fleet, reader *crowdNode) {
			server := strings.Split(serverAddress(leaving), ":")[0]
			f.network.Cut(server, reader.ip)
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			inFleet(t, func(t *testing.T, f *fleet) {
				time.Sleep(fleetSettle)
				readers := f.readings.mostFrequent(serverID(leaving), int(fleetSettle/(2*time.Second)))
				if len(readers) < 3 {
					t.Fatalf("%d nodes read the server every interval", len(readers))
				}
				var faulty *crowdNode
				var well []*crowdNode
				for _, one := range f.nodes {
					if one.ip == readers[0] {
						faulty = one
					} else {
						well = append(well, one)
					}
				}
				fault(f, faulty)
				f.drainQuietly(leaving)
				time.Sleep(leavingGrace)
				f.wantNoNewWork(leaving, well)
				f.network.Thaw(faulty.ip)
			})
		})
	}
}

// vanish ends a node's machine.
func (f *fleet) vanish(one *crowdNode) {
	f.network.Kill(one.ip, network.KillVanish)
	one.node.Abort()
}
