package rollout

import (
	"math"
	"slices"
)

// Thresholds of sums of log-likelihood ratios.
const (
	// badThreshold is the sum from which on a target is bad: three failures, or five slow
	// answers, with few good ones between them.
	badThreshold = 7.5
	// othersThreshold is the same where the answers of any one server, or of any one node,
	// are left out: two failures, or three slow answers, of others.
	othersThreshold = 4.5
	// minOtherAnswers is the number of answers of others without which one server's or node's
	// answers are not enough, unless there are minSoleAnswers: then there are no others.
	minOtherAnswers = 3
	minSoleAnswers  = 12
	// clearThreshold is the sum from which on answers exclude that a target is bad: 16 good ones
	// in a row, which 6 in 10,000 of the versions give that fail a quarter to all of their
	// answers. rareThreshold is the same on rare routes, 14 good ones, and loadedThreshold under
	// load, 12. With 12, 8 and 12 of them 3 of 1,562 drawn bad versions got more than their
	// bound, with these 1 of 5,046 (drawn histories, trials).
	clearThreshold  = 3.5
	rareThreshold   = 3.1
	loadedThreshold = 2.6
	// maxHealthySum is the greatest sum for a target: one that turns bad is not clear for long.
	maxHealthySum = 8.0
	// suspicionThreshold is the sum from which on a move is not made final, and othersSuspicionThreshold the same
	// where the answers of any one server, or of any one node, are left out.
	suspicionThreshold       = 3.0
	othersSuspicionThreshold = 1.5
)

// cusums are Page's cumulative sums of one scope, with all answers and with those of one
// server or node left out.
type cusums struct {
	unhealthy [numKinds]float64
	// healthy are those of the opposite: that the answers are as good as before.
	healthy [numKinds]float64
	without map[string]*othersCusums
	// answers are those of the scope, in all and of each server and node.
	answers  int
	bySource map[string]int
}

// othersCusums are the sums with all answers but one source's.
type othersCusums struct{ unhealthy, healthy [numKinds]float64 }

func newCusums() *cusums {
	return &cusums{without: make(map[string]*othersCusums), bySource: make(map[string]int)}
}

// logRatio is how much likelier new answers are of a bad version than of one whose share of
// bad answers is the given one.
func logRatio(counts Counts, k kind, baseShare float64) float64 {
	bad := counts.Failed
	if k == slowness {
		bad = counts.Slow
	}
	badShare := baseShare + minBadIncrease[k]*(1-baseShare)
	return float64(bad)*math.Log(badShare/baseShare) + float64(counts.Answers-bad)*math.Log((1-badShare)/(1-baseShare))
}

// add takes new answers of one server that one node has seen.
func (s *cusums) add(ratios [numKinds]float64, answers int, server, node string) {
	for _, source := range []string{server, node} {
		if s.without[source] == nil {
			s.without[source] = &othersCusums{unhealthy: s.unhealthy, healthy: s.healthy} // what came before was of others
		}
		s.bySource[source] += answers
	}
	s.answers += answers
	for k := range numKinds {
		s.unhealthy[k] = max(s.unhealthy[k]+ratios[k], 0)
		s.healthy[k] = addHealthy(s.healthy[k], ratios[k])
		for source, sum := range s.without {
			if source != server && source != node {
				sum.unhealthy[k] = max(sum.unhealthy[k]+ratios[k], 0)
				sum.healthy[k] = addHealthy(sum.healthy[k], ratios[k])
			}
		}
	}
}

// addHealthy is a sum that speaks for the target after more answers.
func addHealthy(sum, ratio float64) float64 { return min(max(sum-ratio, 0), maxHealthySum) }

// isBad reports whether the sums of a kind are over their thresholds, whichever one server's
// or node's answers are left out, if there are others.
func (s *cusums) isBad(k kind, threshold float64) bool {
	return s.exceeds(k, threshold, othersThreshold)
}

// exceeds reports the same for any two thresholds.
func (s *cusums) exceeds(k kind, threshold, without float64) bool {
	if s.unhealthy[k] < threshold {
		return false
	}
	for source, sum := range s.without {
		others := s.answers - s.bySource[source]
		if others < minOtherAnswers && s.answers < minSoleAnswers || others >= minOtherAnswers && sum.unhealthy[k] < without {
			return false
		}
	}
	return true
}

// clear reports whether the answers of a scope exclude a bad target, or would without those
// of one server or node, which may be bad by itself.
func (s *cusums) clear(threshold float64) bool {
	if allReach(s.healthy, threshold) {
		return true
	}
	for _, others := range s.without {
		if allReach(others.healthy, threshold) {
			return true
		}
	}
	return false
}

func allReach(cleared [numKinds]float64, threshold float64) bool {
	return !slices.ContainsFunc(cleared[:], func(sum float64) bool { return sum < threshold })
}
