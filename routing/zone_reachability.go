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
	// zoneSilenceTimeout is the time without any answer from a zone after which this node takes the
	// way there for cut. Servers pause for 0.3 s at most, each at a time of its own, and
	// slow ones take a tenth of a second; a zone answers many times in it.
	zoneSilenceTimeout = 300 * time.Millisecond
	// minSilentServers is the number of servers that must have been asked in vain: one or two
	// may be slow or down.
	minSilentServers = 4
	// maxTimerDelay is how late a timer is on a node that works as usual.
	maxTimerDelay = 50 * time.Millisecond
	// maxZoneProbes is the number of its servers to which connections are tried meanwhile.
	maxZoneProbes = 3
)

// zoneUnreachable is the reason by which attempts in a dark zone end.
const zoneUnreachable = "zone_unreachable"

// zone is what the router knows of the way to a zone's servers.
type zone struct {
	name string
	// silent are the servers that were asked since one of the zone answered last, and
	// since is when the first of them was.
	silent      map[*server]struct{}
	silentSince time.Duration
	// cutOff says that no server of it can be reached; probed are those that are tried.
	cutOff bool
	probes []*server
}

func (r *Router) ensureZone(name string) *zone {
	z := r.zones[name]
	if z == nil {
		z = &zone{name: name, silent: make(map[*server]struct{})}
		r.zones[name] = z
	}
	return z
}

// recordZoneSend notes that a server of a zone was sent something.
func (r *Router) recordZoneSend(z *zone, s *server) {
	if len(z.silent) == 0 {
		z.silentSince = r.now
		r.timers.Push(timer{at: r.now + zoneSilenceTimeout, zone: z})
	}
	z.silent[s] = struct{}{}
}

// recordZoneReply notes that a server of the zone answered, or that a connection to it opened.
func (r *Router) recordZoneReply(z *zone) {
	r.lastReplyAt = r.now
	clear(z.silent)
	if !z.cutOff {
		return
	}
	z.cutOff, z.probes = false, nil
	r.dispatchAllQueued()
	r.updateReachability()
}

// checkZone takes a zone from which nothing came for dark, when servers of other zones
// answered meanwhile. It is looked at again later where few servers were asked, and where
// this node may itself have been late: frozen, or with nothing heard from anywhere.
func (r *Router) checkZone(z *zone, due time.Duration) {
	delayed := r.now-due > maxTimerDelay
	switch {
	case z.cutOff || !r.enabled(mechanism.UnreachableZones):
	case len(z.silent) >= minSilentServers && r.lastReplyAt > z.silentSince && !delayed:
		r.markZoneUnreachable(z)
	default:
		z.silentSince = r.now
		r.timers.Push(timer{at: r.now + zoneSilenceTimeout, zone: z})
	}
}

// markZoneUnreachable sets a zone's servers aside until one of them can be reached. What was sent there
// is not awaited any longer where it may be sent again: elsewhere it may still be in time.
func (r *Router) markZoneUnreachable(z *zone) {
	z.cutOff = true
	r.probeZone(z, slices.Collect(maps.Keys(z.silent)))
	r.updateReachability()
	for _, id := range slices.Sorted(maps.Keys(r.attempts)) {
		a := r.attempts[id]
		if a == nil || a.server.Zone != z.name || !r.requestOf(a).asked.Route.Repeatable {
			continue
		}
		r.emit(Cancel{Attempt: id})
		r.handleFailure(Failed{Attempt: id, Delivery: gather.DeliveryUnknown, Reason: zoneUnreachable})
	}
}

// probeZone tries to reach some servers of a dark zone.
func (r *Router) probeZone(z *zone, candidates []*server) {
	candidates = slices.DeleteFunc(candidates, func(s *server) bool { return s.removed })
	slices.SortFunc(candidates, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	z.probes = candidates[:min(len(candidates), maxZoneProbes)]
	for _, s := range z.probes {
		if !s.unreachable {
			s.unreachable = true
			r.emit(Connect{Server: s.Server})
		}
	}
}

// updateZoneProbes goes on with other servers of a dark zone when those that were tried
// are gone, and forgets a zone that has none any more.
func (r *Router) updateZoneProbes() {
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		z := r.zones[name]
		maps.DeleteFunc(z.silent, func(s *server, _ struct{}) bool { return s.removed })
		if !z.cutOff || slices.ContainsFunc(z.probes, func(s *server) bool { return !s.removed }) {
			continue
		}
		var listed []*server
		for _, s := range r.servers {
			if s.Zone == name {
				listed = append(listed, s)
			}
		}
		r.probeZone(z, listed)
		if len(listed) == 0 {
			r.recordZoneReply(z)
		}
	}
}

// dispatchAllQueued looks at all that waits.
func (r *Router) dispatchAllQueued() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		r.dispatchQueued(r.services[name])
	}
}

// distinctFanOuts lists routes that fan out, one for each set of shards and least coverage.
func distinctFanOuts(table *route.Table) []*route.Route {
	type fanOutKind struct {
		set     *string
		minimum float64
	}
	seen := make(map[fanOutKind]struct{})
	var distinct []*route.Route
	routes := table.Definition().Routes
	for i := range routes {
		target := &routes[i].Target
		if !target.FanOut() {
			continue
		}
		key := fanOutKind{&target.Shards[0], target.MinimumCoverage}
		if _, known := seen[key]; !known {
			seen[key] = struct{}{}
			distinct = append(distinct, &routes[i])
		}
	}
	return distinct
}

// updateReachability tells the owner when this node becomes unable to reach enough servers for
// some route, or able again. Servers that other nodes can't ask either don't count: one at whose
// address nobody listens is such a one, unless next to all are so, as behind a cut that refuses.
func (r *Router) updateReachability() {
	r.connected = r.isConnected()
	unable := slices.ContainsFunc(r.fanOuts, r.lacksReachableShards)
	if unable == r.cannotServe {
		return
	}
	r.cannotServe = unable
	r.emit(ReachabilityChanged{CanServe: !unable})
}

// lacksReachableShards reports whether too few shards of a route can be reached from here.
func (r *Router) lacksReachableShards(target *route.Route) bool {
	shards := target.Target.Shards
	spare := len(shards) - minPartsFor(len(shards), target.Target.MinimumCoverage)
	for _, name := range shards {
		if r.ensureService(name).isUnreachable(r.connected) {
			spare--
		}
	}
	return spare < 0
}

// isConnected reports whether this node reaches so many servers that it is not behind a cut.
func (r *Router) isConnected() bool {
	reached := 0
	for _, srv := range r.servers {
		if srv.isUsable() {
			reached++
		}
	}
	return reached > 0 && float64(reached) >= minConnectedShare*float64(len(r.servers))
}

// minConnectedShare is the part of all servers that a node reaches at least that is not behind a cut.
const minConnectedShare = 0.125

// isUnreachable reports whether a service has servers that others may reach, and none that this node,
// which is connected or behind a cut, can.
func (s *service) isUnreachable(connected bool) bool {
	anyEligible := false
	for _, srv := range s.servers {
		if srv.isUsable() {
			return false
		}
		anyEligible = anyEligible || srv.isEligible() && (!srv.refusesConnections || !connected)
	}
	return anyEligible
}
