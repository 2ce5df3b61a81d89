package dispatch

import (
	"math"
	"time"

	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/snapshot"
)

// server is what the dispatcher knows of one server.
type server struct {
	policy.Server
	groups   []*group
	state    ServerState
	draining bool // by its own reply; sticky until it is live again
	// reportDeadline is when the server may be asked though it gave no account of itself.
	reportDeadline time.Duration
	holder         *snapshot.Holder
	limiter        *limit.Limiter

	// latency is the moving average of observed latencies, as of latencyAt.
	latency   float64
	latencyAt time.Duration
	// load is what the server reported, less the node's own requests, as of loadAt.
	load   float64
	loadAt time.Duration

	shedUntil           time.Duration
	consecutiveSheds    int // in a row
	consecutiveFailures int // in a row
	ejectedUntil        time.Duration

	countedCapacity capacity
}

// capacity is what a server adds to the sums of its groups.
type capacity struct {
	inFlight      int
	limit         int
	free          int // 1 when it may take one more of any class
	urgentReserve int // 1 when it may take one more of the most urgent class
	usable        int // 1 when it is not leaving
}

const (
	// latencyWeight is the weight of a new latency in a server's average.
	latencyWeight = 0.15
	// failuresToEject is the number of failures in a row that mark an outlier.
	failuresToEject = 3
	// avoidance bounds the time for which an outlier is avoided; it doubles with
	// each further failure.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// shedPause bounds the time for which a server that shed is left alone.
	minShedBackoff = 5 * time.Millisecond
	maxShedBackoff = 5 * time.Second
	// maxDoublings keeps shifts small.
	maxDoublings = 10
)

// ServerID implements gather.Server.
func (s *server) ServerID() string { return s.ID }

// isLeaving reports that the server must get no new work.
func (s *server) isLeaving() bool {
	return s.draining || s.state == ServerLeaving || s.state == ServerGone
}

// mayHoldSnapshot reports whether the server is worth asking for the snapshot: it is
// known to hold it, or nothing could be learned in time. A server that was not
// heard yet may be leaving, which others know and this node does not.
func (s *server) mayHoldSnapshot(now time.Duration, id SnapshotID) bool {
	return s.holder.Holds(id) || (!s.holder.Observed() && now >= s.reportDeadline)
}

// free reports whether the server may take one more request at now, when that
// many more than its limit may be in flight.
func (s *server) free(now time.Duration, reserve int) bool {
	return s.shedUntil <= now && s.limiter.CanStartWithReserve(reserve)
}

// observeLatency takes the latency of an answer.
func (s *server) observeLatency(now, latency time.Duration) {
	if s.latency == 0 {
		s.latency = float64(latency)
	} else {
		s.latency += (float64(latency) - s.latency) * latencyWeight
	}
	s.latencyAt = now
}

// observeMinLatency takes the age of an attempt that was given up: its latency
// would have been longer.
func (s *server) observeMinLatency(now, age time.Duration) {
	if float64(age) > s.latency {
		s.observeLatency(now, age)
	}
}

// expectedLatency is the observed latency, which fades to the given usual one.
func (s *server) expectedLatency(now time.Duration, usual float64, halfLife time.Duration) float64 {
	if s.latency == 0 || usual == 0 {
		return max(s.latency, usual, 1)
	}
	return usual + (s.latency-usual)*decayWeight(now-s.latencyAt, halfLife)
}

// decayWeight is the weight of something observed the given time ago.
func decayWeight(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// recordShed notes a shed reply and returns the time until which the server is left alone.
func (s *server) recordShed(now, retryAfter time.Duration, jitter float64) {
	pause := retryAfter
	if pause <= 0 {
		pause = minShedBackoff << min(s.consecutiveSheds, maxDoublings)
	}
	s.consecutiveSheds++
	pause = min(max(pause, minShedBackoff), maxShedBackoff)
	pause += time.Duration(float64(pause) * jitter)
	s.shedUntil = max(s.shedUntil, now+pause)
}

// recordFailure notes a failure; several in a row mark the server as an outlier.
func (s *server) recordFailure(now time.Duration) {
	s.consecutiveFailures++
	if over := s.consecutiveFailures - failuresToEject; over >= 0 {
		s.ejectedUntil = now + min(minEjection<<min(over, maxDoublings), maxEjection)
	}
}

// recordSuccess notes that the server ran a sub-request.
func (s *server) recordSuccess() {
	s.consecutiveFailures = 0
	s.consecutiveSheds = 0
	s.ejectedUntil = 0
}

// updateCapacity brings the sums of the server's groups up to date, and notes the
// groups in which something that waits may now find room.
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
	if now.hasMoreThan(before) {
		d.markResumable(s.groups)
	}
}

// hasMoreThan reports whether something that waited may find room, or no server any more.
func (c capacity) hasMoreThan(before capacity) bool {
	return c.free > before.free || c.urgentReserve > before.urgentReserve || c.inFlight < before.inFlight || c.limit > before.limit || c.usable != before.usable
}
