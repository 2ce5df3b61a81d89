package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/settings"
)

const (
	findingsPath    = "/twirp/banksail.peer.v1.Peer/PushServerFindings"
	findingSeed     = 11
	findingTrials   = 20
	loadInterval    = 30 * time.Second
	serversPerNode  = float64(plannedServers) / plannedNodes
	quietServer     = "search-server-00000"
	firstLife       = "incarnation-1"
	findingSlowness = 2 * time.Second
)

// healthSweeps measures the readings within the budget and what nodes push.
func healthSweeps() []Sweep {
	return []Sweep{{
		Name: "health-nodes", Role: "server health", Size: "nodes",
		Fixed: "5,500 / 1,400 servers a node, of 70 connections, in 8 zones",
		Sizes: []float64{24, 88, 175, 350, 700, 1400}, Today: 24, Planned: plannedNodes,
		Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureReaders(int(size)) },
	}}
}

// measureReaders works out who reads which server, and the nodes' readings.
func measureReaders(nodes int) ([]Sample, error) {
	members := make([]membership.Member, 0, nodes)
	for index := range nodes {
		members = append(members, memberOf(index))
	}
	servers := int(float64(nodes) * serversPerNode)
	places := make(map[string]map[string]int, nodes)
	live := func(string) bool { return true }
	for index := range servers {
		server := serverOf(index)
		place := membership.ServerPlace{ID: server.ID, Zone: server.Zone, Limit: server.Connections}
		for rank, reader := range membership.Readers(membership.Owners(place, members), live) {
			if places[reader] == nil {
				places[reader] = make(map[string]int)
			}
			places[reader][server.ID] = rank
		}
	}
	samples, err := readingSamples(members, places, servers)
	if err != nil {
		return nil, err
	}
	pushed, err := measureFindings(nodes)
	return append(samples, pushed...), err
}

func readingSamples(members []membership.Member, places map[string]map[string]int, servers int) ([]Sample, error) {
	defaults := settings.Default().Backend
	budget := membership.ReadingBudget{Rate: defaults.HealthReadings, Interval: defaults.HealthInterval, LoadInterval: loadInterval}
	total, most, mostDuties, allDuties := 0.0, 0.0, 0, 0
	var longest time.Duration
	for _, member := range members {
		own := len(budget.Duties(places[member.ID]))
		allDuties += own
		rate := budget.DutyRate(own)
		_, pause := budget.Others(own, servers-own)
		if budget.Covers(servers) {
			rate = budget.DutyRate(servers)
		} else {
			rate += float64(servers-own) / pause.Seconds()
		}
		total += rate
		most = max(most, rate)
		mostDuties = max(mostDuties, own)
		longest = max(longest, pause)
	}
	bytes, err := readingBytes()
	mean := total / float64(len(members))
	return []Sample{
		{"readings/s, mean", mean},
		{"readings/s, busiest node", most},
		{"nodes that read a server every interval, mean", float64(allDuties) / float64(servers)},
		{"servers read every interval, busiest node", float64(mostDuties)},
		{"seconds between two readings of another server, at most", longest.Seconds()},
		{"bytes/s of readings, mean", mean * float64(bytes)},
		{"bytes/s of readings, busiest node", most * float64(bytes)},
	}, err
}

// readingBytes is the size of one reading of health, sent and received.
func readingBytes() (int, error) {
	request, err := httpRequestBytes(http.MethodGet, backend.HealthPath, nil)
	if err != nil {
		return 0, err
	}
	response, err := httpResponseBytes(backend.Health{
		State: backend.HealthReady, Incarnation: planID(1), Snapshots: []uint64{uint64(hollowSnapshot)},
	})
	return request + response, err
}

// hollowFindings spreads one finding by pushes alone, without gossip.
type hollowFindings struct {
	queue  Queue
	random *rand.Rand
	tables []*membership.Servers
	pushes int
	// known holds when each node learned it; only those that did.
	known map[int]time.Duration
}

// measureFindings tells one node that a server leaves, and counts who learns it.
func measureFindings(nodes int) ([]Sample, error) {
	within, pushes := 0.0, 0.0
	var slowest time.Duration
	for trial := range findingTrials {
		hollow := newHollowFindings(nodes, uint64(trial))
		hollow.observe(0, membership.ServerReport{
			Source: membership.FromHealth, Condition: membership.ServerDraining, Incarnation: firstLife,
		})
		hollow.queue.RunUntil(findingSlowness)
		for _, at := range hollow.known {
			slowest = max(slowest, at)
		}
		within += float64(len(hollow.known)) / float64(nodes) / findingTrials
		pushes += float64(hollow.pushes) / float64(nodes) / findingTrials
	}
	bytes, err := findingBytes()
	return []Sample{
		{"share of nodes that pushes tell of a leaving", within},
		{"ms until the last of them knows", float64(slowest) / float64(time.Millisecond)},
		{"pushes/node/finding", pushes},
		{"bytes/node/finding, sent and received", 2 * pushes * float64(bytes)},
	}, err
}

func newHollowFindings(nodes int, trial uint64) *hollowFindings {
	hollow := &hollowFindings{random: rand.New(rand.NewPCG(findingSeed, trial)), known: make(map[int]time.Duration)}
	report := membership.ServerReport{Source: membership.FromHealth, Condition: membership.ServerAnswered, Incarnation: firstLife}
	for range nodes {
		table := membership.NewServers(membership.ServersOptions{})
		table.Report(0, quietServer, report)
		hollow.tables = append(hollow.tables, table)
	}
	return hollow
}

func (h *hollowFindings) observe(node int, report membership.ServerReport) {
	h.tables[node].Report(h.queue.Now(), quietServer, report)
	h.push(node)
}

// push sends what a node found to a few others.
func (h *hollowFindings) push(node int) {
	findings := h.tables[node].TakeFindings()
	if len(findings) == 0 {
		return
	}
	h.known[node] = h.queue.Now()
	others := h.random.Perm(len(h.tables))
	sent := 0
	for _, other := range others {
		if other == node || sent == peer.FindingFanout {
			continue
		}
		sent++
		h.pushes++
		h.queue.After(oneWayDelay, func() {
			h.tables[other].ReceiveFindings(h.queue.Now(), findings)
			h.push(other)
		})
	}
}

// findingBytes is the size of a push of one finding with its reply.
func findingBytes() (int, error) {
	body, err := proto.Marshal(&peer.ServerFindings{Findings: []*peer.ServerFinding{
		{Id: quietServer, Incarnation: planID(1), Leaving: true},
	}})
	if err != nil {
		return 0, fmt.Errorf("scale: encode: %w", err)
	}
	request, err := requestBytes(findingsPath, len(body))
	if err != nil {
		return 0, err
	}
	response, err := responseBytes(0)
	return request + response, err
}
