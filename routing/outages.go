package routing

import "time"

const (
	// minOutageRetryAfter and maxOutageRetryAfter bound when a caller is asked to come back for servers that are
	// awaited.
	minOutageRetryAfter = 250 * time.Millisecond
	maxOutageRetryAfter = 5 * time.Second
	// lastOutageWeight is the weight of the last outage in what is usual.
	lastOutageWeight = 0.3
	// overrunShare is how much longer an outage is believed to last that has lasted longer than is
	// usual, as a part of its time until now.
	overrunShare = 0.25
	// retryAfterJitter is the part of a wait by which callers are spread, so that they don't come back
	// at one moment.
	retryAfterJitter = 0.25
)

// outageDurations learns how long services are without a server that can be asked.
type outageDurations struct {
	// typical is how long that is; zero is that none has been seen to end.
	typical time.Duration
}

// record notes how long one has lasted.
func (o *outageDurations) record(duration time.Duration) {
	duration = min(max(duration, minOutageRetryAfter), maxOutageRetryAfter)
	if o.typical == 0 {
		o.typical = duration
		return
	}
	o.typical += time.Duration(lastOutageWeight * float64(duration-o.typical))
}

// remaining is how much longer one is expected to last that has lasted for so long; untold is what is
// supposed where none has been seen to end.
func (o *outageDurations) remaining(elapsed, fallback time.Duration) time.Duration {
	expected := o.typical
	if expected == 0 {
		expected = fallback
	}
	left := expected - elapsed
	if left <= 0 {
		left = time.Duration(overrunShare * float64(elapsed))
	}
	return min(max(left, minOutageRetryAfter), maxOutageRetryAfter)
}

// updateOutage notes when a service has come to be without a server that can be asked, or to have
// one again.
func (r *Router) updateOutage(s *service) {
	unavailable := true
	for _, srv := range s.servers {
		unavailable = unavailable && !srv.isUsable()
	}
	switch {
	case unavailable && s.hadServer && !s.inOutage:
		s.inOutage, s.outageSince = true, r.now
	case !unavailable && s.inOutage:
		s.inOutage = false
		r.outages.record(r.now - s.outageSince)
	}
	s.hadServer = s.hadServer || !unavailable
}

// outageRetryAfter is when a caller should come back whose request lacks servers: when so many of its
// services are expected to have one again that an answer can be made, but not later than it waits.
func (r *Router) outageRetryAfter(q *request) time.Duration {
	var latest time.Duration
	for _, name := range q.serviceNames {
		s := r.ensureService(name)
		r.updateOutage(s)
		if s.inOutage {
			latest = max(latest, r.outages.remaining(r.now-s.outageSince, r.options.OverloadRetryAfter))
		}
	}
	if latest == 0 {
		latest = r.options.OverloadRetryAfter // its servers are there, and it may not be sent to them
	}
	latest += time.Duration(retryAfterJitter * r.random.Float64() * float64(latest))
	return min(latest, max(q.asked.Remaining, minOutageRetryAfter))
}
