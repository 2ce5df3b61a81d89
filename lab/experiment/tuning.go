package experiment

import (
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/lab/experiment/cluster"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/retry"
)

// Tuning changes options of the dispatcher; what is absent keeps its default.
type Tuning struct {
	// QueueOrder ranks what waits: strict-class, arrival or boosted.
	QueueOrder string `yaml:"queue_order" validate:"omitempty,oneof=strict-class arrival boosted"`
	// ClassBoostsMS is for the boosted order, the most urgent class first.
	ClassBoostsMS []float64 `yaml:"class_boosts_ms" validate:"max=16,dive,min=0,max=600000"`
	// SizeDecayRate is for the boosted order, per second.
	SizeDecayRate float64  `yaml:"size_decay_rate" validate:"min=0"`
	MaximumQueued int      `yaml:"maximum_queued" validate:"min=0"`
	BlockedShare  *float64 `yaml:"blocked_share" validate:"omitempty,min=0,max=1"`
	Limit         string   `yaml:"limit" validate:"omitempty,oneof=adaptive fixed unlimited"`
	LimitGrowth   float64  `yaml:"limit_growth" validate:"min=0"`
	// LimitSignal is the sign of congestion: low-latency or mean-latency.
	LimitSignal     string  `yaml:"limit_signal" validate:"omitempty,oneof=low-latency mean-latency"`
	LimitQueueShare float64 `yaml:"limit_queue_share" validate:"min=0"`
	LimitQuantile   float64 `yaml:"limit_quantile" validate:"min=0,max=1"`
	LimitTolerance  float64 `yaml:"limit_tolerance" validate:"min=0"`
	// Replica chooses servers: power-of-two, least-delay or random.
	Replica           string   `yaml:"replica" validate:"omitempty,oneof=power-of-two least-delay random"`
	LoadWeight        *float64 `yaml:"load_weight" validate:"omitempty,min=0"`
	LoadHalfLifeMS    float64  `yaml:"load_half_life_ms" validate:"min=0"`
	LatencyHalfLifeMS float64  `yaml:"latency_half_life_ms" validate:"min=0"`
	// Hedge decides on hedges: share, fixed, quantile or none.
	Hedge         string  `yaml:"hedge" validate:"omitempty,oneof=share fixed quantile none"`
	HedgeFactor   float64 `yaml:"hedge_factor" validate:"min=0"`
	HedgeAfterMS  float64 `yaml:"hedge_after_ms" validate:"min=0"`
	HedgeQuantile float64 `yaml:"hedge_quantile" validate:"min=0,max=1"`
	BudgetBurst   float64 `yaml:"budget_burst" validate:"min=0"`
	// Stop decides when to stop waiting: deadline or slow.
	Stop          string  `yaml:"stop" validate:"omitempty,oneof=deadline slow"`
	Patience      float64 `yaml:"patience" validate:"min=0"`
	LeastCoverage float64 `yaml:"least_coverage" validate:"min=0,max=1"`
}

// options sets up a node's dispatcher.
func (t Tuning) options(node cluster.Node) dispatch.Options {
	return dispatch.Options{
		Seed:            node.Seed,
		Zone:            node.Zone,
		QueueOrder:      t.queueOrder(),
		MaximumQueued:   t.MaximumQueued,
		BlockedShare:    optional(t.BlockedShare),
		LimitPolicy:     t.limitPolicy(),
		ReplicaPolicy:   t.replicaPolicy(),
		LoadWeight:      optional(t.LoadWeight),
		LoadHalfLife:    milliseconds(t.LoadHalfLifeMS),
		LatencyHalfLife: milliseconds(t.LatencyHalfLifeMS),
		HedgePolicy:     t.hedgePolicy(),
		Budget:          retry.BudgetOptions{Burst: t.BudgetBurst},
		StopPolicy:      t.stopPolicy(),
	}
}

// optional turns an explicit zero into the negative value that stands for it.
func optional(value *float64) float64 {
	switch {
	case value == nil:
		return 0
	case *value == 0:
		return -1
	default:
		return *value
	}
}

func (t Tuning) queueOrder() admission.QueueOrder {
	switch t.QueueOrder {
	case "arrival":
		return admission.ArrivalOrder{}
	case "boosted":
		boosts := make([]time.Duration, 0, len(t.ClassBoostsMS))
		for _, boost := range t.ClassBoostsMS {
			boosts = append(boosts, milliseconds(boost))
		}
		return admission.BoostedArrival{ClassBoosts: boosts, DecayRate: t.SizeDecayRate}
	case "strict-class":
		return admission.StrictClass{}
	default:
		return nil
	}
}

func (t Tuning) limitPolicy() limit.Options {
	options := limit.Options{Growth: t.LimitGrowth, QueueShare: t.LimitQueueShare, Quantile: t.LimitQuantile, Tolerance: t.LimitTolerance}
	if t.LimitSignal == "mean-latency" {
		options.Signal = limit.MeanLatency
	}
	switch t.Limit {
	case "fixed":
		options.Policy = limit.Fixed
	case "unlimited":
		options.Policy = limit.Unlimited
	}
	return options
}

func (t Tuning) replicaPolicy() dispatch.ReplicaPolicy {
	switch t.Replica {
	case "least-delay":
		return dispatch.LeastDelay
	case "random":
		return dispatch.RandomReplica
	default:
		return dispatch.PowerOfTwo
	}
}

func (t Tuning) hedgePolicy() retry.HedgePolicy {
	switch t.Hedge {
	case "none":
		return retry.NoHedge{}
	case "fixed":
		return retry.FixedHedge{After: milliseconds(t.HedgeAfterMS)}
	case "quantile":
		return retry.QuantileHedge{Quantile: t.HedgeQuantile}
	case "share":
		return retry.ShareHedge{Factor: t.HedgeFactor}
	default:
		return nil
	}
}

func (t Tuning) stopPolicy() gather.StopPolicy {
	switch t.Stop {
	case "deadline":
		return gather.StopAtDeadline{}
	case "slow":
		return gather.StopWhenSlow{Patience: t.Patience, Least: t.LeastCoverage}
	default:
		return nil
	}
}
