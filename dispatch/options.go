package dispatch

import (
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/retry"
)

// Options configures a Dispatcher. Zero values of fields select their defaults.
type Options struct {
	// Seed seeds random choices, so that runs are reproducible.
	Seed uint64
	// Zone is the node's zone. Servers in it are preferred if delays are about equal.
	Zone string
	// RetryAfter is the delay returned to callers without an answer when the admission queue
	// gives no better estimate; default one second.
	RetryAfter time.Duration

	// QueueOrder ranks queued queries; default admission.StrictClass.
	QueueOrder admission.QueueOrder
	// MaximumQueued limits the number of queued queries per class; default 1,000.
	MaximumQueued int
	// MaximumRunning limits the number of running queries; default 1,000.
	MaximumRunning int
	// BlockedShare is the maximum share of groups that may lack capacity when a query starts;
	// its sub-requests to them wait. The share is further limited by the coverage that the
	// class requires: a class that needs full coverage starts only when every group has
	// capacity. Default 0.25; negative means none.
	BlockedShare float64
	// WaitingAllowance is the number of sub-requests that may wait in a group before the group
	// blocks new queries. A query needs many groups, which seldom all have capacity at once, so
	// an allowance increases throughput at the cost of some latency of urgent queries. Default
	// none.
	WaitingAllowance int
	// WaitingLimitFactor limits the number of first sub-requests that wait in a group, as a
	// multiple of the group's concurrency limit; further ones are given up at once. Default 2.
	WaitingLimitFactor float64
	// MinimumClassShare is the minimum share of a limit that headroom leaves to any class;
	// default 0.1.
	MinimumClassShare float64

	// UrgentReserve is the number of requests beyond a server's limit that the most urgent
	// class may have in flight there, if the class has headroom. Default 1; negative means
	// none.
	UrgentReserve int

	// LimitPolicy configures the concurrency limit of each server.
	LimitPolicy limit.Options
	// SpareConnections is the share of each server's connections that stays unused; default
	// limit.DefaultSpareConnections.
	SpareConnections float64

	// FirstReportTimeout is how long a newly configured server is not used while it has not
	// reported its snapshots; it may be leaving without this node knowing. Default one second;
	// negative means none.
	FirstReportTimeout time.Duration
	// ReplicaPolicy chooses among the servers of a group; default PowerOfTwoChoices.
	ReplicaPolicy ReplicaPolicy
	// LoadWeight is the weight of a server's latest reported load, relative to the node's own
	// requests in flight. Reports lag behind, and a large weight makes nodes crowd onto the
	// same server. Default 0.1; negative means none.
	LoadWeight float64
	// LoadHalfLife is the half-life of the weight of a reported load; default 20 ms.
	LoadHalfLife time.Duration
	// LatencyHalfLife is the half-life of a server's observed latency relative to that of the
	// service, so that a server that was slow is tried again. Default 2 s.
	LatencyHalfLife time.Duration

	// HedgePolicy decides when to hedge an attempt; default retry.ShareHedge.
	HedgePolicy retry.HedgePolicy
	// Budget limits hedges and retries. Its burst is at least the number of groups.
	Budget retry.BudgetOptions

	// StopPolicy decides how long to wait for missing segments; default gather.StopWhenSlow.
	StopPolicy gather.StopPolicy
	// TypicalQuantile is the quantile of the service's latencies that the stop policy considers
	// typical; default 0.8.
	TypicalQuantile float64
	// MaximumRestarts limits how often a query restarts on another snapshot. Default 1;
	// negative means never.
	MaximumRestarts int
	// MaximumRounds limits how often a query retries servers after all of them have been tried.
	// Default 3; negative means never.
	MaximumRounds int
	// MaximumSteps limits the length of a query's explanation. Default 256; negative disables
	// it.
	MaximumSteps int
}

// Defaults of Options.
const (
	DefaultRetryAfter         = time.Second
	DefaultMaximumRunning     = 1_000
	DefaultBlockedShare       = 0.25
	DefaultWaitingLimitFactor = 2.0
	DefaultMinimumClassShare  = 0.1
	DefaultFirstReportTimeout = time.Second
	DefaultUrgentReserve      = 1
	DefaultLoadWeight         = 0.1
	DefaultLoadHalfLife       = 20 * time.Millisecond
	DefaultLatencyHalfLife    = 2 * time.Second
	DefaultTypicalQuantile    = 0.8
	DefaultMaximumRestarts    = 1
	DefaultMaximumRounds      = 3
	DefaultMaximumSteps       = 256
)

func (o Options) withDefaults() Options {
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	setDefault(&o.MaximumRunning, DefaultMaximumRunning)
	setDefault(&o.BlockedShare, DefaultBlockedShare)
	setDefault(&o.WaitingLimitFactor, DefaultWaitingLimitFactor)
	setDefault(&o.MinimumClassShare, DefaultMinimumClassShare)
	setDefault(&o.FirstReportTimeout, DefaultFirstReportTimeout)
	setDefault(&o.UrgentReserve, DefaultUrgentReserve)
	setDefault(&o.SpareConnections, limit.DefaultSpareConnections)
	setDefault(&o.LoadWeight, DefaultLoadWeight)
	setDefault(&o.LoadHalfLife, DefaultLoadHalfLife)
	setDefault(&o.LatencyHalfLife, DefaultLatencyHalfLife)
	setDefault(&o.TypicalQuantile, DefaultTypicalQuantile)
	setDefault(&o.MaximumRestarts, DefaultMaximumRestarts)
	setDefault(&o.MaximumRounds, DefaultMaximumRounds)
	setDefault(&o.MaximumSteps, DefaultMaximumSteps)
	if o.QueueOrder == nil {
		o.QueueOrder = admission.StrictClass{}
	}
	if o.HedgePolicy == nil {
		o.HedgePolicy = retry.ShareHedge{}
	}
	if o.StopPolicy == nil {
		o.StopPolicy = gather.StopWhenSlow{}
	}
	return o
}

// setDefault sets a zero field to the default value and a negative one to zero.
func setDefault[T int | float64 | time.Duration](field *T, value T) {
	switch {
	case *field == 0:
		*field = value
	case *field < 0:
		*field = 0
	}
}
