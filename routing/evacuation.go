package routing

import "slices"

// updateEvacuatedZones takes the zones to whose servers nothing more may be sent. What runs there
// ends; what waits is looked at again.
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

// allowsZone reports whether a server of the zone may be asked for the request.
func (q *request) allowsZone(zone string) bool {
	homes := q.asked.Route.Homes
	return len(homes) == 0 || slices.Contains(homes, q.router.options.Regions[zone])
}

// hasUsableServer reports whether a service has a server that could be asked for the request.
func (q *request) hasUsableServer(s *service) bool {
	return q.waitsForDiscovery(s) || slices.ContainsFunc(s.servers, func(srv *server) bool {
		return srv.isUsable() && q.allowsZone(srv.Zone)
	})
}

// lacksServers reports whether so many parts have no server that too few are left for an
// answer. Such a request is refused before any of it runs.
func (r *Router) lacksServers(q *request) bool {
	spare := len(q.serviceNames) - q.minParts()
	for _, name := range q.serviceNames {
		if !q.hasUsableServer(r.ensureService(name)) {
			spare--
		}
	}
	return spare < 0
}
