package cluster

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
)

// direction is the direction of a message between a node and a server.
type direction uint64

const (
	forward direction = iota + 1
	reverse
)

// delay returns the one-way network delay of a message that belongs to a query.
func (r *run) delay(id dispatch.QueryID, target *server, way direction) time.Duration {
	network := r.scenario.Network
	if network.JitterShare == 0 {
		return network.Delay
	}
	uniform := draw(r.seed, streamNetwork, uint64(id), uint64(target.index), uint64(way))
	return time.Duration(float64(network.Delay) * (1 + network.JitterShare*(2*uniform-1)))
}

// serviceTime returns the execution time of one part of a query at a server. It
// does not depend on the decisions of a policy.
func (r *run) serviceTime(queried *query, part coverage.Range, target *server) time.Duration {
	uniform := draw(r.seed, streamService, uint64(queried.id), part.Start, uint64(target.index))
	took := float64(r.scenario.ServiceTime.Quantile(uniform))
	took *= r.scenario.Classes[queried.class].work()
	for _, fault := range r.scenario.Faults {
		if fault.affects(target.group, target.replica) {
			took *= fault.slowdown(queried.arrivedAt)
		}
	}
	return time.Duration(took)
}

// exactLatency implements LatencyOracle.
func (r *run) exactLatency(id dispatch.QueryID, part coverage.Range, serverID string) time.Duration {
	queried, target := r.queries[id], r.serverByID[serverID]
	if queried == nil || target == nil || target.crashed || target.draining || !target.ownedRange.Contains(part) {
		return unreachableLatency
	}
	return r.delay(id, target, forward) + r.serviceTime(queried, part, target) + r.delay(id, target, reverse)
}
