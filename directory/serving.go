package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/mechanism"
)

const (
	// leastServing is the number of nodes that serve callers at least, however few
	// connections a server takes: any one of them may be lost.
	leastServing = 3
	// leastInZone is the number of nodes of each zone that serve callers at least.
	leastInZone = enoughNear
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
func ServingNodes(nodes []discovery.Node, connections int, off mechanism.Disabled) []discovery.Node {
	staying := filter(nodes, func(n discovery.Node) bool { return !n.Leaving })
	if len(staying) == 0 {
		return nodes
	}
	most := max(connections-stillConnected(nodes, connections), leastServing)
	serving := spread(staying, most, capableOf(staying))
	if !off.Enabled(mechanism.CapableNodes) || slices.ContainsFunc(serving, func(n discovery.Node) bool { return n.Busy }) {
		serving = spread(staying, most, func(discovery.Node) bool { return true })
	}
	return serving
}

// stillConnected is the number of leaving nodes that served callers until they
// began to leave, and hold connections to servers until they are gone.
func stillConnected(nodes []discovery.Node, connections int) int {
	before := spread(nodes, max(connections, leastServing), capableOf(nodes))
	return len(filter(before, func(n discovery.Node) bool { return n.Leaving }))
}

// capableOf tells which nodes are capable beside the best of them.
func capableOf(nodes []discovery.Node) func(discovery.Node) bool {
	greatest := 0.0
	for _, n := range nodes {
		greatest = max(greatest, n.Capacity)
	}
	return func(n discovery.Node) bool { return n.Capacity >= greatest*capableShare }
}

// spread picks at most the given number of nodes, from all zones in turn, the
// most capable first: the least of each zone, and beyond those the wanted ones.
func spread(nodes []discovery.Node, most int, wanted func(discovery.Node) bool) []discovery.Node {
	zones := byZone(nodes)
	var picked []discovery.Node
	for place := 0; ; place++ {
		before := len(picked)
		for _, zone := range zones {
			if len(picked) == most {
				return picked
			}
			if place < len(zone) && (place < leastInZone || wanted(zone[place])) {
				picked = append(picked, zone[place])
			}
		}
		if len(picked) == before {
			return picked
		}
	}
}

// byZone lists the nodes of each zone, the most capable first.
func byZone(nodes []discovery.Node) [][]discovery.Node {
	inZones := slices.Clone(nodes)
	slices.SortFunc(inZones, func(a, b discovery.Node) int {
		return cmp.Or(
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var zones [][]discovery.Node
	begin := 0
	for place := range inZones {
		if last := place == len(inZones)-1; last || inZones[place+1].Zone != inZones[place].Zone {
			zones = append(zones, inZones[begin:place+1])
			begin = place + 1
		}
	}
	return zones
}
