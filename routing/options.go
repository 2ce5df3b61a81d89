package routing

import (
	"cmp"
	"time"

	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/rollout"
)

// Options sets up a Router. Zero fields get defaults.
type Options struct {
	// Seed makes random choices repeatable.
	Seed uint64
	// Zone is the node's own, and Regions names the region of each zone: servers
	// that are near are preferred.
	Zone    string
	Regions map[string]string
	// Budget bounds extra sends.
	Budget extrabudget.Options
	// Cold bounds what servers get that have just started.
	Cold ColdOptions
	// Rollouts bounds what unproven versions get; the zero value is that versions mean
	// nothing.
	Rollouts rollout.Bounds
	// Restarted says that an earlier incarnation of the node may have spent its
	// fixed share of the budget within the last window: it is kept back that long.
	Restarted bool
	// RetryAfter is told to refused callers; default 250 ms.
	RetryAfter time.Duration
	// OverloadRetryAfter is told to callers that are refused because servers are
	// crowded, which lasts; default 1.5 s.
	OverloadRetryAfter time.Duration
	// RedirectRetryAfter is told to callers that another node can serve at once; default
	// 10 ms.
	RedirectRetryAfter time.Duration
	// MaxInFlightRequests bounds the requests that run at once; default 512.
	MaxInFlightRequests int
	// HedgeQuantile is the quantile of a route's latencies after which a second
	// server is asked; default 0.9.
	HedgeQuantile float64
	// MaxHedgeDelayShare bounds the wait before a hedge by the route's aim; default 0.3.
	MaxHedgeDelayShare float64
	// AnswerMargin is the time, beside that of the way to the caller, before a route's aim
	// at which an answer leaves at the latest; default 8 ms.
	AnswerMargin time.Duration
	// Disabled names the mechanisms that are switched off, for diagnosis.
	Disabled mechanism.Disabled
	// SpareConnections is the part of each server's connections that no node
	// counts on; default 0.1.
	SpareConnections float64
}

// Defaults of Options.
const (
	DefaultRetryAfter          = 250 * time.Millisecond
	DefaultOverloadRetryAfter  = 1500 * time.Millisecond
	DefaultRedirectRetryAfter  = 10 * time.Millisecond
	DefaultMaxInFlightRequests = 512
	DefaultHedgeQuantile       = 0.9
	DefaultMaxHedgeDelayShare  = 0.3
	DefaultAnswerMargin        = 8 * time.Millisecond
	DefaultSpareConnections    = 0.1
	DefaultBudgetWindow        = 10 * time.Second
)

func (o Options) withDefaults() Options {
	o.Budget.Window = cmp.Or(o.Budget.Window, DefaultBudgetWindow)
	o.RetryAfter = cmp.Or(o.RetryAfter, DefaultRetryAfter)
	o.OverloadRetryAfter = cmp.Or(o.OverloadRetryAfter, DefaultOverloadRetryAfter)
	o.RedirectRetryAfter = cmp.Or(o.RedirectRetryAfter, DefaultRedirectRetryAfter)
	o.MaxInFlightRequests = cmp.Or(o.MaxInFlightRequests, DefaultMaxInFlightRequests)
	o.HedgeQuantile = cmp.Or(o.HedgeQuantile, DefaultHedgeQuantile)
	o.MaxHedgeDelayShare = cmp.Or(o.MaxHedgeDelayShare, DefaultMaxHedgeDelayShare)
	o.AnswerMargin = cmp.Or(o.AnswerMargin, DefaultAnswerMargin)
	o.SpareConnections = cmp.Or(o.SpareConnections, DefaultSpareConnections)
	return o
}
