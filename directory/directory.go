// Package directory decides which addresses a caller is told to connect to.
package directory

import (
	"github.com/banksail/banksail/discovery"
)

// Caller is who asks.
type Caller struct {
	Zone   string
	Region string
}

// enoughNear is the number of nodes in a caller's own zone that are enough for
// it: one of them may be lost before its entry goes.
const enoughNear = 2

// Addresses lists where the caller may connect, at most the given number: the
// nodes of its zone if there are enough, else those of its region, else all.
// Nodes that are leaving are left out, unless there are no others.
func Addresses(nodes []discovery.Node, caller Caller, most int) []string {
	staying := filter(nodes, func(n discovery.Node) bool { return !n.Leaving })
	if len(staying) == 0 {
		staying = nodes
	}
	near := filter(staying, func(n discovery.Node) bool { return n.Zone == caller.Zone })
	if len(near) < enoughNear {
		near = filter(staying, func(n discovery.Node) bool { return n.Region == caller.Region })
	}
	if len(near) < enoughNear {
		near = staying
	}
	addresses := make([]string, 0, min(len(near), most))
	for _, n := range near[:min(len(near), most)] {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

func filter(nodes []discovery.Node, keep func(discovery.Node) bool) []discovery.Node {
	var kept []discovery.Node
	for _, n := range nodes {
		if keep(n) {
			kept = append(kept, n)
		}
	}
	return kept
}
