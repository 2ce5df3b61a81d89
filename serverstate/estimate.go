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
func (f *PendingAttempt) IsLate(now time.Duration) bool {
	return f.typical > 0 && float64(now-f.sentAt) > SuspectSlowness*float64(f.typical)
}

// BeginAttempt notes an attempt that was sent at now, in a flight that the caller keeps until End;
// usual is the latency that is usual for its kind, zero when that is not known.
func (b *Estimate) BeginAttempt(flight *PendingAttempt, now, usual time.Duration) {
	flight.sentAt, flight.typical = now, usual
	b.pending = append(b.pending, flight)
}

// EndAttempt notes that an attempt ended.
func (b *Estimate) EndAttempt(flight *PendingAttempt) {
	if i := slices.Index(b.pending, flight); i >= 0 {
		b.pending = slices.Delete(b.pending, i, i+1)
	}
}

// InFlight is the number of attempts that have not ended.
func (b *Estimate) InFlight() int { return len(b.pending) }

// Slowness is what its answers make to be expected now, or those of other servers at their
// start while it has not answered yet.
func (b *Estimate) Slowness(now time.Duration, starts *ColdStarts) float64 {
	switch {
	case b.slowness > 0:
		return NormalSlowness + (b.slowness-NormalSlowness)*math.Exp2(-float64(now-b.observedAt)/float64(slownessDecayHalfLife))
	case b.Cold(now):
		return starts.ExpectedSlowness()
	default:
		return NormalSlowness
	}
}

// OverdueSlowness is the greatest slowness that an attempt in flight already proves;
// zero when none is late.
func (b *Estimate) OverdueSlowness(now time.Duration) float64 {
	worst := 0.0
	for _, flight := range b.pending {
		if flight.typical > 0 {
			worst = max(worst, float64(now-flight.sentAt)/float64(flight.typical))
		}
	}
	if worst < SuspectSlowness {
		return 0
	}
	return min(worst, MaxSlowness)
}

// ObserveSlowness takes the latency of an answer, as a multiple of what is usual.
func (b *Estimate) ObserveSlowness(now time.Duration, slowness float64) {
	slowness = min(max(slowness, 0), MaxSlowness)
	if b.slowness == 0 {
		b.slowness = slowness
	} else {
		kept := (1 - slownessWeight) * math.Exp2(-float64(now-b.observedAt)/float64(slownessHalfLife))
		b.slowness = kept*b.slowness + (1-kept)*slowness
	}
	b.observedAt = now
	b.scheduleProbe(now)
}

// scheduleProbe sets when a slow server is tried again.
func (b *Estimate) scheduleProbe(now time.Duration) {
	if b.slowness < SuspectSlowness {
		b.probePause = 0
		return
	}
	b.probePause = min(max(2*b.probePause, minProbePause), maxProbePause)
	b.probeAt = now + b.probePause
}

// ProbeDue reports whether a slow server should be tried again now.
func (b *Estimate) ProbeDue(now time.Duration) bool {
	return b.slowness >= SuspectSlowness && now >= b.probeAt && b.shedUntil <= now && len(b.pending) == 0
}

// RecordProbe notes that a slow server is tried again: the next probe waits for its answer.
func (b *Estimate) RecordProbe(now time.Duration) { b.probeAt = now + minProbePause }

// SetShedUntil notes that the server turned work away, and until when it is left alone.
func (b *Estimate) SetShedUntil(until time.Duration) { b.shedUntil = until }

// ShedUntil is until when the server is left alone.
func (b *Estimate) ShedUntil() time.Duration { return b.shedUntil }

// SetColdUntil notes until when the server is slow from its start.
func (b *Estimate) SetColdUntil(until time.Duration) { b.coldUntil = until }

// Cold reports whether the server is slow from its start.
func (b *Estimate) Cold(now time.Duration) bool { return now < b.coldUntil }

// ObserveLoad takes the server's own account of its work: requests running and waiting, those
// of this node among them.
func (b *Estimate) ObserveLoad(now time.Duration, running, waiting int) {
	b.load = float64(max(running+waiting-len(b.pending), 0))
	b.loadAt = now
}

// Utilization is the part of its slots that is taken, as far as it is known.
func (b *Estimate) Utilization(now time.Duration, slots int) float64 {
	work := float64(len(b.pending))
	if b.load > 0 {
		work += b.load * loadWeight * math.Exp2(-float64(now-b.loadAt)/float64(loadHalfLife))
	}
	return work / float64(max(slots, 1))
}
