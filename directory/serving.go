package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/mechanism"
)

const (
	// minServing is the minimum number of nodes that serve callers, however few connections a
	// server accepts: any one of the nodes may fail.
	minServing = 3
	// minServingPerZone is the number of nodes of each zone that serve callers before nodes with
	// less capacity are left out.
	minServingPerZone = minNearbyNodes
	// capableShare is the share of the greatest capacity of any node at which a node counts as
	// capable. With less, the node itself is the slowest step of a request.
	capableShare = 0.5
)

// ServingNodes returns the nodes to which callers are sent. As long as none of them is busy, these
// are the capable nodes and at least two of each zone, otherwise all nodes. There are no more of them
// than can each hold a connection to every server, except that there are always up to minServing, and
// they are spread over the zones. Leaving nodes are returned only if there are no others.
//
// The parameter connections is the smallest number of connections that any server accepts from all
// nodes together, and disabled is the set of mechanisms that are switched off. All nodes with the
// same membership view compute the same result, and a node that joins or leaves changes the role of
// few others.
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

// countLeavingServing returns the number of leaving nodes that served callers until they began to
// leave. They hold connections to servers until they have ended.
func countLeavingServing(nodes []discovery.Node, connections int) int {
	serving := spread(nodes, max(connections, minServing), capableAmong(nodes))
	return len(filter(serving, func(n discovery.Node) bool { return n.Leaving }))
}

// capableAmong returns a predicate that reports whether a node is capable, compared with the one in
// the list that has the greatest capacity.
func capableAmong(nodes []discovery.Node) func(discovery.Node) bool {
	maxCapacity := 0.0
	for _, n := range nodes {
		maxCapacity = max(maxCapacity, n.Capacity)
	}
	return func(n discovery.Node) bool { return n.Capacity >= maxCapacity*capableShare }
}

// spread picks at most limit nodes, from all zones in turn and in each zone in descending order of
// capacity: minServingPerZone nodes of each zone first, and beyond these only wanted ones.
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

// byZone groups the nodes by zone, in descending order of capacity.
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
