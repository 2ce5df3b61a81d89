// Package directory decides which node addresses a caller should connect to.
package directory

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
)

// Answer lists the addresses that a caller should connect to, and how long it may use them.
type Answer struct {
	Addresses  []string
	TimeToLive time.Duration
}

// Resolver answers callers' address look-ups.
type Resolver interface {
	// Resolve returns at most limit addresses for a caller's requests to a host. It returns none if
	// no suitable node is known.
	Resolve(host string, caller Caller, limit int) Answer
}

// Caller describes the client that looks up addresses.
type Caller struct {
	Zone   string
	Region string
	// Homes are the regions in which the caller's requests may be served; none means all regions.
	Homes []string
}

// Presence holds, for each zone, the share of the services in use that have a ready server there.
type Presence map[string]float64

const (
	// minNearbyNodes is the number of nodes that suffices in a caller's own zone, or else in its
	// region: one of them may fail before its entry expires.
	minNearbyNodes = 2
	// maxOwnZoneNodes is the maximum number of nodes of its own zone that a caller receives while
	// there are nodes of other zones; each answer holds a new random sample. A caller whose zone
	// fails tries these nodes in vain, and look-ups in its own zone are no longer answered: of 300
	// machines in four zones it has 4 addresses there and 2 elsewhere, but 15 and 2 without this
	// limit. The limit does not change the value of all answers in two deployments of that size
	// beyond noise (0.635 and 0.629, 0.476 and 0.492, one run each).
	maxOwnZoneNodes = 4
	// otherZoneNodes is the number of nodes of other zones that a caller receives in addition. With
	// one, less is served when the caller's zone is isolated: on a day with two partitions the value of
	// all answers is 0.72 with one node, 0.76 with two and 0.78 with all of the region. On a day of
	// high load with 1.4 ms between zones, all nodes of the region cost 0.04 of that value, and two
	// cost 0.006 (one run each).
	otherZoneNodes = 2
	// minPresenceShare is the share of the best presence of a zone in the region at which a zone's
	// nodes count as close to the servers.
	minPresenceShare = 0.5
)

// Addresses returns at most limit addresses for the caller: some nodes of its own zone and a few of
// other zones of its region. If its zone has too few nodes, it returns nodes of the whole region,
// and if the region has too few, all nodes. With nodes of its own zone alone, a caller would have
// no address after the loss of the zone until the answer expires; with all nodes of the region, the
// distance makes late those answers that are sent just before their deadline.
//
// An answer is smaller than the parts that it is merged from, so nodes should be close to the
// servers: zones with few servers are left out if others of the region have more. Leaving nodes are
// left out unless there are no others, and so are nodes that cannot reach the servers and, of the
// rest, suspects, which do not answer other nodes. If the caller's requests have homes, only nodes
// there and in the caller's own region are returned.
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
		// Each answer holds a new random sample, so that all nodes get some of the callers.
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

// dropZonesWithFewServers removes the nodes of zones whose presence is below minPresenceShare of
// the best one in their region.
func dropZonesWithFewServers(nodes []discovery.Node, presence Presence) []discovery.Node {
	bestPresence := make(map[string]float64)
	for _, n := range nodes {
		bestPresence[n.Region] = max(bestPresence[n.Region], presence[n.Zone])
	}
	return filter(nodes, func(n discovery.Node) bool {
		return presence[n.Zone] >= bestPresence[n.Region]*minPresenceShare
	})
}

// selectNearby returns the nodes of the smallest area around the caller that has enough of them:
// its zone with some of other zones, its region, or all.
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

// sample draws at most limit of the nodes at random and keeps their order.
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

// drawFromOtherZones draws up to otherZoneNodes nodes at random, each in a different zone other
// than the given one.
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

// mayUse reports whether a node may serve the caller's requests, given their homes.
func (c Caller) mayUse(n discovery.Node) bool {
	return n.Region == c.Region || slices.Contains(c.Homes, n.Region)
}

// NodesAbleToServe returns the nodes that, as far as is known, can reach the servers, or all nodes
// if none can. From an isolated zone, the nodes of other zones appear to be dead, but they
// are the ones that can serve. If only one other zone is left and appears to be dead, it may as
// well have lost power, and the nodes of both zones are returned.
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

// zoneCutOffShare is the share of unable nodes in a zone at which all of the zone's nodes count as
// unable: nodes that receive no requests do not notice that they cannot reach the servers.
const zoneCutOffShare = 0.5

// ableAmong returns a predicate that reports whether a node of the list can, as far as is known,
// reach the servers.
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

// prefer returns the wanted nodes, or all nodes if none is wanted.
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
