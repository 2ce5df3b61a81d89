package routing

import (
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
)

const (
	// usualSlowness is that of a server that answers as quickly as is usual.
	usualSlowness = 1.0
	// mostSlowness bounds what one answer says, so that a pause is soon forgotten.
	mostSlowness = 12.0
	// slownessWeight is the weight of a new answer beside a fresh average.
	slownessWeight = 0.35
	// slownessHalfLife is the time in which an average loses half its weight
	// against the next answer.
	slownessHalfLife = 400 * time.Millisecond
	// slownessFade is the time in which a slowness that no answer confirms loses
	// half of its distance from what is usual: a server that is avoided would
	// otherwise never be seen to be well again.
	slownessFade = time.Second
	// failedSlowness stands for a failure.
	failedSlowness = mostSlowness
	// suspectSlowness is the slowness above which a server is only probed.
	suspectSlowness = 2.5
	// leastProbePause and mostProbePause bound the time between two probes.
	leastProbePause = 250 * time.Millisecond
	mostProbePause  = 2 * time.Second
	// loadHalfLife is the time in which a reported load loses half its weight.
	loadHalfLife = 40 * time.Millisecond
	// loadWeight is the weight of a reported load beside the node's own attempts.
	loadWeight = 0.5
)

// server is what the router knows of one server.
type server struct {
	discovery.Server
	gone bool // is in no listing any more
	// unreachable says that no connection to it could be opened of late.
	unreachable bool
	// evacuated says that nothing may be sent to its zone.
	evacuated bool
	// way is its zone, as far as this node can reach that.
	way *zone
	// coldUntil is until when it bears little, and coldSends counts what it got until then.
	coldUntil time.Duration
	coldSends extrabudget.Counter

	// slowness is the average of its latencies against what is usual, as of
	// learnedAt.
	slowness  float64
	learnedAt time.Duration
	// probeAt is when a server that is slow may be tried again; probePause
	// doubles each time it is still slow.
	probeAt    time.Duration
	probePause time.Duration
	shedUntil  time.Duration

	// inFlight are the attempts that have not ended, also those that their
	// requests gave up.
	inFlight []*attempt
	load     float64
	loadAt   time.Duration
}

// attempt is an attempt in flight with what it is measured against.
type attempt struct {
	*gather.Attempt
	server *server
	usual  time.Duration // latency that is usual for its route; zero is unknown
	extra  bool
	record int // its place in the request's records
}

// ServerID implements gather.Server.
func (s *server) ServerID() string { return s.ID }

// usable reports whether the server takes new work.
func (s *server) usable() bool { return s.offered() && !s.unreachable && !s.way.dark }

// offered reports whether it takes new work of nodes that can reach it.
func (s *server) offered() bool { return !s.gone && !s.evacuated && s.State == discovery.Ready }

// learned is the slowness that its answers make to be expected now, or that of other
// servers at their start while it has not answered yet.
func (s *server) learned(now time.Duration, starts *startSlowness) float64 {
	switch {
	case s.slowness > 0:
		return usualSlowness + (s.slowness-usualSlowness)*math.Exp2(-float64(now-s.learnedAt)/float64(slownessFade))
	case now < s.coldUntil:
		return starts.expected()
	default:
		return usualSlowness
	}
}

// startWeight is the weight of a new answer in a startSlowness: some ten servers that
// start tell what to expect of the next one.
const startWeight = 0.1

// startSlowness is how slow servers were that said that they had just started; the
// zero value is usual.
type startSlowness struct{ beyondUsual float64 }

func (s *startSlowness) take(slowness float64) {
	slowness = min(max(slowness, usualSlowness), mostSlowness)
	s.beyondUsual += startWeight * (slowness - usualSlowness - s.beyondUsual)
}

func (s *startSlowness) expected() float64 { return usualSlowness + s.beyondUsual }

// overdue is the greatest slowness that an attempt in flight already proves;
// zero when none is late.
func (s *server) overdue(now time.Duration) float64 {
	worst := 0.0
	for _, a := range s.inFlight {
		if a.usual > 0 {
			worst = max(worst, float64(now-a.SentAt)/float64(a.usual))
		}
	}
	if worst < suspectSlowness {
		return 0
	}
	return min(worst, mostSlowness)
}

// learn takes the latency of an answer, as a multiple of what is usual.
func (s *server) learn(now time.Duration, slowness float64) {
	slowness = min(max(slowness, 0), mostSlowness)
	if s.slowness == 0 {
		s.slowness = slowness
	} else {
		kept := (1 - slownessWeight) * math.Exp2(-float64(now-s.learnedAt)/float64(slownessHalfLife))
		s.slowness = kept*s.slowness + (1-kept)*slowness
	}
	s.learnedAt = now
	s.planProbe(now)
}

// planProbe sets when a slow server is tried again.
func (s *server) planProbe(now time.Duration) {
	if s.slowness < suspectSlowness {
		s.probePause = 0
		return
	}
	s.probePause = min(max(2*s.probePause, leastProbePause), mostProbePause)
	s.probeAt = now + s.probePause
}

// mayProbe reports whether a slow server should be tried again now.
func (s *server) mayProbe(now time.Duration) bool {
	return s.slowness >= suspectSlowness && now >= s.probeAt && s.shedUntil <= now && len(s.inFlight) == 0
}

// work is the part of its slots that is taken, as far as it is known.
func (s *server) work(now time.Duration) float64 {
	work := float64(len(s.inFlight))
	if s.load > 0 {
		work += s.load * loadWeight * math.Exp2(-float64(now-s.loadAt)/float64(loadHalfLife))
	}
	return work / float64(max(s.Slots, 1))
}

func (s *server) takeLoad(now time.Duration, load Load) {
	s.load = float64(max(load.Running+load.Waiting-len(s.inFlight), 0))
	s.loadAt = now
}

func (s *server) remove(a *attempt) {
	if i := slices.Index(s.inFlight, a); i >= 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
}
