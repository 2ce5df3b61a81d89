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
	// leastAsked is the weight of requests below which a share says little.
	leastAsked = 4
)

// pressure counts, for each priority, the requests of late and those that were
// refused because servers were crowded.
type pressure struct {
	asked, refused [ranks]float64
	at             time.Duration
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
	if refused {
		p.refused[rankOf(priority)]++
	}
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
