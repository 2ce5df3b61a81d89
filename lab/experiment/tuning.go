package experiment

import (
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/retry"
)

// Tuning overrides options of the dispatcher. Absent fields keep the
// dispatcher's defaults.
type Tuning struct {
	// QueueOrder is the order of queued queries: strict-class, arrival or boosted.
	QueueOrder string `yaml:"queue_order" json:"queue_order,omitempty" validate:"omitempty,oneof=strict-class arrival boosted"`
	// ClassBoostsMS are the boosts of the classes in boosted order, the most
	// urgent class first.
	ClassBoostsMS []float64 `yaml:"class_boosts_ms" json:"class_boosts_ms,omitempty" validate:"max=16,dive,min=0,max=600000"`
	// SizeDecayRate is the decay rate of the size boost in boosted order, per
	// second.
	SizeDecayRate float64  `yaml:"size_decay_rate" json:"size_decay_rate,omitempty" validate:"min=0"`
	MaximumQueued int      `yaml:"maximum_queued" json:"maximum_queued,omitempty" validate:"min=0"`
	BlockedShare  *float64 `yaml:"blocked_share" json:"blocked_share,omitempty" validate:"omitempty,min=0,max=1"`
	// WaitingAllowance is the number of sub-requests that may wait at a group.
	WaitingAllowance int     `yaml:"waiting_room" json:"waiting_room,omitempty" validate:"min=0,max=1000"`
	Limit            string  `yaml:"limit" json:"limit,omitempty" validate:"omitempty,oneof=adaptive fixed unlimited"`
	LimitGrowth      float64 `yaml:"limit_growth" json:"limit_growth,omitempty" validate:"min=0"`
	// LimitSignal is the congestion signal of the adaptive limit: low-latency or
	// mean-latency.
	LimitSignal     string  `yaml:"limit_signal" json:"limit_signal,omitempty" validate:"omitempty,oneof=low-latency mean-latency"`
	LimitQueueShare float64 `yaml:"limit_queue_share" json:"limit_queue_share,omitempty" validate:"min=0"`
	LimitQuantile   float64 `yaml:"limit_quantile" json:"limit_quantile,omitempty" validate:"min=0,max=1"`
	LimitStep       float64 `yaml:"limit_step" json:"limit_step,omitempty" validate:"min=0"`
	LimitTolerance  float64 `yaml:"limit_tolerance" json:"limit_tolerance,omitempty" validate:"min=0"`
	// Replica is the replica selection policy: power-of-two, least-delay or random.
	Replica           string   `yaml:"replica" json:"replica,omitempty" validate:"omitempty,oneof=power-of-two least-delay random"`
	LoadWeight        *float64 `yaml:"load_weight" json:"load_weight,omitempty" validate:"omitempty,min=0"`
	LoadHalfLifeMS    float64  `yaml:"load_half_life_ms" json:"load_half_life_ms,omitempty" validate:"min=0"`
	LatencyHalfLifeMS float64  `yaml:"latency_half_life_ms" json:"latency_half_life_ms,omitempty" validate:"min=0"`
	// Hedge is the hedge policy: share, fixed, quantile or none.
	Hedge         string  `yaml:"hedge" json:"hedge,omitempty" validate:"omitempty,oneof=share fixed quantile none"`
	HedgeFactor   float64 `yaml:"hedge_factor" json:"hedge_factor,omitempty" validate:"min=0"`
	HedgeAfterMS  float64 `yaml:"hedge_after_ms" json:"hedge_after_ms,omitempty" validate:"min=0"`
	HedgeQuantile float64 `yaml:"hedge_quantile" json:"hedge_quantile,omitempty" validate:"min=0,max=1"`
	BudgetBurst   float64 `yaml:"budget_burst" json:"budget_burst,omitempty" validate:"min=0"`
	// Stop is the policy that ends the wait for missing parts: deadline or slow.
	Stop              string  `yaml:"stop" json:"stop,omitempty" validate:"omitempty,oneof=deadline slow"`
	LatencyFactor     float64 `yaml:"patience" json:"patience,omitempty" validate:"min=0"`
	SlowLatencyFactor float64 `yaml:"slow_patience" json:"slow_patience,omitempty" validate:"min=0"`
	LeastCoverage     float64 `yaml:"least_coverage" json:"least_coverage,omitempty" validate:"min=0,max=1"`
}

// Build returns the dispatcher's options for a node with this seed and zone.
func (t Tuning) Build(seed uint64, zone string) dispatch.Options {
	return dispatch.Options{
		Seed:             seed,
		Zone:             zone,
		QueueOrder:       t.queueOrder(),
		MaximumQueued:    t.MaximumQueued,
		BlockedShare:     optionValue(t.BlockedShare),
		WaitingAllowance: t.WaitingAllowance,
		LimitPolicy:      t.limitPolicy(),
		ReplicaPolicy:    t.replicaPolicy(),
		LoadWeight:       optionValue(t.LoadWeight),
		LoadHalfLife:     milliseconds(t.LoadHalfLifeMS),
		LatencyHalfLife:  milliseconds(t.LatencyHalfLifeMS),
		HedgePolicy:      t.hedgePolicy(),
		Budget:           retry.BudgetOptions{Burst: t.BudgetBurst},
		StopPolicy:       t.stopPolicy(),
	}
}

// optionValue returns the value of an optional setting as dispatch.Options
// encodes it: 0 for an absent value and -1 for an explicit zero, since zero
// means the default there.
func optionValue(value *float64) float64 {
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
	options := limit.Options{Growth: t.LimitGrowth, QueueShare: t.LimitQueueShare, Quantile: t.LimitQuantile, Step: t.LimitStep, Tolerance: t.LimitTolerance}
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
		return dispatch.PowerOfTwoChoices
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
		return gather.StopWhenSlow{LatencyFactor: t.LatencyFactor, SlowLatencyFactor: t.SlowLatencyFactor, MinimumCoverage: t.LeastCoverage}
	default:
		return nil
	}
}
