package cluster

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
)

// direction of a message between a node and a server.
type direction uint64

const (
	forward direction = iota + 1
	reverse
)

// delay is how long a message about a query takes, one way.
func (r *run) delay(id dispatch.QueryID, target *server, way direction) time.Duration {
	network := r.scenario.Network
	if network.JitterShare == 0 {
		return network.Delay
	}
	uniform := draw(r.seed, streamNetwork, uint64(id), uint64(target.index), uint64(way))
	return time.Duration(float64(network.Delay) * (1 + network.JitterShare*(2*uniform-1)))
}

// serviceTime is how long a server works on a part of a query. It depends on
// nothing that a policy decides.
func (r *run) serviceTime(asked *query, part coverage.Range, target *server) time.Duration {
	uniform := draw(r.seed, streamService, uint64(asked.id), part.Start, uint64(target.index))
	took := float64(r.scenario.ServiceTime.Quantile(uniform))
	took *= r.scenario.Classes[asked.class].work()
	for _, fault := range r.scenario.Faults {
		if fault.hits(target.group, target.replica) {
			took *= fault.slowdown(asked.arrivedAt)
		}
	}
	return time.Duration(took)
}

// foresee implements LatencyOracle.
func (r *run) foresee(id dispatch.QueryID, part coverage.Range, serverID string) time.Duration {
	asked, target := r.queries[id], r.serverByID[serverID]
	if asked == nil || target == nil || target.lost || target.draining || !target.owned.Contains(part) {
		return neverAnswers
	}
	return r.delay(id, target, forward) + r.serviceTime(asked, part, target) + r.delay(id, target, reverse)
}
