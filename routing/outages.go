package routing

import "time"

const (
	// minOutageRetryAfter and maxOutageRetryAfter limit the retry delay sent to callers while a
	// service has no usable server.
	minOutageRetryAfter = 250 * time.Millisecond
	maxOutageRetryAfter = 5 * time.Second
	// lastOutageWeight is the weight of the latest outage in the moving average.
	lastOutageWeight = 0.3
	// overrunShare is the expected remaining time of an outage that already exceeds the average,
	// as a share of its duration so far.
	overrunShare = 0.25
	// retryAfterJitter is the maximum random extension of a retry delay, as a share of it, so that
	// callers do not all retry at the same moment.
	retryAfterJitter = 0.25
)

// outageDurations estimates how long services remain without a usable server.
type outageDurations struct {
	// typical is the moving average of outage durations; zero before any outage ended.
	typical time.Duration
}

// record adds the duration of an outage that ended.
func (o *outageDurations) record(duration time.Duration) {
	duration = min(max(duration, minOutageRetryAfter), maxOutageRetryAfter)
	if o.typical == 0 {
		o.typical = duration
		return
	}
	o.typical += time.Duration(lastOutageWeight * float64(duration-o.typical))
}

// remaining returns the expected remaining time of an outage that has lasted for elapsed. fallback
// is the assumed total duration if no outage has ended yet.
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

// updateOutage records when a service loses its last usable server and when it has one again.
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

// outageRetryAfter returns the retry delay for a request that lacks servers: until the outages of
// all its services are expected to have ended, but no longer than the caller waits.
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
		latest = r.options.OverloadRetryAfter // the servers exist, but the request may not be sent to them
	}
	latest += time.Duration(retryAfterJitter * r.random.Float64() * float64(latest))
	return min(latest, max(q.asked.Remaining, minOutageRetryAfter))
}
