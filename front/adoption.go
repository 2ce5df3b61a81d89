package front

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// lateAdoptionShare is the share of the shortest bound above which the adoption of a change is
// logged as late. The rest of the bound is left for requests that are already in flight.
const lateAdoptionShare = 0.7

// adoptionBuckets are shares of the shortest bound.
var adoptionBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.5, 2, 4}

// adoptionMeter measures how much of the shortest time bound on registry changes has passed when a
// change is adopted.
type adoptionMeter struct {
	bound       time.Duration
	boundShares prometheus.Histogram
	logger      zerolog.Logger
}

func newAdoptionMeter(bound time.Duration, registry prometheus.Registerer, logger zerolog.Logger) *adoptionMeter {
	m := &adoptionMeter{
		bound: bound,
		boundShares: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "banksail_adoption_bound_share",
			Help:    "Age of the belief that a change of the registry replaced, as a part of the shortest bound.",
			Buckets: adoptionBuckets,
		}),
		logger: logger,
	}
	if registry != nil {
		registry.MustRegister(m.boundShares)
	}
	return m
}

// observe records the adoption of a change and the age of the view that it replaced. A late
// adoption is logged.
func (m *adoptionMeter) observe(age time.Duration) {
	share := age.Seconds() / m.bound.Seconds()
	m.boundShares.Observe(share)
	if share > lateAdoptionShare {
		m.logger.Warn().Dur("age_ms", age).Dur("bound_ms", m.bound).Msg("change adopted late")
	}
}
