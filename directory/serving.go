package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/mechanism"
)

const (
	// minServing is the number of nodes that serve callers at least, however few
	// connections a server takes: any one of them may be lost.
	minServing = 3
	// minServingPerZone is the number of nodes of each zone that serve callers at least.
	minServingPerZone = minNearbyNodes
	// capableShare is the part of the greatest capacity from which on a node is
	// capable. On one with less the node itself is the slowest step of a request.
	capableShare = 0.5
)

// ServingNodes returns the nodes to which callers are sent: the capable ones and at
// least two of each zone, as long as none of them is busy, and all otherwise.
// They are never more than can hold connections to every server, and are spread
// over the zones. Connections is the least number that a server takes from all
// nodes together. All nodes that see the same members choose the same, and one
// that comes or goes changes few others' part. Off names the mechanisms that are
// switched off.
func ServingNodes(nodes []discovery.Node, connections int, disabled mechanism.Disabled) []discovery.Node {
	staying := filter(nodes, func(n discovery.Node) bool { return !n.Leaving })
	if len(staying) == 0 {
		return nodes
	}
	limit := max(connections-countLeavingServing(nodes, connections), minServing)
	serving := spread(staying, limit, capableAmong(staying))
	if !disabled.Enabled(mechanism.CapableNodes) || slices.ContainsFunc(serving, func(n discovery.Node) bool { return n.Busy }) {
		serving = spread(staying, limit, func(discovery.Node) bool { return true })
	}
	return serving
}

// countLeavingServing is the number of leaving nodes that served callers until they
// began to leave, and hold connections to servers until they are gone.
func countLeavingServing(nodes []discovery.Node, connections int) int {
	serving := spread(nodes, max(connections, minServing), capableAmong(nodes))
	return len(filter(serving, func(n discovery.Node) bool { return n.Leaving }))
}

// capableAmong tells which nodes are capable beside the best of them.
func capableAmong(nodes []discovery.Node) func(discovery.Node) bool {
	maxCapacity := 0.0
	for _, n := range nodes {
		maxCapacity = max(maxCapacity, n.Capacity)
	}
	return func(n discovery.Node) bool { return n.Capacity >= maxCapacity*capableShare }
}

// spread picks at most the given number of nodes, from all zones in turn, the
// limit capable first: the least of each zone, and beyond those the wanted ones.
func spread(nodes []discovery.Node, limit int, wanted func(discovery.Node) bool) []discovery.Node {
	zones := byZone(nodes)
	var picked []discovery.Node
	for rank := 0; ; rank++ {
		before := len(picked)
		for _, zone := range zones {
			if len(picked) == limit {
				return picked
			}
			if rank < len(zone) && (rank < minServingPerZone || wanted(zone[rank])) {
				picked = append(picked, zone[rank])
			}
		}
		if len(picked) == before {
			return picked
		}
	}
}

// byZone lists the nodes of each zone, the most capable first.
func byZone(nodes []discovery.Node) [][]discovery.Node {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b discovery.Node) int {
		return cmp.Or(
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var zones [][]discovery.Node
	start := 0
	for i := range sorted {
		if last := i == len(sorted)-1; last || sorted[i+1].Zone != sorted[i].Zone {
			zones = append(zones, sorted[start:i+1])
			start = i + 1
		}
	}
	return zones
}
