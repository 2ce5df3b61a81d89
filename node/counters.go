package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/telemetry"
)

// Label values for the kinds of sub-requests.
const (
	kindFirst = "first"
	kindHedge = "hedge"
	kindRetry = "retry"
)

// sendCounters holds the sub-request counters of one service. They are looked
// up once, so that counting does not resolve labels.
type sendCounters struct {
	first, hedge, retry, failures prometheus.Counter
}

func newSendCounters(metrics *telemetry.Metrics, service string) sendCounters {
	return sendCounters{
		first:    metrics.Sends.WithLabelValues(service, kindFirst),
		hedge:    metrics.Sends.WithLabelValues(service, kindHedge),
		retry:    metrics.Sends.WithLabelValues(service, kindRetry),
		failures: metrics.Failures.WithLabelValues(service),
	}
}

func (c sendCounters) count(kind dispatch.SendKind) {
	switch kind {
	case dispatch.HedgeSend:
		c.hedge.Inc()
	case dispatch.RetrySend:
		c.retry.Inc()
	default:
		c.first.Inc()
	}
}
