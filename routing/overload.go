package routing

import (
	"math"
	"time"
)

const (
	// priorityLevels is the number of distinct priorities; less urgent ones count as the last.
	priorityLevels = 8
	// overloadHalfLife is the half-life of the request counts.
	overloadHalfLife = 500 * time.Millisecond
	// briefOverload is how long servers may be overloaded before retries by callers are rejected
	// like other requests. A short overload, as after a loss of nodes, is worth waiting out; a
	// sustained one is not.
	briefOverload = time.Second
	// overloadGap is the time without a rejection after which an overload is considered over.
	overloadGap = 5 * time.Second
	// minRequestsForShare is the weight of requests below which a rejection share is unreliable.
	minRequestsForShare = 4
)

// overloadStats counts recent requests by priority, and how many of them were rejected because
// servers were overloaded.
type overloadStats struct {
	requests, rejected [priorityLevels]float64
	decayedAt          time.Duration
	// overloadedSince is when the current overload began, and lastRejectionAt when a request was
	// last rejected; both are valid only if hasRejected is set.
	overloadedSince, lastRejectionAt time.Duration
	hasRejected                      bool
}

func levelOf(priority int) int { return min(priority, priorityLevels-1) }

// decay ages the counts to the given time.
func (p *overloadStats) decay(now time.Duration) {
	kept := math.Exp2(-float64(now-p.decayedAt) / float64(overloadHalfLife))
	for rank := range p.requests {
		p.requests[rank] *= kept
		p.rejected[rank] *= kept
	}
	p.decayedAt = now
}

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

// isBrief reports whether any overload has so far been brief.
func (p *overloadStats) isBrief(now time.Duration) bool {
	return !p.hasRejected || now-p.lastRejectionAt > overloadGap || now-p.overloadedSince < briefOverload
}

// maxRejectedShareAbove returns the highest share of recently rejected requests among all more
// urgent priorities.
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
