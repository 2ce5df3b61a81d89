package routing

import (
	"math"
	"time"
)

const (
	// ranks is the number of priorities that are told apart; all others count as
	// the last.
	ranks = 8
	// pressureHalfLife is the time in which what was refused loses half its weight.
	pressureHalfLife = 500 * time.Millisecond
	// briefCrowding is how long servers may be crowded until callers that have tried
	// before are refused like all others: what is over by then, as after a loss of
	// nodes, is worth waiting for, and more requests than servers can carry are not.
	briefCrowding = time.Second
	// crowdingPause is the time without a refusal after which crowding is over.
	crowdingPause = 5 * time.Second
	// leastAsked is the weight of requests below which a share says little.
	leastAsked = 4
)

// pressure counts, for each priority, the requests of late and those that were
// refused because servers were crowded.
type pressure struct {
	asked, refused [ranks]float64
	at             time.Duration
	// since and latest are when the servers began to be crowded, and were so last.
	since, latest time.Duration
	crowded       bool
}

func rankOf(priority int) int { return min(priority, ranks-1) }

// fade brings the counts up to now.
func (p *pressure) fade(now time.Duration) {
	kept := math.Exp2(-float64(now-p.at) / float64(pressureHalfLife))
	for rank := range p.asked {
		p.asked[rank] *= kept
		p.refused[rank] *= kept
	}
	p.at = now
}

// count notes a request.
func (p *pressure) count(now time.Duration, priority int, refused bool) {
	p.fade(now)
	p.asked[rankOf(priority)]++
	if !refused {
		return
	}
	p.refused[rankOf(priority)]++
	if !p.crowded || now-p.latest > crowdingPause {
		p.since = now
	}
	p.latest, p.crowded = now, true
}

// brief reports whether the servers have been crowded for a short time only.
func (p *pressure) brief(now time.Duration) bool {
	return !p.crowded || now-p.latest > crowdingPause || now-p.since < briefCrowding
}

// aboveRefused is the greatest share of the requests of any more urgent priority
// that were refused of late.
func (p *pressure) aboveRefused(now time.Duration, priority int) float64 {
	p.fade(now)
	share := 0.0
	for rank := range rankOf(priority) {
		if p.asked[rank] >= leastAsked {
			share = max(share, p.refused[rank]/p.asked[rank])
		}
	}
	return share
}
