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
	// hearBy is when the server may be asked though it gave no account of itself.
	hearBy  time.Duration
	holder  *snapshot.Holder
	limiter *limit.Limiter

	// latency is the moving average of observed latencies, as of latencyAt.
	latency   float64
	latencyAt time.Duration
	// load is what the server reported, less the node's own requests, as of loadAt.
	load   float64
	loadAt time.Duration

	shedUntil  time.Duration
	sheds      int // in a row
	failures   int // in a row
	avoidUntil time.Duration

	counted contribution
}

// contribution is what a server adds to the sums of its groups.
type contribution struct {
	inFlight int
	limit    int
	free     int // 1 when it may take one more of any class
	reserve  int // 1 when it may take one more of the most urgent class
	usable   int // 1 when it is not leaving
}

const (
	// latencyWeight is the weight of a new latency in a server's average.
	latencyWeight = 0.15
	// failuresToAvoid is the number of failures in a row that mark an outlier.
	failuresToAvoid = 3
	// avoidance bounds the time for which an outlier is avoided; it doubles with
	// each further failure.
	leastAvoidance = time.Second
	mostAvoidance  = 30 * time.Second
	// shedPause bounds the time for which a server that shed is left alone.
	leastShedPause = 5 * time.Millisecond
	mostShedPause  = 5 * time.Second
	// mostDoublings keeps shifts small.
	mostDoublings = 10
)

// ServerID implements gather.Server.
func (s *server) ServerID() string { return s.ID }

// leaving reports that the server must get no new work.
func (s *server) leaving() bool {
	return s.draining || s.state == ServerLeaving || s.state == ServerGone
}

// mayHold reports whether the server is worth asking for the snapshot: it is
// known to hold it, or nothing could be learned in time. A server that was not
// heard yet may be leaving, which others know and this node does not.
func (s *server) mayHold(now time.Duration, id SnapshotID) bool {
	return s.holder.Holds(id) || (!s.holder.Observed() && now >= s.hearBy)
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

// observeAtLeast takes the age of an attempt that was given up: its latency
// would have been longer.
func (s *server) observeAtLeast(now, age time.Duration) {
	if float64(age) > s.latency {
		s.observeLatency(now, age)
	}
}

// expectedLatency is the observed latency, which fades to the given usual one.
func (s *server) expectedLatency(now time.Duration, usual float64, halfLife time.Duration) float64 {
	if s.latency == 0 || usual == 0 {
		return max(s.latency, usual, 1)
	}
	return usual + (s.latency-usual)*faded(now-s.latencyAt, halfLife)
}

// faded is the weight of something observed the given time ago.
func faded(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// shed notes a shed reply and returns the time until which the server is left alone.
func (s *server) shed(now, retryAfter time.Duration, jitter float64) {
	pause := retryAfter
	if pause <= 0 {
		pause = leastShedPause << min(s.sheds, mostDoublings)
	}
	s.sheds++
	pause = min(max(pause, leastShedPause), mostShedPause)
	pause += time.Duration(float64(pause) * jitter)
	s.shedUntil = max(s.shedUntil, now+pause)
}

// failed notes a failure; several in a row mark the server as an outlier.
func (s *server) failed(now time.Duration) {
	s.failures++
	if over := s.failures - failuresToAvoid; over >= 0 {
		s.avoidUntil = now + min(leastAvoidance<<min(over, mostDoublings), mostAvoidance)
	}
}

// worked notes that the server ran a sub-request.
func (s *server) worked() {
	s.failures = 0
	s.sheds = 0
	s.avoidUntil = 0
}

// account brings the sums of the server's groups up to date, and notes the
// groups in which something that waits may now find room.
func (d *Dispatcher) account(s *server) {
	var now contribution
	if !s.leaving() {
		allowed := s.limiter.Limit()
		now = contribution{inFlight: min(s.limiter.InFlight(), allowed), limit: allowed, usable: 1}
		if s.free(d.now, 0) {
			now.free = 1
		}
		if s.free(d.now, d.reserve(0)) {
			now.reserve = 1
		}
	}
	before := s.counted
	if now == before {
		return
	}
	s.counted = now
	for _, g := range s.groups {
		g.inFlight += now.inFlight - before.inFlight
		g.limit += now.limit - before.limit
		g.free += now.free - before.free
		g.reserve += now.reserve - before.reserve
		g.usable += now.usable - before.usable
		d.level(g)
	}
	if now.roomier(before) {
		d.markRoomy(s.groups)
	}
}

// roomier reports whether something that waited may find room, or no server any more.
func (c contribution) roomier(before contribution) bool {
	return c.free > before.free || c.reserve > before.reserve || c.inFlight < before.inFlight || c.limit > before.limit || c.usable != before.usable
}
