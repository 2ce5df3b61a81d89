package rollout

import (
	"math"
	"time"
)

const (
	// baselineHalfLife is the time after which answers of the previous versions have half the
	// weight of new ones. It is short because target and baseline must be compared over the same
	// seconds.
	baselineHalfLife = 1500 * time.Millisecond
	// recentHalfLife is the half-life of a second baseline, which shows a disruption of all servers
	// at once. It is used while its weight is at least minRecentAnswers.
	recentHalfLife   = 400 * time.Millisecond
	minRecentAnswers = 10
	// minBaselineWeight is the weight below which baseline answers do not decay: otherwise no share
	// could be computed once traffic has moved to the target.
	minBaselineWeight = 25
	// priorWeight is the weight of the prior share, in answers.
	priorWeight = 4
)

// kind is a kind of bad answer.
type kind int

const (
	failures kind = iota
	slowness
	numKinds
)

// Shares of bad answers by kind.
var (
	// minBadIncrease is by how much a bad version at least raises the share of bad answers, per kind.
	// minBaselineShare is the share assumed when no bad answers were seen.
	minBadIncrease   = [numKinds]float64{failures: 0.2, slowness: 0.35}
	minBaselineShare = [numKinds]float64{failures: 0.01, slowness: 0.05}
)

// baselineShares holds the decayed numbers of the previous versions' answers.
type baselineShares struct {
	answers float64
	bad     [numKinds]float64
	// total counts all answers without decay.
	total int
}

func (s *baselineShares) add(counts Counts) {
	s.total += counts.Answers
	s.answers += float64(counts.Answers)
	s.bad[failures] += float64(counts.Failed)
	s.bad[slowness] += float64(counts.Slow)
}

// decay multiplies the weight of earlier answers by factor, but not to less than minWeight.
func (s *baselineShares) decay(factor, minWeight float64) {
	if s.answers*factor < minWeight {
		factor = min(minWeight/max(s.answers, minWeight), 1)
	}
	s.answers *= factor
	for k := range s.bad {
		s.bad[k] *= factor
	}
}

// estimate returns the share of bad answers of one kind. With few answers it is close to prior.
func (s *baselineShares) estimate(k kind, prior float64) float64 {
	return (s.bad[k] + prior*priorWeight) / (s.answers + priorWeight)
}

// upperBound returns the estimated share plus one standard error.
func (s *baselineShares) upperBound(k kind, prior float64) float64 {
	share := max(s.estimate(k, prior), minBaselineShare[k])
	return min(share+math.Sqrt(share*(1-share)/(s.answers+priorWeight)), 0.9)
}
