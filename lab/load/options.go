// Package load sends queries to a node's caller API at a given rate and reports
// latencies, coverage, refusals and wrong answers.
package load

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/profile"
)

// ErrInvalidOptions is returned by Run and Options.Validate for invalid options.
var ErrInvalidOptions = errors.New("load: invalid options")

// Upper limits of Options: queries per second, time and queries in flight.
const (
	MaximumRate     = 100_000
	MaximumDuration = time.Hour
	MaximumInFlight = 10_000
)

// Defaults of Options.
const (
	DefaultRate        = 50
	DefaultDuration    = 10 * time.Second
	DefaultMaxInFlight = 256
)

// Options configures a run. Zero fields get defaults.
type Options struct {
	// Address is the IP number and port of a node's caller API.
	Address string
	// Mix lists the kinds of queries with their weights.
	Mix []profile.QueryKind
	// Rate is the mean number of queries per second. Arrivals are a Poisson
	// process and don't wait for answers.
	Rate float64
	// Duration is the time during which queries are sent.
	Duration time.Duration
	// MaxInFlight is the maximum number of queries in flight. Further arrivals
	// are counted as skipped.
	MaxInFlight int
	// Deadline is the deadline of each query. If it is zero, queries state none
	// and the deadline of their class applies.
	Deadline time.Duration
	// MinimumCoverage is the minimum coverage requested by each query, from 0 to 1.
	MinimumCoverage float64
	// Seed makes the arrivals and the sequence of query kinds reproducible.
	Seed uint64
	// ItemStride is the item stride of the emulated servers, needed to verify
	// answers.
	ItemStride uint64
	// RetryAddresses lists the caller APIs, usually including Address, to which
	// non-repeatable queries are retried with the same request ID while they
	// have no answer. If it is empty, there are no retries.
	RetryAddresses []string
	// Journal, if not nil, records every call and its answer. It requires a
	// Deadline.
	Journal *history.Journal
	// Transport sends the queries. The default is an HTTP transport limited to
	// MaxInFlight connections per address.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	o.Rate = cmp.Or(o.Rate, DefaultRate)
	o.Duration = cmp.Or(o.Duration, DefaultDuration)
	o.MaxInFlight = cmp.Or(o.MaxInFlight, DefaultMaxInFlight)
	o.ItemStride = cmp.Or(o.ItemStride, emulator.DefaultItemStride)
	if o.Transport == nil {
		o.Transport = httpcall.NewTransport(nil, o.MaxInFlight)
	}
	return o
}

// Validate returns an ErrInvalidOptions that names the first invalid option, if any.
func (o Options) Validate() error {
	hasNoWeight := func(kind profile.QueryKind) bool { return !(kind.Fraction > 0) }
	switch {
	case o.Address == "":
		return fmt.Errorf("%w: address is missing", ErrInvalidOptions)
	case len(o.Mix) == 0:
		return fmt.Errorf("%w: the mix is empty", ErrInvalidOptions)
	case slices.ContainsFunc(o.Mix, hasNoWeight):
		return fmt.Errorf("%w: fractions in the mix must be positive", ErrInvalidOptions)
	case !(o.Rate > 0 && o.Rate <= MaximumRate):
		return fmt.Errorf("%w: rate must be over 0 and at most %d", ErrInvalidOptions, MaximumRate)
	case o.Duration <= 0 || o.Duration > MaximumDuration:
		return fmt.Errorf("%w: duration must be over 0 and at most %v", ErrInvalidOptions, MaximumDuration)
	case o.MaxInFlight < 1 || o.MaxInFlight > MaximumInFlight:
		return fmt.Errorf("%w: in-flight limit must be from 1 to %d", ErrInvalidOptions, MaximumInFlight)
	case o.Journal != nil && o.Deadline == 0:
		return fmt.Errorf("%w: a journal requires a deadline", ErrInvalidOptions)
	case o.Deadline < 0:
		return fmt.Errorf("%w: deadline must not be negative", ErrInvalidOptions)
	case !(o.MinimumCoverage >= 0 && o.MinimumCoverage <= 1):
		return fmt.Errorf("%w: minimum coverage must be from 0 to 1", ErrInvalidOptions)
	}
	return nil
}
