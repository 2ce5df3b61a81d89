package emulator_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/emulator"
)

func TestDistributionMeans(t *testing.T) {
	cases := []emulator.Distribution{
		{Kind: emulator.Fixed, Mean: 10},
		{Kind: emulator.Exponential, Mean: 10},
		{Kind: emulator.LogNormal, Mean: 10, Shape: 1},
		{Kind: emulator.Pareto, Mean: 10, Shape: 3},
	}
	for _, distribution := range cases {
		t.Run(string(distribution.Kind), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			const count = 200_000
			sum := time.Duration(0)
			for range count {
				sum += distribution.Sample(random)
			}
			mean := float64(sum) / count / float64(time.Millisecond)
			if math.Abs(mean-10) > 0.3 {
				t.Errorf("mean is %.2f ms, want 10", mean)
			}
		})
	}
}

func TestInvalidDistributionsAreRejected(t *testing.T) {
	cases := []emulator.Distribution{
		{},
		{Kind: "uniform", Mean: 1},
		{Kind: emulator.Fixed, Mean: -1},
		{Kind: emulator.Pareto, Mean: 1, Shape: 1},
		{Kind: emulator.LogNormal, Mean: 1, Shape: -1},
	}
	for _, distribution := range cases {
		if distribution.Validate() == nil {
			t.Errorf("Validate accepted %+v", distribution)
		}
	}
}
