package discovery

import "cmp"

// minBootstrapNodes is the minimum number of nodes that keep an entry in the registry: any two of
// them may fail at the same time.
const minBootstrapNodes = 3

// BootstrapNodes returns the nodes that keep an entry in the registry, through which nodes that
// know no live node find the others: the highest-ranked node of each zone, and further ones up to
// minBootstrapNodes. All nodes with the same membership view select the same nodes.
func BootstrapNodes(nodes []Node) []Node {
	ranked := rankNodes(nodes)
	var selected, others []Node
	zones := make(map[string]struct{})
	for _, node := range ranked {
		if _, covered := zones[node.Zone]; covered {
			others = append(others, node)
			continue
		}
		zones[node.Zone] = struct{}{}
		selected = append(selected, node)
	}
	missing := min(max(minBootstrapNodes-len(selected), 0), len(others))
	return append(selected, others[:missing]...)
}

// compareRank orders nodes by decreasing capacity, and nodes of equal capacity in an order that
// is the same everywhere.
func compareRank(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(hashOf(a.ID), hashOf(b.ID)), cmp.Compare(a.ID, b.ID))
}
