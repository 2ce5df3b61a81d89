package dispatch

import (
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/retry"
)

// Options sets up a Dispatcher. The zero value of a field stands for its default.
type Options struct {
	// Seed makes random choices repeatable.
	Seed uint64
	// Zone is the node's own zone; servers there are preferred when otherwise equal.
	Zone string
	// RetryAfter is told to refused callers when nothing better is known;
	// default one second.
	RetryAfter time.Duration

	// QueueOrder ranks queries that wait for room; default admission.StrictClass.
	QueueOrder admission.QueueOrder
	// MaximumQueued bounds the queries that wait, per class; default 1,000.
	MaximumQueued int
	// MaximumRunning bounds the queries that run; default 1,000.
	MaximumRunning int
	// BlockedShare bounds the share of groups that may be without room when a
	// query starts; its sub-requests there wait for room. It is further bounded by
	// what the class can do without: a class that needs full coverage starts only
	// when every group has room. Default 0.25; negative is none.
	BlockedShare float64
	// WaitingAllowance is the number of sub-requests that may wait in a group while
	// queries still start that find no room there: a query needs many groups, and
	// seldom have all of them room at once. It buys throughput for some latency
	// of urgent queries; default none.
	WaitingAllowance int
	// WaitingLimitFactor bounds the first sub-requests that wait for room in a group,
	// as a multiple of the group's limit; those over it are given up at once.
	// Default 2.
	WaitingLimitFactor float64
	// MinimumClassShare bounds from below the share of a limit that headroom leaves
	// to any class; default 0.1.
	MinimumClassShare float64

	// UrgentReserve is the number of requests above a server's limit that the most
	// urgent class may have in flight there, when it keeps headroom; default 1;
	// negative is none.
	UrgentReserve int

	// LimitPolicy sets how the limit of requests in flight is found, per server.
	LimitPolicy limit.Options
	// SpareConnections is the share of each server's connections that is left
	// free; default limit.DefaultSpareConnections.
	SpareConnections float64

	// FirstReportTimeout is how long a server that is new in the configuration is not
	// asked while it gave no account of itself; default one second; negative is
	// none. Until then it may be leaving without the node's knowing.
	FirstReportTimeout time.Duration
	// ReplicaPolicy chooses among the servers of a group; default PowerOfTwoChoices.
	ReplicaPolicy ReplicaPolicy
	// LoadWeight is the weight of a load just reported by a server beside the
	// node's own requests in flight; default 0.1; negative is none. Reports that lag make
	// nodes crowd onto the same server, so a large weight does harm.
	LoadWeight float64
	// LoadHalfLife is the time in which a reported load loses half its weight;
	// default 20 ms.
	LoadHalfLife time.Duration
	// LatencyHalfLife is the time in which a server's observed latency loses half
	// its weight against that of the service, so that a server that was slow is
	// tried again; default 2 s.
	LatencyHalfLife time.Duration

	// HedgePolicy decides when to ask a second server; default retry.ShareHedge.
	HedgePolicy retry.HedgePolicy
	// Budget bounds hedges and retries. Its burst is raised to the number of groups.
	Budget retry.BudgetOptions

	// StopPolicy decides how long to wait for the rest; default gather.StopWhenSlow.
	StopPolicy gather.StopPolicy
	// TypicalQuantile is the quantile of the service's latencies that the stop
	// policy takes as typical; default 0.8.
	TypicalQuantile float64
	// MaximumRestarts bounds how often a query starts over on another snapshot;
	// default 1; negative is never.
	MaximumRestarts int
	// MaximumRounds bounds how often a query asks servers anew that were all
	// tried; default 3; negative is never.
	MaximumRounds int
	// MaximumSteps bounds the explanation of a query; default 256; negative gives none.
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

// setDefault sets a field that is zero, and makes a negative one zero.
func setDefault[T int | float64 | time.Duration](field *T, value T) {
	switch {
	case *field == 0:
		*field = value
	case *field < 0:
		*field = 0
	}
}
