package experiment

import (
	"math"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/lab/experiment/baseline"
	"github.com/banksail/banksail/lab/experiment/cluster"
)

// Values of Policy.Kind.
const (
	KindNaive          = "naive"
	KindFixedHedge     = "fixed-hedge"
	KindStrictPriority = "strict-priority"
	KindOracle         = "oracle"
	KindBanksail       = "banksail"
)

const (
	hedgeQuantile          = 0.98
	defaultInFlightPerSlot = 2
	baselineQueueLimit     = 1000
)

// build returns the simulation's policy for a scenario.
func (p Policy) build(scenario *cluster.Scenario) cluster.Policy {
	return cluster.Policy{
		Name:      p.Name,
		Unlimited: p.Kind == KindOracle,
		New:       func(node cluster.Node) cluster.Dispatcher { return p.newDispatcher(scenario, node) },
	}
}

func (p Policy) newDispatcher(scenario *cluster.Scenario, node cluster.Node) cluster.Dispatcher {
	options := baseline.Options{FirstServer: node.Index}
	switch p.Kind {
	case KindBanksail:
		return dispatch.New(p.Options.Build(node.Seed, node.Zone))
	case KindFixedHedge:
		options.HedgeDelay = p.hedgeDelay(scenario)
	case KindStrictPriority:
		options.InFlightLimit = p.inFlightLimit(scenario)
		options.QueueLimit = baselineQueueLimit
	case KindOracle:
		options.LatencyOracle = baseline.LatencyOracle(node.LatencyOracle)
	}
	return baseline.New(options)
}

func (p Policy) hedgeDelay(scenario *cluster.Scenario) time.Duration {
	if p.HedgeDelayMS > 0 {
		return milliseconds(p.HedgeDelayMS)
	}
	return scenario.ServiceTime.Quantile(hedgeQuantile) + 2*scenario.Network.Delay
}

// inFlightLimit returns one node's equal share of the in-flight limit of a
// server, rounded up.
func (p Policy) inFlightLimit(scenario *cluster.Scenario) int {
	perSlot := p.InFlightPerSlot
	if perSlot == 0 {
		perSlot = defaultInFlightPerSlot
	}
	slots := scenario.Service.Groups[0].Servers[0].Slots
	return int(math.Ceil(perSlot * float64(slots) / float64(scenario.Nodes)))
}
