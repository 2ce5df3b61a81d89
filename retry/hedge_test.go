package retry_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banksail/banksail/retry"
)

func newSketch(samples int, latency func(i int) time.Duration) *retry.Sketch {
	var s retry.Sketch
	for i := range samples {
		s.Add(latency(i))
	}
	return &s
}

func TestSketchQuantilesOfExponentialDistribution(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := retry.Sketch{HalfLife: 100_000}
	for range 100_000 {
		s.Add(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond)))
	}
	for _, quantile := range []float64{0.5, 0.9, 0.99} {
		want := -math.Log(1-quantile) * float64(10*time.Millisecond)
		if got := float64(s.Quantile(quantile)); math.Abs(got-want) > 0.1*want {
			t.Errorf("quantile %v: %v, want %v", quantile, time.Duration(got), time.Duration(want))
		}
	}
}

func TestSketchDecaysOldSamples(t *testing.T) {
	s := newSketch(5000, func(i int) time.Duration {
		if i < 2500 {
			return time.Second
		}
		return time.Millisecond
	})
	if got := s.Quantile(0.9); got > 2*time.Millisecond {
		t.Fatalf("0.9 quantile %v, want only recent samples to count", got)
	}
}

func TestSketchAcceptsAnyDuration(t *testing.T) {
	var s retry.Sketch
	for _, latency := range []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		s.Add(latency)
	}
	if s.Count() != 5 {
		t.Fatalf("weight %v, want 5", s.Count())
	}
}

func TestHedgePolicies(t *testing.T) {
	ramp := func(i int) time.Duration { return time.Duration(i+1) * time.Millisecond }
	service := newSketch(100, ramp)
	slow := newSketch(100, func(i int) time.Duration { return 10 * ramp(i) })
	few := newSketch(3, ramp)
	tests := []struct {
		name   string
		policy retry.HedgePolicy
		input  retry.HedgeInput
		want   time.Duration // within 10 percent; zero means no hedge
	}{
		{"never", retry.NoHedge{}, retry.HedgeInput{Share: 1, Service: service}, 0},
		{"fixed", retry.FixedHedge{After: time.Second}, retry.HedgeInput{}, time.Second},
		{"quantile of the service", retry.QuantileHedge{Quantile: 0.9}, retry.HedgeInput{Service: service}, 90 * time.Millisecond},
		{"quantile of the group", retry.QuantileHedge{Quantile: 0.9}, retry.HedgeInput{Service: service, Group: slow}, 900 * time.Millisecond},
		{"few samples of the group", retry.QuantileHedge{Quantile: 0.9}, retry.HedgeInput{Service: service, Group: few}, 90 * time.Millisecond},
		{"no samples", retry.QuantileHedge{Quantile: 0.9}, retry.HedgeInput{Service: few}, 0},
		{"share of a tenth", retry.ShareHedge{}, retry.HedgeInput{Share: 0.1, Service: service}, 90 * time.Millisecond},
		{"no share", retry.ShareHedge{}, retry.HedgeInput{Service: service}, 0},
		{"whole share", retry.ShareHedge{}, retry.HedgeInput{Share: 1, Service: service}, 50 * time.Millisecond},
		{"least delay", retry.QuantileHedge{Quantile: 0.5, MinDelay: time.Second}, retry.HedgeInput{Service: service}, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := test.policy.Delay(test.input)
			if ok != (test.want > 0) {
				t.Fatalf("ok = %t", ok)
			}
			if ok && math.Abs(float64(got-test.want)) > 0.1*float64(test.want) {
				t.Fatalf("delay %v, want %v", got, test.want)
			}
		})
	}
}
