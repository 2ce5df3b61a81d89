package gossip

import "github.com/prometheus/client_golang/prometheus"

// counters holds the agent's metrics.
type counters struct {
	changes  *prometheus.CounterVec
	failures *prometheus.CounterVec
	sent     prometheus.Counter
	received prometheus.Counter
}

func newCounters(registry prometheus.Registerer, a *Agent) *counters {
	c := &counters{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "banksail_gossip_changes_total", Help: "Changes of what is known of other nodes, by their new state.",
		}, []string{"state"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "banksail_gossip_failures_total", Help: "Datagrams that could not be sent, received or read, by the step.",
		}, []string{"step"}),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_gossip_sent_bytes_total", Help: "Bytes of datagrams that were sent.",
		}),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "banksail_gossip_received_bytes_total", Help: "Bytes of datagrams that were received.",
		}),
	}
	if registry == nil {
		return c
	}
	registry.MustRegister(c.changes, c.failures, c.sent, c.received)
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "banksail_gossip_malformed_total", Help: "Datagrams that were out of their bounds.",
	}, func() float64 {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		return float64(a.core.malformed)
	}))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "banksail_gossip_isolated", Help: "1 while no other node answers.",
	}, func() float64 {
		if a.Isolated() {
			return 1
		}
		return 0
	}))
	return c
}
