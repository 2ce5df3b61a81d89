package routing

import "slices"

// updateEvacuatedZones replaces the set of zones to whose servers nothing may be sent. Attempts in
// flight there are left to finish; queued parts are dispatched elsewhere.
func (r *Router) updateEvacuatedZones(event ZonesChanged) {
	r.evacuated = make(map[string]struct{}, len(event.Evacuated))
	for _, zone := range event.Evacuated {
		r.evacuated[zone] = struct{}{}
	}
	for _, s := range r.servers {
		s.evacuated = r.isEvacuated(s.Zone)
	}
	r.dispatchAllQueued()
	r.updateReachability()
}

func (r *Router) isEvacuated(zone string) bool {
	_, evacuated := r.evacuated[zone]
	return evacuated
}

// allowsZone reports whether the route's home regions permit servers of the zone.
func (q *request) allowsZone(zone string) bool {
	homes := q.asked.Route.Homes
	return len(homes) == 0 || slices.Contains(homes, q.router.options.Regions[zone])
}

// hasUsableServer reports whether the service has, or is expected to discover, a server for the
// request.
func (q *request) hasUsableServer(s *service) bool {
	return q.waitsForDiscovery(s) || slices.ContainsFunc(s.servers, func(srv *server) bool {
		return srv.isUsable() && q.allowsZone(srv.Zone)
	})
}

// lacksServers reports whether so many parts have no usable server that the rest is too few for an
// answer. Such a request is rejected before any part runs.
func (r *Router) lacksServers(q *request) bool {
	spare := len(q.serviceNames) - q.minParts()
	for _, name := range q.serviceNames {
		if !q.hasUsableServer(r.ensureService(name)) {
			spare--
		}
	}
	return spare < 0
}
