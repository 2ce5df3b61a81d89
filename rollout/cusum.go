package rollout

import (
	"math"
	"slices"
)

// Thresholds for cumulative sums of log-likelihood ratios.
const (
	// badThreshold is the sum from which a target is bad. Three failures or five slow answers with few
	// good answers in between reach it.
	badThreshold = 7.5
	// othersThreshold is the sum that the answers must also reach when those of any one server or node
	// are left out. Two failures or three slow answers from others reach it.
	othersThreshold = 4.5
	// minOtherAnswers is the number of answers from other servers or nodes below which the answers of
	// one of them are not sufficient. With minSoleAnswers answers or more in total they are: so few
	// from others then mean that there are no others.
	minOtherAnswers = 3
	minSoleAnswers  = 12
	// clearThreshold is the sum from which the answers exclude a bad target. 16 good answers in a row
	// reach it; 6 in 10,000 versions that fail a quarter or more of their answers give that many.
	// rareThreshold is the threshold on rare routes (14 good answers) and loadedThreshold the one
	// under load (12). With 12, 8 and 12 good answers, 3 of 1,562 simulated bad versions exceeded their
	// bound; with these thresholds 1 of 5,046 did.
	clearThreshold  = 3.5
	rareThreshold   = 3.1
	loadedThreshold = 2.6
	// maxHealthySum caps the sums for a healthy target, so that a target that turns bad later soon
	// falls below the thresholds.
	maxHealthySum = 8.0
	// suspicionThreshold is the sum from which a move is not completed. othersSuspicionThreshold
	// applies when the answers of any one server or node are left out.
	suspicionThreshold       = 3.0
	othersSuspicionThreshold = 1.5
)

// cusums holds cumulative sums (Page's CUSUM) for one scope, over all answers and with those of one
// server or node left out.
type cusums struct {
	// unhealthy are the sums that indicate a bad version.
	unhealthy [numKinds]float64
	// healthy are the sums that indicate a version as good as the previous ones.
	healthy [numKinds]float64
	// without holds the sums that leave out one source, by source.
	without map[string]*othersCusums
	// answers counts all answers in the scope, and bySource those of each server and node.
	answers  int
	bySource map[string]int
}

// othersCusums holds the sums over all answers except those of one source.
type othersCusums struct{ unhealthy, healthy [numKinds]float64 }

func newCusums() *cusums {
	return &cusums{without: make(map[string]*othersCusums), bySource: make(map[string]int)}
}

// logRatio returns the log-likelihood ratio of new answers: how much more likely they are from a bad
// version than from one whose share of bad answers is baseShare.
func logRatio(counts Counts, k kind, baseShare float64) float64 {
	bad := counts.Failed
	if k == slowness {
		bad = counts.Slow
	}
	badShare := baseShare + minBadIncrease[k]*(1-baseShare)
	return float64(bad)*math.Log(badShare/baseShare) + float64(counts.Answers-bad)*math.Log((1-badShare)/(1-baseShare))
}

// add adds the log-likelihood ratios of new answers from one server, as seen by one node.
func (s *cusums) add(ratios [numKinds]float64, answers int, server, node string) {
	for _, source := range []string{server, node} {
		if s.without[source] == nil {
			s.without[source] = &othersCusums{unhealthy: s.unhealthy, healthy: s.healthy} // earlier answers came from others
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

// addHealthy returns the sum that indicates a healthy target, after another ratio.
func addHealthy(sum, ratio float64) float64 { return min(max(sum-ratio, 0), maxHealthySum) }

// isBad reports whether the sums of a kind exceed their thresholds, both over all answers and with
// those of any one server or node left out, if there are others.
func (s *cusums) isBad(k kind, threshold float64) bool {
	return s.exceeds(k, threshold, othersThreshold)
}

// exceeds is isBad with the threshold to use when one source is left out.
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

// clear reports whether the answers exclude a bad target, either all of them or without those of
// one server or node, which may be faulty by itself.
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

// allReach reports whether the sums of all kinds have reached the threshold.
func allReach(cleared [numKinds]float64, threshold float64) bool {
	return !slices.ContainsFunc(cleared[:], func(sum float64) bool { return sum < threshold })
}
