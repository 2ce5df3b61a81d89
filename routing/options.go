package routing

import (
	"cmp"
	"time"

	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/rollout"
)

// Options configures a Router. Zero fields are replaced by defaults.
type Options struct {
	// Seed seeds the random generator, for reproducible runs.
	Seed uint64
	// Zone is the node's zone, and Regions maps zones to regions. Nearby servers are preferred.
	Zone    string
	Regions map[string]string
	// Budget limits extra sends (hedges and retries).
	Budget extrabudget.Options
	// Cold limits the load on servers that have just started.
	Cold ColdOptions
	// Rollouts limits traffic to unproven versions. The zero value disables version handling.
	Rollouts rollout.Bounds
	// Restarted reports that an earlier incarnation of this node may have spent its fixed share of
	// the budget within the last window. That share is withheld for one window.
	Restarted bool
	// RetryAfter is sent to rejected callers; default 250 ms.
	RetryAfter time.Duration
	// OverloadRetryAfter is sent to callers rejected because servers are overloaded, which tends
	// to last; default 1.5 s.
	OverloadRetryAfter time.Duration
	// RedirectRetryAfter is sent to callers that another node can serve immediately; default 10
	// ms.
	RedirectRetryAfter time.Duration
	// MaxInFlightRequests limits the number of concurrent requests; default 512.
	MaxInFlightRequests int
	// HedgeQuantile is the quantile of a route's latencies that is used as the hedge delay;
	// default 0.9.
	HedgeQuantile float64
	// MaxHedgeDelayShare caps the hedge delay as a share of the route's latency target; default
	// 0.3.
	MaxHedgeDelayShare float64
	// AnswerMargin is subtracted, in addition to the network time back to the caller, from the
	// route's latency target to obtain the latest time at which an answer is sent; default 8 ms.
	AnswerMargin time.Duration
	// Disabled is the set of mechanisms that are switched off, for diagnosis.
	Disabled mechanism.Disabled
	// SpareConnections is the share of each server's connections that nodes leave unused; default
	// 0.1.
	SpareConnections float64
}

// Default values of Options.
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
