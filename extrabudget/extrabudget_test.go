package extrabudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/extrabudget"
)

func TestCounterSlidingWindow(t *testing.T) {
	const window = 10 * time.Second
	var c extrabudget.Counter
	c.Add(time.Second, window, 3)
	c.Add(9*time.Second, window, 2)
	for _, want := range []struct {
		at          time.Duration
		most, least int
	}{
		{9 * time.Second, 5, 5},
		{10*time.Second + 900*time.Millisecond, 5, 5},
		{11 * time.Second, 5, 2},
		{12 * time.Second, 2, 2},
		{40 * time.Second, 0, 0},
	} {
		if most, least := c.UpperBound(want.at, window), c.LowerBound(want.at, window); most != want.most || least != want.least {
			t.Errorf("at %s: %d at most and %d at least, want %d and %d", want.at, most, least, want.most, want.least)
		}
	}
}

func TestCounterSubtractsNegativeEvents(t *testing.T) {
	const window = time.Second
	var c extrabudget.Counter
	c.Add(0, window, 1)
	c.Add(0, window, -1)
	if most := c.UpperBound(0, window); most != 0 {
		t.Errorf("%d events are left", most)
	}
}

func TestSharesAreZeroBeforeFirstUpdate(t *testing.T) {
	var s extrabudget.Shares
	if part := s.Portion(0, 100, time.Second); part != 0 {
		t.Errorf("a part of %g without any word of the nodes", part)
	}
	if count := s.IntPortion(0, 100, time.Second, 7); count != 0 {
		t.Errorf("%d of 100 without any word of the nodes", count)
	}
}

// The parts of a whole number add up to no more than it, and to most of it where it is
// not small, whatever the nodes' number and roles.
func TestIntPortionsAddUp(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("the sum holds", prop.ForAll(
		func(live, serving int, whole int, salt uint64) bool {
			serving = min(serving, live)
			sum := 0
			for node := range live {
				var s extrabudget.Shares
				place := node
				if node >= serving {
					place = node - serving
				}
				s.Update(0, extrabudget.Nodes{Live: live, Serving: serving, IsServing: node < serving, Index: place})
				sum += s.IntPortion(0, float64(whole), time.Second, salt)
			}
			return sum <= whole && float64(sum) >= 0.85*float64(whole)-2
		},
		gen.IntRange(1, 120), gen.IntRange(1, 40), gen.IntRange(0, 300), gen.UInt64(),
	))
	properties.TestingRun(t)
}

// Nodes that hear of a change at different times, and of lost nodes that may be alive,
// don't spend more than the whole together.
func TestIntPortionsStayBoundedWhileNodesLeave(t *testing.T) {
	const (
		nodes = 24
		step  = 100 * time.Millisecond
	)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		all := make([]extrabudget.Shares, nodes)
		for i := range all {
			all[i].Update(0, extrabudget.Nodes{Live: nodes, Serving: nodes, IsServing: true, Index: i})
		}
		for now := step; now < 20*time.Second; now += step {
			i := random.IntN(nodes)
			seen := 1 + random.IntN(nodes)
			all[i].Update(now, extrabudget.Nodes{Live: seen, Serving: seen, IsServing: true, Index: min(i, seen-1)})
			sum := 0
			for j := range all {
				sum += all[j].IntPortion(now, 20, time.Second, seed)
			}
			// Two nodes may believe that they have the same place: what is left of the
			// whole beside the margin is for those.
			if sum > nodes {
				t.Fatalf("seed %d at %s: %d of 20", seed, now, sum)
			}
		}
	}
}
