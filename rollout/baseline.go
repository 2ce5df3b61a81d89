package rollout

import (
	"math"
	"time"
)

const (
	// baselineHalfLife is the time in which answers of the versions before lose half their
	// weight against later ones: they are to be of the same seconds.
	baselineHalfLife = 1500 * time.Millisecond
	// recentHalfLife is the same for those by which a disruption of all servers is noticed at
	// once, where minRecentAnswers of them are there.
	recentHalfLife   = 400 * time.Millisecond
	minRecentAnswers = 10
	// minBaselineWeight is the weight of answers that is kept of them in any case: without it a share
	// could not be told any more once traffic has moved.
	minBaselineWeight = 25
	// priorWeight is that of what stands in for a share, in answers.
	priorWeight = 4
)

// kind is what may be wrong with an answer.
type kind int

const (
	failures kind = iota
	slowness
	numKinds
)

// worse is what a bad version adds at least to the share of bad answers, by kind, and
// least the share that is supposed where none was seen.
var (
	minBadIncrease   = [numKinds]float64{failures: 0.2, slowness: 0.35}
	minBaselineShare = [numKinds]float64{failures: 0.01, slowness: 0.05}
)

// baselineShares are the answers of the versions before of late, by weight.
type baselineShares struct {
	answers float64
	bad     [numKinds]float64
	// total are all answers, without weights.
	total int
}

func (s *baselineShares) add(counts Counts) {
	s.total += counts.Answers
	s.answers += float64(counts.Answers)
	s.bad[failures] += float64(counts.Failed)
	s.bad[slowness] += float64(counts.Slow)
}

// decay lets older answers weigh less, down to a weight that is left in any case.
func (s *baselineShares) decay(factor, minWeight float64) {
	if s.answers*factor < minWeight {
		factor = min(minWeight/max(s.answers, minWeight), 1)
	}
	s.answers *= factor
	for k := range s.bad {
		s.bad[k] *= factor
	}
}

// estimate is the share of one kind; few answers say little, and another share stands in.
func (s *baselineShares) estimate(k kind, prior float64) float64 {
	return (s.bad[k] + prior*priorWeight) / (s.answers + priorWeight)
}

// upperBound is the greatest share that is likely, a standard error above the one that was seen.
func (s *baselineShares) upperBound(k kind, prior float64) float64 {
	share := max(s.estimate(k, prior), minBaselineShare[k])
	return min(share+math.Sqrt(share*(1-share)/(s.answers+priorWeight)), 0.9)
}
