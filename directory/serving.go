package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/discovery"
)

// leastServing is the number of nodes that serve callers at least, however few
// connections a server takes: any one of them may be lost.
const leastServing = 12

// Serving returns the nodes to which callers are sent: all, as long as each can
// hold connections to every server, and else as many as can, spread over the
// zones. Connections is the least number that a server takes from all nodes
// together. All nodes that see the same members choose the same, and one that
// comes or goes changes few others' part.
func Serving(nodes []discovery.Node, connections int) []discovery.Node {
	staying := filter(nodes, func(n discovery.Node) bool { return !n.Leaving })
	most := max(connections, leastServing)
	if len(staying) <= most {
		return nodes
	}
	byZone := make(map[string][]discovery.Node)
	for _, n := range staying {
		byZone[n.Zone] = append(byZone[n.Zone], n)
	}
	zones := make([]string, 0, len(byZone))
	for zone, inZone := range byZone {
		zones = append(zones, zone)
		slices.SortFunc(inZone, func(a, b discovery.Node) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.Sort(zones)
	var serving []discovery.Node
	for place := 0; len(serving) < most; place++ {
		for _, zone := range zones {
			if place < len(byZone[zone]) && len(serving) < most {
				serving = append(serving, byZone[zone][place])
			}
		}
	}
	return serving
}
