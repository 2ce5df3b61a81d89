package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/route"
)

const (
	// darkAfter is the time without any answer from a zone after which this node takes the
	// way there for cut. Servers pause for 0.3 s at most, each at a time of its own, and
	// slow ones take a tenth of a second; a zone answers many times in it.
	darkAfter = 300 * time.Millisecond
	// darkServers is the number of servers that must have been asked in vain: one or two
	// may be slow or down.
	darkServers = 4
	// darkSlack is how late a timer is on a node that works as usual.
	darkSlack = 50 * time.Millisecond
	// darkProbes is the number of its servers to which connections are tried meanwhile.
	darkProbes = 3
)

// zoneUnreachable is the reason by which attempts in a dark zone end.
const zoneUnreachable = "zone_unreachable"

// zone is what the router knows of the way to a zone's servers.
type zone struct {
	name string
	// unanswered are the servers that were asked since one of the zone answered last, and
	// since is when the first of them was.
	unanswered map[*server]struct{}
	since      time.Duration
	// dark says that no server of it can be reached; probed are those that are tried.
	dark   bool
	probed []*server
}

func (r *Router) zoneNamed(name string) *zone {
	z := r.zones[name]
	if z == nil {
		z = &zone{name: name, unanswered: make(map[*server]struct{})}
		r.zones[name] = z
	}
	return z
}

// askedIn notes that a server of a zone was sent something.
func (r *Router) askedIn(z *zone, s *server) {
	if len(z.unanswered) == 0 {
		z.since = r.now
		r.timers.Push(timer{at: r.now + darkAfter, zone: z})
	}
	z.unanswered[s] = struct{}{}
}

// heard notes that a server of the zone answered, or that a connection to it opened.
func (r *Router) heard(z *zone) {
	r.heardAt = r.now
	clear(z.unanswered)
	if !z.dark {
		return
	}
	z.dark, z.probed = false, nil
	r.pumpAll()
	r.lookAtAbility()
}

// lookAtZone takes a zone from which nothing came for dark, when servers of other zones
// answered meanwhile. It is looked at again later where few servers were asked, and where
// this node may itself have been late: frozen, or with nothing heard from anywhere.
func (r *Router) lookAtZone(z *zone, due time.Duration) {
	late := r.now-due > darkSlack
	switch {
	case z.dark || !r.on(mechanism.UnreachableZones):
	case len(z.unanswered) >= darkServers && r.heardAt > z.since && !late:
		r.darken(z)
	default:
		z.since = r.now
		r.timers.Push(timer{at: r.now + darkAfter, zone: z})
	}
}

// darken sets a zone's servers aside until one of them can be reached. What was sent there
// is not awaited any longer where it may be sent again: elsewhere it may still be in time.
func (r *Router) darken(z *zone) {
	z.dark = true
	r.probe(z, slices.Collect(maps.Keys(z.unanswered)))
	r.lookAtAbility()
	for _, id := range slices.Sorted(maps.Keys(r.attempts)) {
		a := r.attempts[id]
		if a == nil || a.server.Zone != z.name || !r.requestOf(a).asked.Route.Repeatable {
			continue
		}
		r.emit(Cancel{Attempt: id})
		r.failed(Failed{Attempt: id, Delivery: gather.DeliveryUnknown, Reason: zoneUnreachable})
	}
}

// probe tries to reach some servers of a dark zone.
func (r *Router) probe(z *zone, candidates []*server) {
	candidates = slices.DeleteFunc(candidates, func(s *server) bool { return s.gone })
	slices.SortFunc(candidates, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	z.probed = candidates[:min(len(candidates), darkProbes)]
	for _, s := range z.probed {
		if !s.unreachable {
			s.unreachable = true
			r.emit(Connect{Server: s.Server})
		}
	}
}

// followDarkZones goes on with other servers of a dark zone when those that were tried
// are gone, and forgets a zone that has none any more.
func (r *Router) followDarkZones() {
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		z := r.zones[name]
		maps.DeleteFunc(z.unanswered, func(s *server, _ struct{}) bool { return s.gone })
		if !z.dark || slices.ContainsFunc(z.probed, func(s *server) bool { return !s.gone }) {
			continue
		}
		var listed []*server
		for _, s := range r.servers {
			if s.Zone == name {
				listed = append(listed, s)
			}
		}
		r.probe(z, listed)
		if len(listed) == 0 {
			r.heard(z)
		}
	}
}

// pumpAll looks at all that waits.
func (r *Router) pumpAll() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		r.pump(r.services[name])
	}
}

// fanOutsOf lists routes that fan out, one for each set of shards and least coverage.
func fanOutsOf(table *route.Table) []*route.Route {
	type kind struct {
		set     *string
		minimum float64
	}
	seen := make(map[kind]struct{})
	var kinds []*route.Route
	routes := table.Definition().Routes
	for i := range routes {
		target := &routes[i].Target
		if !target.FanOut() {
			continue
		}
		one := kind{&target.Shards[0], target.MinimumCoverage}
		if _, known := seen[one]; !known {
			seen[one] = struct{}{}
			kinds = append(kinds, &routes[i])
		}
	}
	return kinds
}

// lookAtAbility tells the owner when this node becomes unable to reach enough servers for
// some route, or able again. Servers that other nodes can't ask either don't count: one at whose
// address nobody listens is such a one, unless next to all are so, as behind a cut that refuses.
func (r *Router) lookAtAbility() {
	r.connected = r.reachesSome()
	unable := slices.ContainsFunc(r.fanOuts, r.cutOffFrom)
	if unable == r.unable {
		return
	}
	r.unable = unable
	r.emit(ReachabilityChanged{CanServe: !unable})
}

// cutOffFrom reports whether too few shards of a route can be reached from here.
func (r *Router) cutOffFrom(target *route.Route) bool {
	shards := target.Target.Shards
	spare := len(shards) - leastParts(len(shards), target.Target.MinimumCoverage)
	for _, name := range shards {
		if r.serviceNamed(name).cutOff(r.connected) {
			spare--
		}
	}
	return spare < 0
}

// reachesSome reports whether this node reaches so many servers that it is not behind a cut.
func (r *Router) reachesSome() bool {
	reached := 0
	for _, one := range r.servers {
		if one.usable() {
			reached++
		}
	}
	return reached > 0 && float64(reached) >= connectedShare*float64(len(r.servers))
}

// connectedShare is the part of all servers that a node reaches at least that is not behind a cut.
const connectedShare = 0.125

// cutOff reports whether a service has servers that others may reach, and none that this node,
// which is connected or behind a cut, can.
func (s *service) cutOff(connected bool) bool {
	there := false
	for _, one := range s.servers {
		if one.usable() {
			return false
		}
		there = there || one.offered() && (!one.refuses || !connected)
	}
	return there
}
