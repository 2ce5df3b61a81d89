package scale

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the model of connection owners.
const (
	replicasPlanned = 15
	ownerQueries    = 200
	ownerSeed       = 3
	// boundedLoad is how far over the mean a node's number of units may go.
	boundedLoad = 1.25
	// unboundedLoad lets every unit go to its first node.
	unboundedLoad = 1000
)

// ownerUnit is what one node of a zone owns at once: one replica each of the
// groups of a block. The owner holds the zone's connections to those servers,
// and the zone's other nodes reach them by one call to the owner.
type ownerUnit struct {
	block, replica int
}

// ownerMap assigns the units of a service to the nodes of one zone.
type ownerMap struct {
	groupsPerBlock int
	blocks         int
	owner          map[ownerUnit]int
	units          []int
}

// assignOwners ranks the zone's nodes for each unit by rendezvous hashing; a
// unit goes to the first node that is live and holds fewer units than the bound.
func assignOwners(groupsPerBlock int, live []int, bound float64) ownerMap {
	blocks := (groupsPlanned + groupsPerBlock - 1) / groupsPerBlock
	assigned := ownerMap{
		groupsPerBlock: groupsPerBlock, blocks: blocks,
		owner: make(map[ownerUnit]int), units: make([]int, plannedNodes/zoneCount),
	}
	room := int(math.Ceil(bound * float64(blocks*replicasPlanned) / float64(len(live))))
	for block := range blocks {
		for replica := range replicasPlanned {
			unit := ownerUnit{block, replica}
			for _, node := range rankedNodes(unit, live) {
				if assigned.units[node] < room {
					assigned.owner[unit] = node
					assigned.units[node]++
					break
				}
			}
		}
	}
	return assigned
}

func rankedNodes(unit ownerUnit, live []int) []int {
	weights := make(map[int]uint64, len(live))
	for _, node := range live {
		weights[node] = xxhash.Sum64String(fmt.Sprintf("%d/%d/%d", unit.block, unit.replica, node))
	}
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) })
	return ranked
}

// callsPerQuery draws a replica for each block of each query and counts the
// owners that a query asks.
func (m ownerMap) callsPerQuery(queries int) float64 {
	random := rand.New(rand.NewPCG(ownerSeed, 0))
	calls := 0
	for range queries {
		asked := make(map[int]bool)
		for block := range m.blocks {
			asked[m.owner[ownerUnit{block, random.IntN(replicasPlanned)}]] = true
		}
		calls += len(asked)
	}
	return float64(calls) / float64(queries)
}

// moved is the share of units with another owner than before.
func (m ownerMap) moved(before ownerMap) float64 {
	changed := 0
	for unit, node := range m.owner {
		if before.owner[unit] != node {
			changed++
		}
	}
	return float64(changed) / float64(len(m.owner))
}

// ownerSweeps weighs how many groups a block of connection owners should hold.
func ownerSweeps() []Sweep {
	return []Sweep{{
		Name: "owners-block", Role: "query path", Size: "groups per block",
		Fixed: "175 nodes a zone, 350 groups of 15 servers, a model",
		Sizes: []float64{1, 5, 10, 25, 50}, Today: 1, Planned: 10,
		Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureOwners(int(size)), nil },
	}}
}

func measureOwners(groupsPerBlock int) []Sample {
	live := make([]int, plannedNodes/zoneCount)
	for node := range live {
		live[node] = node
	}
	plain := assignOwners(groupsPerBlock, live, unboundedLoad)
	bounded := assignOwners(groupsPerBlock, live, boundedLoad)
	mean := float64(len(bounded.owner)) / float64(len(live))
	calls := bounded.callsPerQuery(ownerQueries)
	return []Sample{
		{"peer calls/query", calls},
		{"sub-requests/peer call", groupsPlanned / calls},
		{"busiest owner's load over the mean, plain", float64(slices.Max(plain.units)) / mean},
		{"busiest owner's load over the mean, bounded", float64(slices.Max(bounded.units)) / mean},
		{"servers of the busiest owner, bounded", float64(slices.Max(bounded.units) * groupsPerBlock)},
		{"share of units moved when a node leaves, plain", assignOwners(groupsPerBlock, live[1:], unboundedLoad).moved(plain)},
		{"share of units moved when a node leaves, bounded", assignOwners(groupsPerBlock, live[1:], boundedLoad).moved(bounded)},
	}
}
