package serverstate

import (
	"math"
	"slices"
	"time"
)

const (
	// NormalSlowness is the slowness of a server that answers as quickly as is usual.
	NormalSlowness = 1.0
	// MaxSlowness bounds what one answer says, so that a pause is soon forgotten; it stands for a
	// failure, too.
	MaxSlowness = 12.0
	// SuspectSlowness is the slowness above which a server is only probed.
	SuspectSlowness = 2.5

	// slownessWeight is the weight of a new answer beside a fresh average.
	slownessWeight = 0.35
	// slownessHalfLife is the time in which an average loses half its weight
	// against the next answer.
	slownessHalfLife = 400 * time.Millisecond
	// slownessDecayHalfLife is the time in which a slowness that no answer confirms loses
	// half of its distance from what is usual: a server that is avoided would
	// otherwise never be seen to be well again.
	slownessDecayHalfLife = time.Second
	// minProbePause and maxProbePause bound the time between two probes.
	minProbePause = 250 * time.Millisecond
	maxProbePause = 2 * time.Second
	// loadHalfLife is the time in which a reported load loses half its weight.
	loadHalfLife = 40 * time.Millisecond
	// loadWeight is the weight of a reported load beside the node's own attempts.
	loadWeight = 0.5
)

// Estimate is what a node believes of one server; of the zero value nothing is known.
type Estimate struct {
	// pending are the attempts that have not ended, also those that are not awaited.
	pending []*PendingAttempt

	// slowness is the average of its latencies against what is usual, as of observedAt;
	// zero is unknown.
	slowness   float64
	observedAt time.Duration
	// probeAt is when a server that is slow may be tried again; probePause
	// doubles each time it is still slow.
	probeAt    time.Duration
	probePause time.Duration
	shedUntil  time.Duration
	coldUntil  time.Duration

	load   float64
	loadAt time.Duration
}

// PendingAttempt is an attempt in flight with what it is measured against.
type PendingAttempt struct {
	sentAt  time.Duration
	typical time.Duration // latency that is usual for its kind; zero is unknown
}

// IsLate reports whether the attempt takes long enough to make its server suspect.
func (a *PendingAttempt) IsLate(now time.Duration) bool {
	return a.typical > 0 && float64(now-a.sentAt) > SuspectSlowness*float64(a.typical)
}

// BeginAttempt notes an attempt that was sent at now, in a flight that the caller keeps until End;
// typical is the latency that is usual for its kind, zero when that is not known.
func (e *Estimate) BeginAttempt(attempt *PendingAttempt, now, typical time.Duration) {
	attempt.sentAt, attempt.typical = now, typical
	e.pending = append(e.pending, attempt)
}

// EndAttempt notes that an attempt ended.
func (e *Estimate) EndAttempt(attempt *PendingAttempt) {
	if i := slices.Index(e.pending, attempt); i >= 0 {
		e.pending = slices.Delete(e.pending, i, i+1)
	}
}

// InFlight is the number of attempts that have not ended.
func (e *Estimate) InFlight() int { return len(e.pending) }

// Slowness is what its answers make to be expected now, or those of other servers at their
// start while it has not answered yet.
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

// OverdueSlowness is the greatest slowness that an attempt in flight already proves;
// zero when none is late.
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

// ObserveSlowness takes the latency of an answer, as a multiple of what is usual.
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

// scheduleProbe sets when a slow server is tried again.
func (e *Estimate) scheduleProbe(now time.Duration) {
	if e.slowness < SuspectSlowness {
		e.probePause = 0
		return
	}
	e.probePause = min(max(2*e.probePause, minProbePause), maxProbePause)
	e.probeAt = now + e.probePause
}

// ProbeDue reports whether a slow server should be tried again now.
func (e *Estimate) ProbeDue(now time.Duration) bool {
	return e.slowness >= SuspectSlowness && now >= e.probeAt && e.shedUntil <= now && len(e.pending) == 0
}

// RecordProbe notes that a slow server is tried again: the next probe waits for its answer.
func (e *Estimate) RecordProbe(now time.Duration) { e.probeAt = now + minProbePause }

// SetShedUntil notes that the server turned work away, and until when it is left alone.
func (e *Estimate) SetShedUntil(until time.Duration) { e.shedUntil = until }

// ShedUntil is until when the server is left alone.
func (e *Estimate) ShedUntil() time.Duration { return e.shedUntil }

// SetColdUntil notes until when the server is slow from its start.
func (e *Estimate) SetColdUntil(until time.Duration) { e.coldUntil = until }

// Cold reports whether the server is slow from its start.
func (e *Estimate) Cold(now time.Duration) bool { return now < e.coldUntil }

// ObserveLoad takes the server's own account of its work: requests running and waiting, those
// of this node among them.
func (e *Estimate) ObserveLoad(now time.Duration, running, waiting int) {
	e.load = float64(max(running+waiting-len(e.pending), 0))
	e.loadAt = now
}

// Utilization is the part of its slots that is taken, as far as it is known.
func (e *Estimate) Utilization(now time.Duration, slots int) float64 {
	used := float64(len(e.pending))
	if e.load > 0 {
		used += e.load * loadWeight * math.Exp2(-float64(now-e.loadAt)/float64(loadHalfLife))
	}
	return used / float64(max(slots, 1))
}
