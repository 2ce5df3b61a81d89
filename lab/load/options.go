// Package load sends queries to a node's caller API at a given rate and sums
// up what came back: latencies, coverage, refusals and wrong answers.
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

// ErrInvalidOptions is returned for options that no run can go by.
var ErrInvalidOptions = errors.New("load: invalid options")

// Bounds of a run.
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
	// Mix lists the kinds of queries with their shares.
	Mix []profile.QueryKind
	// Rate is the mean number of queries a second; arrivals are Poisson and
	// don't wait for answers.
	Rate float64
	// Duration is how long queries are sent.
	Duration time.Duration
	// MaxInFlight bounds the queries sent and not answered; further arrivals are
	// counted as skipped.
	MaxInFlight int
	// Deadline is what each query states; zero leaves it to the class.
	Deadline time.Duration
	// MinimumCoverage is what each query asks.
	MinimumCoverage float64
	// Seed makes the arrivals and the order of the mix repeatable.
	Seed uint64
	// ItemStride is that of the stand-ins, for the check of results.
	ItemStride uint64
	// RetryAddresses lists the caller APIs, as a rule that of Address among
	// them, to which queries that are not repeatable are sent again, with the
	// same request ID, while they have no answer. Empty means never.
	RetryAddresses []string
	// Journal gets every sending and its end, unless nil. Queries must then
	// state a deadline.
	Journal *history.Journal
	// Transport sends the queries; the default is net/http's, bounded as MaxInFlight.
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

// Validate returns ErrInvalidOptions, naming the option.
func (o Options) Validate() error {
	hasNoWeight := func(kind profile.QueryKind) bool { return !(kind.Fraction > 0) }
	switch {
	case o.Address == "":
		return fmt.Errorf("%w: address is missing", ErrInvalidOptions)
	case len(o.Mix) == 0:
		return fmt.Errorf("%w: the mix is empty", ErrInvalidOptions)
	case slices.ContainsFunc(o.Mix, hasNoWeight):
		return fmt.Errorf("%w: a share of the mix is not positive", ErrInvalidOptions)
	case !(o.Rate > 0 && o.Rate <= MaximumRate):
		return fmt.Errorf("%w: rate must be over 0 and at most %d", ErrInvalidOptions, MaximumRate)
	case o.Duration <= 0 || o.Duration > MaximumDuration:
		return fmt.Errorf("%w: duration must be over 0 and at most %v", ErrInvalidOptions, MaximumDuration)
	case o.MaxInFlight < 1 || o.MaxInFlight > MaximumInFlight:
		return fmt.Errorf("%w: in-flight bound must be from 1 to %d", ErrInvalidOptions, MaximumInFlight)
	case o.Journal != nil && o.Deadline == 0:
		return fmt.Errorf("%w: a journal needs a stated deadline", ErrInvalidOptions)
	case o.Deadline < 0:
		return fmt.Errorf("%w: deadline is negative", ErrInvalidOptions)
	case !(o.MinimumCoverage >= 0 && o.MinimumCoverage <= 1):
		return fmt.Errorf("%w: minimum coverage must be from 0 to 1", ErrInvalidOptions)
	}
	return nil
}
