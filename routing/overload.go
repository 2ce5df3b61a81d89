package routing

import (
	"math"
	"time"
)

const (
	// priorityLevels is the number of priorities that are told apart; all others count as
	// the last.
	priorityLevels = 8
	// overloadHalfLife is the time in which what was refused loses half its weight.
	overloadHalfLife = 500 * time.Millisecond
	// briefOverload is how long servers may be crowded until callers that have tried
	// before are refused like all others: what is over by then, as after a loss of
	// nodes, is worth waiting for, and more requests than servers can carry are not.
	briefOverload = time.Second
	// overloadGap is the time without a refusal after which crowding is over.
	overloadGap = 5 * time.Second
	// minRequestsForShare is the weight of requests below which a share says little.
	minRequestsForShare = 4
)

// overloadStats counts, for each priority, the requests of late and those that were
// refused because servers were crowded.
type overloadStats struct {
	requests, rejected [priorityLevels]float64
	decayedAt          time.Duration
	// overloadedSince and latest are when the servers began to be crowded, and were so last.
	overloadedSince, lastRejectionAt time.Duration
	hasRejected                      bool
}

func levelOf(priority int) int { return min(priority, priorityLevels-1) }

// decay brings the counts up to now.
func (p *overloadStats) decay(now time.Duration) {
	kept := math.Exp2(-float64(now-p.decayedAt) / float64(overloadHalfLife))
	for rank := range p.requests {
		p.requests[rank] *= kept
		p.rejected[rank] *= kept
	}
	p.decayedAt = now
}

// record notes a request.
func (p *overloadStats) record(now time.Duration, priority int, refused bool) {
	p.decay(now)
	p.requests[levelOf(priority)]++
	if !refused {
		return
	}
	p.rejected[levelOf(priority)]++
	if !p.hasRejected || now-p.lastRejectionAt > overloadGap {
		p.overloadedSince = now
	}
	p.lastRejectionAt, p.hasRejected = now, true
}

// isBrief reports whether the servers have been crowded for a short time only.
func (p *overloadStats) isBrief(now time.Duration) bool {
	return !p.hasRejected || now-p.lastRejectionAt > overloadGap || now-p.overloadedSince < briefOverload
}

// maxRejectedShareAbove is the greatest share of the requests of any more urgent priority
// that were refused of late.
func (p *overloadStats) maxRejectedShareAbove(now time.Duration, priority int) float64 {
	p.decay(now)
	share := 0.0
	for rank := range levelOf(priority) {
		if p.requests[rank] >= minRequestsForShare {
			share = max(share, p.rejected[rank]/p.requests[rank])
		}
	}
	return share
}
