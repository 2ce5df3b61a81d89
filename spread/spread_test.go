package spread_test

import (
	"testing"
	"time"
)

// settleTime is long enough for every node to start its comparisons.
const settleTime = 10 * time.Second

// propagationTarget is the time within which a revision must be in force on
// every node.
const propagationTarget = 14 * time.Second

func TestRevisionReachesEveryNodeWithinTheTarget(t *testing.T) {
	cases := map[string]simulationOptions{
		"100 nodes":                              {Nodes: 100, Zones: 4},
		"1400 nodes":                             {Nodes: 1400, Zones: 8},
		"store reachable by one zone":            {Nodes: 400, Zones: 8, StoreZones: 1},
		"confirming node lost":                   {Nodes: 400, Zones: 8, ConfirmerLost: true},
		"one zone reaches, confirming node lost": {Nodes: 400, Zones: 8, StoreZones: 1, ConfirmerLost: true},
		"one call in ten between nodes fails":    {Nodes: 400, Zones: 8, PeerLoss: 0.1},
	}
	for name, options := range cases {
		t.Run(name, func(t *testing.T) {
			options.Settle = settleTime
			for seed := range uint64(2) {
				options.Seed = seed
				result := simulate(options)
				if result.Reached != options.Nodes || result.All > propagationTarget {
					t.Fatalf("seed %d: %d of %d nodes reached, last after %v", seed, result.Reached, options.Nodes, result.All)
				}
			}
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	options := simulationOptions{Nodes: 50, Zones: 3, Seed: 7, PeerLoss: 0.2}
	first, second := simulate(options), simulate(options)
	if first != second {
		t.Fatalf("got %+v, then %+v", first, second)
	}
}

func TestFewNodesReadTheStore(t *testing.T) {
	result := simulate(simulationOptions{Nodes: 400, Zones: 8, Seed: 1})
	if result.Watchers != 8 {
		t.Fatalf("%d watchers, want 8", result.Watchers)
	}
	perSecond := float64(result.Idle.StoreReads) / result.IdleTime.Seconds()
	if perSecond > 2 {
		t.Fatalf("%.2f store reads per second without a change, want at most 2", perSecond)
	}
}
