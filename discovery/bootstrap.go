package discovery

import "cmp"

// minBootstrapNodes is the least number of nodes that keep an entry in the registry: any
// two of them may be lost at the same moment.
const minBootstrapNodes = 3

// BootstrapNodes returns the nodes that keep an entry in the registry, by which nodes find
// each other that know nobody who lives: the most capable one of each zone, and others
// up to the least number. All nodes that see the same members choose the same.
func BootstrapNodes(nodes []Node) []Node {
	ranked := rankNodes(nodes)
	var anchors, others []Node
	zones := make(map[string]struct{})
	for _, node := range ranked {
		if _, has := zones[node.Zone]; has {
			others = append(others, node)
			continue
		}
		zones[node.Zone] = struct{}{}
		anchors = append(anchors, node)
	}
	missing := min(max(minBootstrapNodes-len(anchors), 0), len(others))
	return append(anchors, others[:missing]...)
}

// compareRank puts the more capable node first, and equal ones in an order that is the same
// everywhere.
func compareRank(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID))
}
