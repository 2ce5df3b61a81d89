package routing

import "time"

const (
	// leastReturn and mostReturn bound when a caller is asked to come back for servers that are
	// awaited.
	leastReturn = 250 * time.Millisecond
	mostReturn  = 5 * time.Second
	// outageShare is the weight of the last outage in what is usual.
	outageShare = 0.3
	// longerShare is how much longer an outage is believed to last that has lasted longer than is
	// usual, as a part of its time until now.
	longerShare = 0.25
	// returnSpread is the part of a wait by which callers are spread, so that they don't come back
	// at one moment.
	returnSpread = 0.25
)

// outages learns how long services are without a server that can be asked.
type outages struct {
	// usual is how long that is; zero is that none has been seen to end.
	usual time.Duration
}

// ended notes how long one has lasted.
func (o *outages) ended(lasted time.Duration) {
	lasted = min(max(lasted, leastReturn), mostReturn)
	if o.usual == 0 {
		o.usual = lasted
		return
	}
	o.usual += time.Duration(outageShare * float64(lasted-o.usual))
}

// left is how much longer one is expected to last that has lasted for so long; untold is what is
// supposed where none has been seen to end.
func (o *outages) left(lasting, untold time.Duration) time.Duration {
	expected := o.usual
	if expected == 0 {
		expected = untold
	}
	left := expected - lasting
	if left <= 0 {
		left = time.Duration(longerShare * float64(lasting))
	}
	return min(max(left, leastReturn), mostReturn)
}

// lookAtOutage notes when a service has come to be without a server that can be asked, or to have
// one again.
func (r *Router) lookAtOutage(s *service) {
	lacks := true
	for _, one := range s.servers {
		lacks = lacks && !one.usable()
	}
	switch {
	case lacks && s.served && !s.lacks:
		s.lacks, s.lacksSince = true, r.now
	case !lacks && s.lacks:
		s.lacks = false
		r.outages.ended(r.now - s.lacksSince)
	}
	s.served = s.served || !lacks
}

// awaited is when a caller should come back whose request lacks servers: when so many of its
// services are expected to have one again that an answer can be made, but not later than it waits.
func (r *Router) awaited(q *request) time.Duration {
	var latest time.Duration
	for _, name := range q.names {
		s := r.serviceNamed(name)
		r.lookAtOutage(s)
		if s.lacks {
			latest = max(latest, r.outages.left(r.now-s.lacksSince, r.options.OverloadRetryAfter))
		}
	}
	if latest == 0 {
		latest = r.options.OverloadRetryAfter // its servers are there, and it may not be sent to them
	}
	latest += time.Duration(returnSpread * r.random.Float64() * float64(latest))
	return min(latest, max(q.asked.Remaining, leastReturn))
}
