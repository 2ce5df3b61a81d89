package routing

import "slices"

// zonesChanged takes the zones to whose servers nothing more may be sent. What runs there
// ends; what waits is looked at again.
func (r *Router) zonesChanged(event ZonesChanged) {
	r.evacuated = make(map[string]struct{}, len(event.Evacuated))
	for _, zone := range event.Evacuated {
		r.evacuated[zone] = struct{}{}
	}
	for _, s := range r.servers {
		s.evacuated = r.isEvacuated(s.Zone)
	}
	r.pumpAll()
	r.lookAtAbility()
}

func (r *Router) isEvacuated(zone string) bool {
	_, evacuated := r.evacuated[zone]
	return evacuated
}

// allows reports whether a server of the zone may be asked for the request.
func (q *request) allows(zone string) bool {
	homes := q.asked.Route.Homes
	return len(homes) == 0 || slices.Contains(homes, q.router.options.Regions[zone])
}

// servable reports whether a service has a server that could be asked for the request.
func (q *request) servable(s *service) bool {
	return q.awaitsEntries(s) || slices.ContainsFunc(s.servers, func(one *server) bool {
		return one.usable() && q.allows(one.Zone)
	})
}

// unservable reports whether so many parts have no server that too few are left for an
// answer. Such a request is refused before any of it runs.
func (r *Router) unservable(q *request) bool {
	spare := len(q.names) - q.least()
	for _, name := range q.names {
		if !q.servable(r.serviceNamed(name)) {
			spare--
		}
	}
	return spare < 0
}
