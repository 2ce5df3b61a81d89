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
	// zoneSilenceTimeout is the time without any reply from a zone after which this node considers
	// the zone unreachable. Servers pause for at most 0.3 s, independently of each other, and slow
	// ones take 0.1 s to answer; a zone normally answers many times within the timeout.
	zoneSilenceTimeout = 300 * time.Millisecond
	// minSilentServers is the minimum number of servers that must have failed to answer; one or
	// two may be slow or down.
	minSilentServers = 4
	// maxTimerDelay is the maximum delay of a timer on a node that is not stalled.
	maxTimerDelay = 50 * time.Millisecond
	// maxZoneProbes is the number of servers in an unreachable zone to which connections are
	// tried.
	maxZoneProbes = 3
)

// zoneUnreachable is the failure reason of attempts in a zone that became unreachable.
const zoneUnreachable = "zone_unreachable"

// zone is the router's view of whether it can reach a zone's servers.
type zone struct {
	name string
	// silent holds the servers that were sent something since the zone's last reply. silentSince
	// is when the first of them was.
	silent      map[*server]struct{}
	silentSince time.Duration
	// isolated is set while none of the zone's servers can be reached. probes are the servers to
	// which connections are tried meanwhile.
	isolated bool
	probes   []*server
}

func (r *Router) ensureZone(name string) *zone {
	z := r.zones[name]
	if z == nil {
		z = &zone{name: name, silent: make(map[*server]struct{})}
		r.zones[name] = z
	}
	return z
}

// recordZoneSend records that something was sent to a server of the zone.
func (r *Router) recordZoneSend(z *zone, s *server) {
	if len(z.silent) == 0 {
		z.silentSince = r.now
		r.timers.Push(timer{at: r.now + zoneSilenceTimeout, zone: z})
	}
	z.silent[s] = struct{}{}
}

// recordZoneReply records that a server of the zone replied or accepted a connection.
func (r *Router) recordZoneReply(z *zone) {
	r.lastReplyAt = r.now
	clear(z.silent)
	if !z.isolated {
		return
	}
	z.isolated, z.probes = false, nil
	r.dispatchAllQueued()
	r.updateReachability()
}

// checkZone marks a silent zone as unreachable if servers elsewhere have replied meanwhile. It
// checks again later if too few servers were asked, or if this node itself may have stalled or
// lost all connectivity.
func (r *Router) checkZone(z *zone, due time.Duration) {
	delayed := r.now-due > maxTimerDelay
	switch {
	case z.isolated || !r.enabled(mechanism.UnreachableZones):
	case len(z.silent) >= minSilentServers && r.lastReplyAt > z.silentSince && !delayed:
		r.markZoneUnreachable(z)
	default:
		z.silentSince = r.now
		r.timers.Push(timer{at: r.now + zoneSilenceTimeout, zone: z})
	}
}

// markZoneUnreachable excludes a zone's servers until one of them can be reached. Repeatable
// attempts in flight there are failed immediately, since a retry elsewhere may still be in time.
func (r *Router) markZoneUnreachable(z *zone) {
	z.isolated = true
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

// probeZone starts connection attempts to some servers of an unreachable zone.
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

// updateZoneProbes probes other servers of an unreachable zone once all probed ones were removed,
// and marks a zone without servers as reachable again.
func (r *Router) updateZoneProbes() {
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		z := r.zones[name]
		maps.DeleteFunc(z.silent, func(s *server, _ struct{}) bool { return s.removed })
		if !z.isolated || slices.ContainsFunc(z.probes, func(s *server) bool { return !s.removed }) {
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

// dispatchAllQueued dispatches the queued segments of all services.
func (r *Router) dispatchAllQueued() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		r.dispatchQueued(r.services[name])
	}
}

// distinctFanOuts returns one fan-out route for each distinct set of shards and minimum coverage.
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
		if !target.IsFanOut() {
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

// updateReachability emits ReachabilityChanged when this node becomes unable to reach enough
// servers for some fan-out route, or able again. Servers that are unavailable to all nodes do not
// count. A server that refuses connections is assumed to be one of them, unless nearly all do, as
// behind a network partition that rejects connections.
func (r *Router) updateReachability() {
	r.connected = r.isConnected()
	cannotServe := slices.ContainsFunc(r.fanOuts, r.lacksReachableShards)
	if cannotServe == r.cannotServe {
		return
	}
	r.cannotServe = cannotServe
	r.emit(ReachabilityChanged{CanServe: !cannotServe})
}

// lacksReachableShards reports whether too few shards of a route can be reached from this node.
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

// isConnected reports whether this node reaches enough servers not to be considered partitioned
// from the network.
func (r *Router) isConnected() bool {
	reached := 0
	for _, srv := range r.servers {
		if srv.isUsable() {
			reached++
		}
	}
	return reached > 0 && float64(reached) >= minConnectedShare*float64(len(r.servers))
}

// minConnectedShare is the minimum share of all servers that a node reaches unless it is
// partitioned.
const minConnectedShare = 0.125

// isUnreachable reports whether a service has servers that other nodes may reach but none that
// this node can. connected is the result of isConnected.
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
