package dispatch

import (
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/retry"
)

// simulationOptions vary the policies under which everything must hold.
var simulationOptions = []Options{
	{},
	{QueueOrder: admission.ArrivalOrder{}, StopPolicy: gather.StopAtDeadline{}},
	{QueueOrder: admission.BoostedArrival{DecayRate: 10}, HedgePolicy: retry.FixedHedge{After: 1}},
	{ReplicaPolicy: LeastDelay, LimitPolicy: limit.Options{Policy: limit.Fixed}, BlockedShare: -1},
	{ReplicaPolicy: RandomReplica, LimitPolicy: limit.Options{Policy: limit.Unlimited}, HedgePolicy: retry.QuantileHedge{Quantile: 0.5}},
}

// Whatever servers, callers and membership do, each query gets one final answer
// in time, which tells the truth, and nothing is sent that must not be.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("no violation", prop.ForAll(func(seed uint64) bool {
		w := newSimulation(seed, simulationOptions[seed%uint64(len(simulationOptions))])
		w.run()
		if len(w.violations) > 0 {
			t.Logf("seed %d: %v", seed, w.violations[:min(len(w.violations), 5)])
		}
		return len(w.violations) == 0
	}, gen.UInt64Range(0, 1<<40)))
	properties.TestingRun(t)
}

// The same seed gives the same actions, byte for byte.
func TestSameSeedGivesSameActions(t *testing.T) {
	for seed := range uint64(10) {
		first, second := newSimulation(seed, Options{}), newSimulation(seed, Options{})
		first.run()
		second.run()
		if !slices.Equal(first.log, second.log) {
			t.Fatalf("seed %d: runs differ", seed)
		}
	}
}
