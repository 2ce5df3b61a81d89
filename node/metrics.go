package node

import (
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/spread"
)

// registerControlMetrics registers the metrics of configuration and membership.
func (n *Node) registerControlMetrics() {
	n.metrics.RegisterGauge("members_live", "Nodes that membership knows as live, this one included.", n.countLiveNodes)
	totals := []struct {
		name, help string
		read       func(spread.Counters) uint64
	}{
		{"configurations_adopted_total", "Configurations put in force.", func(c spread.Counters) uint64 { return c.Adopted }},
		{"configurations_rejected_total", "Offered records that break a rule.", func(c spread.Counters) uint64 { return c.Rejected }},
		{"configurations_diverged_total", "Offered records that differ from the one of the same revision.", func(c spread.Counters) uint64 { return c.Diverged }},
		{"store_reads_total", "Readings of the configuration in the store.", func(c spread.Counters) uint64 { return c.StoreReads }},
		{"store_read_failures_total", "Readings of the store that failed.", func(c spread.Counters) uint64 { return c.StoreFailures }},
		{"configuration_pushes_total", "Configurations offered to other nodes.", func(c spread.Counters) uint64 { return c.DeltaPushes + c.RecordPushes }},
		{"configuration_push_failures_total", "Offers that failed.", func(c spread.Counters) uint64 { return c.PushFailures }},
		{"configuration_comparisons_total", "Comparisons with another node.", func(c spread.Counters) uint64 { return c.Comparisons }},
		{"confirmations_total", "Plans confirmed at this node.", func(c spread.Counters) uint64 { return c.Confirmations }},
		{"confirmations_unknown_total", "Confirmations whose outcome stayed unknown.", func(c spread.Counters) uint64 { return c.UnknownOutcomes }},
	}
	for _, total := range totals {
		n.metrics.RegisterCounter(total.name, total.help, func() uint64 { return total.read(n.replicator.Counters()) })
	}
}

func (n *Node) countLiveNodes() float64 {
	live := 0
	for _, member := range n.agent.Members() {
		if member.State == membership.Live {
			live++
		}
	}
	return float64(live)
}
