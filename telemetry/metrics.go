package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace is the prefix of all metric names.
const namespace = "banksail"

// latencyBuckets are the bucket bounds of latency histograms in seconds.
var latencyBuckets = []float64{
	0.001, 0.002, 0.005, 0.010, 0.020, 0.050, 0.100, 0.200, 0.500, 1, 2, 5, 10, 30,
}

// coverageBuckets are the bucket bounds of coverage histograms.
var coverageBuckets = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1}

// Metrics holds the metrics of one node, in a separate registry.
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
	// Forwards counts the sub-requests forwarded to owners of connections, by outcome.
	Forwards *prometheus.CounterVec
	// ForwardsServed counts the sub-requests received from other nodes, by outcome.
	ForwardsServed *prometheus.CounterVec
	// HeldQueries is the number of queries in the node, queued or running.
	HeldQueries prometheus.Gauge
	// Revision is the revision of the active configuration.
	Revision prometheus.Gauge
	// Duplicates counts the non-repeatable requests that were answered with the outcome of an
	// earlier request.
	Duplicates prometheus.Counter

	registry *prometheus.Registry
}

// NewMetrics returns the metrics of a node.
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

// Handler returns an HTTP handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// RegisterGauge registers a gauge whose value is read on each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	gauge := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(gauge, read))
}

// RegisterCounter registers a counter whose value is kept elsewhere and read on each scrape.
func (m *Metrics) RegisterCounter(name, help string, read func() uint64) {
	counter := func() float64 { return float64(read()) }
	m.registry.MustRegister(prometheus.NewCounterFunc(counterOptions(name, help), counter))
}

// RegisterProcessMetrics registers the metrics of the process and of the Go runtime. Call it for
// only one node of a process.
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
