package dispatch

import (
	"math"
	"time"

	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/snapshot"
)

// server is the dispatcher's state of a server.
type server struct {
	policy.Server
	groups   []*group
	state    ServerState
	draining bool // set by a draining reply until membership reports the server as live
	// reportDeadline is when the server may be used even if it has not reported its snapshots.
	reportDeadline time.Duration
	snapshots      *snapshot.ServerSnapshots
	limiter        *limit.Limiter

	// latency is the moving average of observed latencies in nanoseconds, last updated at
	// latencyAt.
	latency   float64
	latencyAt time.Duration
	// load is the reported load without the node's own requests, as of loadAt.
	load   float64
	loadAt time.Duration

	shedUntil           time.Duration
	consecutiveSheds    int // reset by a success
	consecutiveFailures int // reset by a success
	ejectedUntil        time.Duration

	countedCapacity capacity
}

// capacity is a server's contribution to the capacity totals of its groups.
type capacity struct {
	inFlight      int
	limit         int
	free          int // 1 if the server can accept another request of any class
	urgentReserve int // 1 if the server can accept another request of the most urgent class
	usable        int // 1 if the server is not leaving
}

const (
	// latencyWeight is the weight of a new sample in the moving average of latencies.
	latencyWeight = 0.15
	// failuresToEject is the number of consecutive failures that make a server an outlier.
	failuresToEject = 3
	// minEjection and maxEjection bound the time for which an outlier is avoided, which doubles
	// with each further failure.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// minShedBackoff and maxShedBackoff bound the back-off after a server has shed a request.
	minShedBackoff = 5 * time.Millisecond
	maxShedBackoff = 5 * time.Second
	// maxDoublings limits exponential back-off, so that shifts don't overflow.
	maxDoublings = 10
)

// ServerID implements gather.Server.
func (s *server) ServerID() string { return s.ID }

// isLeaving reports whether the server must not get new work.
func (s *server) isLeaving() bool {
	return s.draining || s.state == ServerLeaving || s.state == ServerGone
}

// mayHoldSnapshot reports whether the server may be asked for the snapshot: it is known to hold
// it, or has not reported by its report deadline. Before that deadline, a server that has not
// reported may be leaving without this node knowing.
func (s *server) mayHoldSnapshot(now time.Duration, id SnapshotID) bool {
	return s.snapshots.Holds(id) || (!s.snapshots.HasReported() && now >= s.reportDeadline)
}

// free reports whether the server can accept another request now, with reserve requests allowed
// beyond its limit.
func (s *server) free(now time.Duration, reserve int) bool {
	return s.shedUntil <= now && s.limiter.CanStartWithReserve(reserve)
}

// observeLatency updates the average with the latency of an answered attempt.
func (s *server) observeLatency(now, latency time.Duration) {
	if s.latency == 0 {
		s.latency = float64(latency)
	} else {
		s.latency += (float64(latency) - s.latency) * latencyWeight
	}
	s.latencyAt = now
}

// observeMinLatency updates the average with the age of a cancelled attempt, a lower bound of
// its latency. An age that does not exceed the average is ignored.
func (s *server) observeMinLatency(now, age time.Duration) {
	if float64(age) > s.latency {
		s.observeLatency(now, age)
	}
}

// expectedLatency returns the server's average latency, which decays to the median latency of
// the service with the given half-life. If either is unknown, and thus zero, it returns the
// other one, and at least 1 ns.
func (s *server) expectedLatency(now time.Duration, median float64, halfLife time.Duration) float64 {
	if s.latency == 0 || median == 0 {
		return max(s.latency, median, 1)
	}
	return median + (s.latency-median)*decayWeight(now-s.latencyAt, halfLife)
}

// decayWeight returns the weight of an observation of the given age.
func decayWeight(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// recordShed extends the server's back-off after it shed a request. Without a retryAfter from
// the server, the back-off doubles with each consecutive shed. jitter is the fraction added.
func (s *server) recordShed(now, retryAfter time.Duration, jitter float64) {
	backoff := retryAfter
	if backoff <= 0 {
		backoff = minShedBackoff << min(s.consecutiveSheds, maxDoublings)
	}
	s.consecutiveSheds++
	backoff = min(max(backoff, minShedBackoff), maxShedBackoff)
	backoff += time.Duration(float64(backoff) * jitter)
	s.shedUntil = max(s.shedUntil, now+backoff)
}

// recordFailure counts a failure and ejects the server as an outlier after several consecutive
// ones.
func (s *server) recordFailure(now time.Duration) {
	s.consecutiveFailures++
	if excess := s.consecutiveFailures - failuresToEject; excess >= 0 {
		s.ejectedUntil = now + min(minEjection<<min(excess, maxDoublings), maxEjection)
	}
}

// recordSuccess resets the failure and shed counts after the server ran a sub-request.
func (s *server) recordSuccess() {
	s.consecutiveFailures = 0
	s.consecutiveSheds = 0
	s.ejectedUntil = 0
}

// updateCapacity updates the capacity totals of the server's groups and marks those in which
// waiting segments may now find capacity.
func (d *Dispatcher) updateCapacity(s *server) {
	var now capacity
	if !s.isLeaving() {
		allowed := s.limiter.Limit()
		now = capacity{inFlight: min(s.limiter.InFlight(), allowed), limit: allowed, usable: 1}
		if s.free(d.now, 0) {
			now.free = 1
		}
		if s.free(d.now, d.urgentReserve(0)) {
			now.urgentReserve = 1
		}
	}
	before := s.countedCapacity
	if now == before {
		return
	}
	s.countedCapacity = now
	for _, g := range s.groups {
		g.inFlight += now.inFlight - before.inFlight
		g.limit += now.limit - before.limit
		g.free += now.free - before.free
		g.urgentReserve += now.urgentReserve - before.urgentReserve
		g.usable += now.usable - before.usable
		d.level(g)
	}
	if now.mayUnblockWaiting(before) {
		d.markResumable(s.groups)
	}
}

// mayUnblockWaiting reports whether a waiting segment may now find capacity, or may have lost its
// last usable server.
func (c capacity) mayUnblockWaiting(before capacity) bool {
	return c.free > before.free || c.urgentReserve > before.urgentReserve || c.inFlight < before.inFlight || c.limit > before.limit || c.usable != before.usable
}
