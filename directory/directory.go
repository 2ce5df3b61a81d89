// Package directory decides which addresses a caller is told to connect to.
package directory

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
)

// Answer tells a caller where to connect, and for how long that counts.
type Answer struct {
	Addresses  []string
	TimeToLive time.Duration
}

// Resolver tells callers where to connect.
type Resolver interface {
	// Resolve lists at most the given number of addresses for a caller of a host; none
	// when it is not known where callers should go.
	Resolve(host string, caller Caller, limit int) Answer
}

// Caller is who asks.
type Caller struct {
	Zone   string
	Region string
	// Homes are the regions in which what the caller asks for may be served; none is
	// everywhere.
	Homes []string
}

// Presence tells, for each zone, which part of the services in use has a server there.
type Presence map[string]float64

const (
	// minNearbyNodes is the number of nodes in a caller's own zone that are enough for
	// it: one of them may be lost before its entry goes.
	minNearbyNodes = 2
	// maxOwnZoneNodes is the number of nodes of its own zone that a caller is told of, another sample
	// with each answer. A caller whose zone is lost tries them in vain, as no look-up of its own
	// zone is answered any more: of 300 machines in four zones it knew 15 there and 2 elsewhere,
	// and knows 4 and 2. The worth of two deployments of that size is the same within noise
	// (0.635 and 0.629, 0.476 and 0.492, one play each).
	maxOwnZoneNodes = 4
	// otherZoneNodes is the number of nodes of other zones beside those of the caller's own.
	// One serves less when the zone is cut off (worth 0.72 of a day with two cuts; 0.76 with
	// two, 0.78 with all of the region), all cost 0.04 on a day of high load with 1.4 ms
	// between zones, and two 0.006 (one play each).
	otherZoneNodes = 2
	// minPresenceShare is the part of the best zone's presence from which on a zone
	// counts as near to the servers.
	minPresenceShare = 0.5
)

// Addresses lists where the caller may connect, at most the given number: the nodes of its
// zone and a few of other zones of its region, or all of the region, or all, if there are
// too few. Those of its own zone alone would leave it without any when the zone is lost,
// until the answer is over; all of the region are farther away, by which answers that leave
// at the last moment are late. An answer is smaller than
// the parts that make it, so nodes in zones without servers are passed over for those of
// the region that stand near servers. Nodes that are leaving are left out, unless there
// are no others, and so are those that can't reach the servers and, of the rest, those
// that don't answer other nodes. Where the caller's request has homes, only nodes there
// and in the caller's own region are named.
func Addresses(nodes []discovery.Node, presence Presence, caller Caller, limit int) []string {
	if len(caller.Homes) > 0 {
		nodes = filter(nodes, caller.mayUse)
	}
	candidates := prefer(nodes, func(n discovery.Node) bool { return !n.Leaving })
	candidates = NodesAbleToServe(candidates)
	candidates = prefer(candidates, func(n discovery.Node) bool { return !n.Suspect })
	candidates = dropZonesWithFewServers(candidates, presence)
	nearby := selectNearby(candidates, caller)
	if len(nearby) > limit {
		// Another sample for each caller, so that all nodes get some.
		nearby = slices.Clone(nearby)
		rand.Shuffle(len(nearby), func(i, j int) { nearby[i], nearby[j] = nearby[j], nearby[i] })
		nearby = nearby[:limit]
	}
	addresses := make([]string, 0, len(nearby))
	for _, n := range nearby {
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// dropZonesWithFewServers leaves out the nodes of zones that have few servers beside the
// best zone of their region.
func dropZonesWithFewServers(nodes []discovery.Node, presence Presence) []discovery.Node {
	bestPresence := make(map[string]float64)
	for _, n := range nodes {
		bestPresence[n.Region] = max(bestPresence[n.Region], presence[n.Zone])
	}
	return filter(nodes, func(n discovery.Node) bool {
		return presence[n.Zone] >= bestPresence[n.Region]*minPresenceShare
	})
}

// selectNearby lists the nodes that are near enough for a caller, and enough.
func selectNearby(nodes []discovery.Node, caller Caller) []discovery.Node {
	inRegion := filter(nodes, func(n discovery.Node) bool { return n.Region == caller.Region })
	if len(inRegion) < minNearbyNodes {
		return nodes
	}
	inZone := filter(inRegion, func(n discovery.Node) bool { return n.Zone == caller.Zone })
	if len(inZone) < minNearbyNodes {
		return inRegion
	}
	otherZones := drawFromOtherZones(inRegion, caller.Zone)
	if len(otherZones) > 0 {
		inZone = sample(inZone, maxOwnZoneNodes)
	}
	return append(inZone, otherZones...)
}

// sample draws so many of the nodes, in their order.
func sample(nodes []discovery.Node, limit int) []discovery.Node {
	if len(nodes) <= limit {
		return nodes
	}
	indexes := rand.Perm(len(nodes))[:limit]
	slices.Sort(indexes)
	drawn := make([]discovery.Node, 0, limit)
	for _, index := range indexes {
		drawn = append(drawn, nodes[index])
	}
	return drawn
}

// drawFromOtherZones draws the nodes of other zones that a caller is told of, each of another zone.
func drawFromOtherZones(nodes []discovery.Node, zone string) []discovery.Node {
	shuffled := slices.Clone(nodes)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	zones := map[string]struct{}{zone: {}}
	return filter(shuffled, func(n discovery.Node) bool {
		_, seen := zones[n.Zone]
		zones[n.Zone] = struct{}{}
		return !seen && len(zones) <= otherZoneNodes+1
	})
}

// mayUse reports whether a request with homes may go to a node.
func (c Caller) mayUse(n discovery.Node) bool {
	return n.Region == c.Region || slices.Contains(c.Homes, n.Region)
}

// NodesAbleToServe lists the nodes that can reach the servers, as far as that is known; all where none
// can. From a zone that is cut off, the nodes of the others look dead, and they are the
// able ones; but where only one other zone is left and looks dead, that may as well be
// without power, and both are listed.
func NodesAbleToServe(nodes []discovery.Node) []discovery.Node {
	able := filter(nodes, ableAmong(nodes))
	suspectZones := make(map[string]struct{})
	for _, n := range able {
		if !n.Suspect {
			return able
		}
		suspectZones[n.Zone] = struct{}{}
	}
	if len(suspectZones) < 2 {
		return nodes
	}
	return able
}

// zoneCutOffShare is the part of a zone's nodes from which on none of them is able to reach the
// servers: those to which no callers come don't notice it.
const zoneCutOffShare = 0.5

// ableAmong tells the nodes that can reach the servers, as far as that is known.
func ableAmong(nodes []discovery.Node) func(discovery.Node) bool {
	total, unable := make(map[string]int), make(map[string]int)
	for _, n := range nodes {
		total[n.Zone]++
		if n.Unable {
			unable[n.Zone]++
		}
	}
	return func(n discovery.Node) bool {
		return !n.Unable && (unable[n.Zone] == 0 || float64(unable[n.Zone]) < zoneCutOffShare*float64(total[n.Zone]))
	}
}

// prefer leaves out the nodes that are not wanted, unless there are no others.
func prefer(nodes []discovery.Node, wanted func(discovery.Node) bool) []discovery.Node {
	if preferred := filter(nodes, wanted); len(preferred) > 0 {
		return preferred
	}
	return nodes
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
