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
		at           time.Duration
		upper, lower int
	}{
		{9 * time.Second, 5, 5},
		{10*time.Second + 900*time.Millisecond, 5, 5},
		{11 * time.Second, 5, 2},
		{12 * time.Second, 2, 2},
		{40 * time.Second, 0, 0},
	} {
		if upper, lower := c.UpperBound(want.at, window), c.LowerBound(want.at, window); upper != want.upper || lower != want.lower {
			t.Errorf("at %s: upper bound %d and lower bound %d, want %d and %d", want.at, upper, lower, want.upper, want.lower)
		}
	}
}

func TestCounterSubtractsNegativeEvents(t *testing.T) {
	const window = time.Second
	var c extrabudget.Counter
	c.Add(0, window, 1)
	c.Add(0, window, -1)
	if upper := c.UpperBound(0, window); upper != 0 {
		t.Errorf("upper bound %d after the event was removed, want 0", upper)
	}
}

func TestSharesAreZeroBeforeFirstUpdate(t *testing.T) {
	var s extrabudget.Shares
	if portion := s.Portion(0, 100, time.Second); portion != 0 {
		t.Errorf("portion %g before the first update, want 0", portion)
	}
	if count := s.IntPortion(0, 100, time.Second, 7); count != 0 {
		t.Errorf("integer portion %d of 100 before the first update, want 0", count)
	}
}

// Whatever the number and the roles of the nodes, the integer portions of a total add up to
// no more than the total, and to at least 85 percent of it minus 2.
func TestIntPortionsAddUp(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("the sum holds", prop.ForAll(
		func(live, serving int, total int, salt uint64) bool {
			serving = min(serving, live)
			sum := 0
			for node := range live {
				var s extrabudget.Shares
				index := node
				if node >= serving {
					index = node - serving
				}
				s.Update(0, extrabudget.Nodes{Live: live, Serving: serving, IsServing: node < serving, Index: index})
				sum += s.IntPortion(0, float64(total), time.Second, salt)
			}
			return sum <= total && float64(sum) >= 0.85*float64(total)-2
		},
		gen.IntRange(1, 120), gen.IntRange(1, 40), gen.IntRange(0, 300), gen.UInt64(),
	))
	properties.TestingRun(t)
}

// Nodes see changes at different times and may consider nodes lost that are alive. The
// portions must not grow beyond the bound meanwhile.
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
			// Two nodes may conclude that they have the same index. The safety margin of
			// the total leaves room for them.
			if sum > nodes {
				t.Fatalf("seed %d at %s: portions add up to %d of 20", seed, now, sum)
			}
		}
	}
}
