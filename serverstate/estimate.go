package serverstate

import (
	"math"
	"slices"
	"time"
)

const (
	// NormalSlowness is the slowness of a server that answers with the typical latency.
	NormalSlowness = 1.0
	// MaxSlowness caps the slowness of a single answer, so that a pause of the server is soon
	// forgotten. It is also the slowness of a failed attempt.
	MaxSlowness = 12.0
	// SuspectSlowness is the slowness from which a server is only probed.
	SuspectSlowness = 2.5

	// slownessWeight is the weight of a new answer relative to an average without decay.
	slownessWeight = 0.35
	// slownessHalfLife is the time in which the average loses half its weight relative to the
	// next answer.
	slownessHalfLife = 400 * time.Millisecond
	// slownessDecayHalfLife is the time in which a slowness that no answer confirms moves half
	// the way back to NormalSlowness. Without it the recovery of a server that is avoided
	// would never be noticed.
	slownessDecayHalfLife = time.Second
	// minProbePause and maxProbePause bound the time between two probes.
	minProbePause = 250 * time.Millisecond
	maxProbePause = 2 * time.Second
	// loadHalfLife is the time in which a reported load loses half its weight.
	loadHalfLife = 40 * time.Millisecond
	// loadWeight is the weight of the reported load relative to the node's own attempts.
	loadWeight = 0.5
)

// Estimate is what a node infers about one server; the zero value is an unknown server.
type Estimate struct {
	// pending holds the attempts in flight, including those whose result nobody awaits.
	pending []*PendingAttempt

	// slowness is the average latency of the answers as a multiple of the typical latency, as
	// of observedAt; zero is unknown.
	slowness   float64
	observedAt time.Duration
	// probeAt is when a slow server may be probed next; probePause doubles with each answer
	// that is still slow.
	probeAt    time.Duration
	probePause time.Duration
	shedUntil  time.Duration
	coldUntil  time.Duration

	load   float64
	loadAt time.Duration
}

// PendingAttempt is an attempt in flight with the latency that it is compared to.
type PendingAttempt struct {
	sentAt  time.Duration
	typical time.Duration // typical latency of this kind of attempt; zero is unknown
}

// IsLate reports whether the attempt has taken long enough to make its server suspect.
func (a *PendingAttempt) IsLate(now time.Duration) bool {
	return a.typical > 0 && float64(now-a.sentAt) > SuspectSlowness*float64(a.typical)
}

// BeginAttempt records an attempt sent at now. The caller owns the PendingAttempt and must keep it
// until EndAttempt; typical is the typical latency of this kind of attempt, or zero if unknown.
func (e *Estimate) BeginAttempt(attempt *PendingAttempt, now, typical time.Duration) {
	attempt.sentAt, attempt.typical = now, typical
	e.pending = append(e.pending, attempt)
}

// EndAttempt records that an attempt has ended. Repeated calls have no effect.
func (e *Estimate) EndAttempt(attempt *PendingAttempt) {
	if i := slices.Index(e.pending, attempt); i >= 0 {
		e.pending = slices.Delete(e.pending, i, i+1)
	}
}

// InFlight returns the number of attempts in flight.
func (e *Estimate) InFlight() int { return len(e.pending) }

// Slowness returns the slowness to expect now. Without any answer yet, a cold server gets the value
// learned from other cold starts.
func (e *Estimate) Slowness(now time.Duration, starts *ColdStarts) float64 {
	switch {
	case e.slowness > 0:
		return NormalSlowness + (e.slowness-NormalSlowness)*math.Exp2(-float64(now-e.observedAt)/float64(slownessDecayHalfLife))
	case e.Cold(now):
		return starts.ExpectedSlowness()
	default:
		return NormalSlowness
	}
}

// OverdueSlowness returns the greatest slowness that an attempt in flight already proves, capped at
// MaxSlowness; zero if no attempt is late.
func (e *Estimate) OverdueSlowness(now time.Duration) float64 {
	worst := 0.0
	for _, attempt := range e.pending {
		if attempt.typical > 0 {
			worst = max(worst, float64(now-attempt.sentAt)/float64(attempt.typical))
		}
	}
	if worst < SuspectSlowness {
		return 0
	}
	return min(worst, MaxSlowness)
}

// ObserveSlowness records the latency of an answer as a multiple of the typical latency.
func (e *Estimate) ObserveSlowness(now time.Duration, slowness float64) {
	slowness = min(max(slowness, 0), MaxSlowness)
	if e.slowness == 0 {
		e.slowness = slowness
	} else {
		kept := (1 - slownessWeight) * math.Exp2(-float64(now-e.observedAt)/float64(slownessHalfLife))
		e.slowness = kept*e.slowness + (1-kept)*slowness
	}
	e.observedAt = now
	e.scheduleProbe(now)
}

// scheduleProbe sets the time of the next probe of a slow server.
func (e *Estimate) scheduleProbe(now time.Duration) {
	if e.slowness < SuspectSlowness {
		e.probePause = 0
		return
	}
	e.probePause = min(max(2*e.probePause, minProbePause), maxProbePause)
	e.probeAt = now + e.probePause
}

// ProbeDue reports whether a slow server should be probed now.
func (e *Estimate) ProbeDue(now time.Duration) bool {
	return e.slowness >= SuspectSlowness && now >= e.probeAt && e.shedUntil <= now && len(e.pending) == 0
}

// RecordProbe records that a probe was sent. The next one waits for its answer, and for at least
// minProbePause.
func (e *Estimate) RecordProbe(now time.Duration) { e.probeAt = now + minProbePause }

// SetShedUntil records that the server shed load, and until when it must not be used.
func (e *Estimate) SetShedUntil(until time.Duration) { e.shedUntil = until }

// ShedUntil returns the time until which the server must not be used after it shed load.
func (e *Estimate) ShedUntil() time.Duration { return e.shedUntil }

// SetColdUntil sets the time until which the server is slow because it has just started.
func (e *Estimate) SetColdUntil(until time.Duration) { e.coldUntil = until }

// Cold reports whether the server is slow because it has just started.
func (e *Estimate) Cold(now time.Duration) bool { return now < e.coldUntil }

// ObserveLoad records the load that the server reports: requests running and waiting, including
// those of this node.
func (e *Estimate) ObserveLoad(now time.Duration, running, waiting int) {
	e.load = float64(max(running+waiting-len(e.pending), 0))
	e.loadAt = now
}

// Utilization returns the share of the server's slots in use, as far as it is known.
func (e *Estimate) Utilization(now time.Duration, slots int) float64 {
	used := float64(len(e.pending))
	if e.load > 0 {
		used += e.load * loadWeight * math.Exp2(-float64(now-e.loadAt)/float64(loadHalfLife))
	}
	return used / float64(max(slots, 1))
}
