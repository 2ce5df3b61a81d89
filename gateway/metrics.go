package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/route"
)

// maxPriorityLabels bounds the number of values of the priority label. Routes are not used as a
// label, because operators add them by the hundred.
const maxPriorityLabels = 8

// latencyBuckets are the histogram's upper bounds in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 8}

// counters holds the gateway's metrics.
type counters struct {
	rejected       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	attemptResults *prometheus.CounterVec
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	inFlight       *prometheus.GaugeVec

	quarantined, quarantineRejections, lateDetectedCrashes prometheus.Counter
}

func newCounters(registry prometheus.Registerer) *counters {
	c := &counters{
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "banksail_gateway_rejected_total", Help: "Requests that were rejected before they were routed, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "banksail_gateway_attempts_total", Help: "Attempts sent to servers, by why they were sent.",
		}, []string{"kind"}),
		attemptResults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "banksail_gateway_attempt_ends_total", Help: "Attempts that ended, by how.",
		}, []string{"end"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "banksail_gateway_requests_total", Help: "Requests answered, by priority and result.",
		}, []string{"priority", "result"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "banksail_gateway_request_seconds", Help: "Time to the final answer, by priority.", Buckets: latencyBuckets,
		}, []string{"priority"}),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "banksail_gateway_attempts_in_flight", Help: "Attempts that have not ended, by their server's zone.",
		}, []string{"zone"}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_quarantined_total", Help: "Contents that this node found to end servers.",
		}),
		quarantineRejections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_quarantine_refusals_total", Help: "Requests refused because their content ends servers.",
		}),
		lateDetectedCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_server_ends_seen_late_total", Help: "Servers that listened when a connection was lost, and ended right after.",
		}),
	}
	if registry != nil {
		registry.MustRegister(c.rejected, c.attempts, c.attemptResults, c.requests, c.latency, c.inFlight, c.quarantined, c.quarantineRejections, c.lateDetectedCrashes)
	}
	return c
}

func (c *counters) countAttempt(kind gather.SendKind) {
	c.attempts.WithLabelValues(kindName(kind)).Inc()
}

func (c *counters) countAttemptResult(result string) { c.attemptResults.WithLabelValues(result).Inc() }

func (c *counters) countRequest(matched *route.Route, outcome result, elapsed time.Duration) {
	priority := priorityLabels[min(matched.Priority, maxPriorityLabels-1)]
	c.requests.WithLabelValues(priority, string(outcome)).Inc()
	c.latency.WithLabelValues(priority).Observe(elapsed.Seconds())
}

var priorityLabels = [maxPriorityLabels]string{"0", "1", "2", "3", "4", "5", "6", "7_or_more"}
