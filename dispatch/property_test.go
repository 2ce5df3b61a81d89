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

// simulationOptions lists policies under which the invariants must hold.
var simulationOptions = []Options{
	{},
	{QueueOrder: admission.ArrivalOrder{}, StopPolicy: gather.StopAtDeadline{}},
	{QueueOrder: admission.BoostedArrival{DecayRate: 10}, HedgePolicy: retry.FixedHedge{After: 1}},
	{ReplicaPolicy: LeastDelay, LimitPolicy: limit.Options{Policy: limit.Fixed}, BlockedShare: -1},
	{ReplicaPolicy: RandomReplica, LimitPolicy: limit.Options{Policy: limit.Unlimited}, HedgePolicy: retry.QuantileHedge{Quantile: 0.5}},
}

// Whatever servers, callers and membership do, each query must get exactly one final outcome in
// time. The outcome must be consistent with what the servers did, and nothing may be sent that
// must not be.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("no violation", prop.ForAll(func(seed uint64) bool {
		sim := newSimulation(seed, simulationOptions[seed%uint64(len(simulationOptions))])
		sim.run()
		if len(sim.violations) > 0 {
			t.Logf("seed %d: violations %v", seed, sim.violations[:min(len(sim.violations), 5)])
		}
		return len(sim.violations) == 0
	}, gen.UInt64Range(0, 1<<40)))
	properties.TestingRun(t)
}

// Runs with the same seed must produce the same actions, byte for byte.
func TestSameSeedGivesSameActions(t *testing.T) {
	for seed := range uint64(10) {
		first, second := newSimulation(seed, Options{}), newSimulation(seed, Options{})
		first.run()
		second.run()
		if !slices.Equal(first.log, second.log) {
			t.Fatalf("seed %d: the actions of two runs differ", seed)
		}
	}
}
