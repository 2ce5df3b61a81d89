package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/lab/profile"
)

// seedStream selects a random number stream that differs from those of other users
// of the same seed.
const seedStream = 0x6c6f6164

// Limits of the retries of a non-repeatable query.
const (
	maximumRetries    = 3
	maximumRetryDelay = 500 * time.Millisecond
)

// Run sends queries until options.Duration has passed or the context is done, waits
// for the answers and returns the report. It returns ErrInvalidOptions for invalid
// options.
func Run(ctx context.Context, options Options) (*Report, error) {
	options = options.withDefaults()
	if err := options.Validate(); err != nil {
		return nil, err
	}
	generator := &generator{
		options:         options,
		sender:          newSender(options),
		report:          newReport(options.Mix),
		random:          rand.New(rand.NewPCG(options.Seed, seedStream)),
		permits:         make(chan struct{}, options.MaxInFlight),
		requestIDPrefix: uuid.NewString(),
	}
	start := time.Now()
	generator.sendAll(ctx)
	generator.pending.Wait()
	generator.sender.close()
	generator.report.Elapsed = time.Since(start)
	return generator.report, nil
}

// generator generates random arrivals and starts queries. permits limits the
// queries in flight, pending waits for them.
type generator struct {
	options         Options
	sender          *sender
	report          *Report
	random          *rand.Rand
	permits         chan struct{}
	pending         sync.WaitGroup
	requestIDPrefix string
	lastRequest     int
}

// sendAll starts queries until the context is done. It follows the generated arrival
// times without waiting for answers, so that slow answers don't reduce the load.
func (g *generator) sendAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Duration)
	defer cancel()
	next := time.Now()
	for {
		next = next.Add(g.nextInterval())
		if clock.Sleep(ctx, time.Until(next)) != nil {
			return
		}
		g.startQuery(g.pickKind())
	}
}

// nextInterval returns an exponentially distributed time to the next arrival.
func (g *generator) nextInterval() time.Duration {
	return time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second))
}

// pickKind returns a random kind of query, weighted by Fraction.
func (g *generator) pickKind() profile.QueryKind {
	sum := 0.0
	for _, kind := range g.options.Mix {
		sum += kind.Fraction
	}
	left := g.random.Float64() * sum
	for _, kind := range g.options.Mix {
		left -= kind.Fraction
		if left < 0 {
			return kind
		}
	}
	return g.options.Mix[len(g.options.Mix)-1]
}

// startQuery sends a query in the background. If MaxInFlight queries are in flight,
// it counts the query as skipped instead.
func (g *generator) startQuery(kind profile.QueryKind) {
	select {
	case g.permits <- struct{}{}:
	default:
		g.report.countSkipped(kind)
		return
	}
	g.lastRequest++
	requestID := g.requestIDPrefix + "-" + strconv.Itoa(g.lastRequest)
	retries := g.planRetries(kind)
	g.pending.Go(func() {
		defer func() { <-g.permits }()
		g.report.addOutcome(kind, g.sender.sendWithRetries(kind, requestID, retries))
	})
}

// planRetries returns the retries, with random addresses and delays, to make while a
// query has no answer. Repeatable queries get none.
func (g *generator) planRetries(kind profile.QueryKind) []retry {
	if kind.Repeatable || len(g.options.RetryAddresses) == 0 {
		return nil
	}
	retries := make([]retry, 0, maximumRetries)
	for range maximumRetries {
		retries = append(retries, retry{
			address: g.options.RetryAddresses[g.random.IntN(len(g.options.RetryAddresses))],
			delay:   time.Duration(g.random.Int64N(int64(maximumRetryDelay))),
		})
	}
	return retries
}
