package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace prefixes the names of all metrics.
const namespace = "banksail"

// latencyBuckets are the bounds of latency histograms, in seconds.
var latencyBuckets = []float64{
	0.001, 0.002, 0.005, 0.010, 0.020, 0.050, 0.100, 0.200, 0.500, 1, 2, 5, 10, 30,
}

// coverageBuckets are the bounds of coverage histograms.
var coverageBuckets = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}

// Metrics are one node's metrics, in a registry of their own.
type Metrics struct {
	// Queries counts finished queries by service, class, execution and reason.
	Queries *prometheus.CounterVec
	// Latency is the time from a query's arrival to its final answer, in
	// seconds, by service and class.
	Latency *prometheus.HistogramVec
	// Coverage is the coverage of answers, by service and class.
	Coverage *prometheus.HistogramVec
	// Sends counts sub-requests by service and kind (first, hedge, retry).
	Sends *prometheus.CounterVec
	// Failures counts sub-requests without a well-formed reply, by service.
	Failures *prometheus.CounterVec
	// Forwards counts the sub-requests that were given to owners, by outcome.
	Forwards *prometheus.CounterVec
	// ForwardsServed counts the sub-requests taken from other nodes, by outcome.
	ForwardsServed *prometheus.CounterVec
	// HeldQueries is the number of queries that the node holds, queued or running.
	HeldQueries prometheus.Gauge
	// Revision is the revision of the configuration in force.
	Revision prometheus.Gauge
	// Duplicates counts not-repeatable requests that were answered from the
	// outcome of an earlier one.
	Duplicates prometheus.Counter

	registry *prometheus.Registry
}

// NewMetrics creates a node's metrics.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Queries:        newCounterVec("queries_total", "Finished queries.", "service", "class", "execution", "reason"),
		Latency:        newHistogramVec("query_seconds", "Time from a query's arrival to its final answer.", latencyBuckets),
		Coverage:       newHistogramVec("answer_coverage", "Fraction of the key space that answers hold.", coverageBuckets),
		Sends:          newCounterVec("sends_total", "Sub-requests sent to servers.", "service", "kind"),
		Failures:       newCounterVec("send_failures_total", "Sub-requests without a well-formed reply.", "service"),
		Forwards:       newCounterVec("forwards_total", "Sub-requests given to owners of connections.", "outcome"),
		ForwardsServed: newCounterVec("forwards_served_total", "Sub-requests taken from other nodes.", "outcome"),
		HeldQueries:    newGauge("queries_held", "Queries that are queued or running."),
		Revision:       newGauge("configuration_revision", "Revision of the configuration in force."),
		Duplicates:     prometheus.NewCounter(counterOptions("duplicates_total", "Not-repeatable requests answered from an earlier outcome.")),
		registry:       prometheus.NewRegistry(),
	}
	metrics.registry.MustRegister(
		metrics.Queries, metrics.Latency, metrics.Coverage, metrics.Sends,
		metrics.Failures, metrics.HeldQueries, metrics.Revision, metrics.Duplicates,
		metrics.Forwards, metrics.ForwardsServed,
	)
	return metrics
}

// Handler serves the metrics in Prometheus' text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// RegisterGauge adds a gauge that is read whenever the metrics are.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	gauge := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(gauge, read))
}

// RegisterCounter adds a counter that is kept elsewhere and read whenever the
// metrics are.
func (m *Metrics) RegisterCounter(name, help string, read func() uint64) {
	counter := func() float64 { return float64(read()) }
	m.registry.MustRegister(prometheus.NewCounterFunc(counterOptions(name, help), counter))
}

// RegisterProcessMetrics adds the process's and the Go runtime's own metrics; only one
// node of a process may have them.
func (m *Metrics) RegisterProcessMetrics() {
	m.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
}

func counterOptions(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(counterOptions(name, help), labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newHistogramVec(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	}, []string{"service", "class"})
}
