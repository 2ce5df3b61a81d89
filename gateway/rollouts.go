package gateway

import (
	"time"

	"github.com/banksail/banksail/rollout"
	"github.com/banksail/banksail/routing"
)

// SinceStart is a time on the gateway's clock, by which SetRollouts is told of times.
func (g *Gateway) SinceStart(when time.Time) time.Duration { return g.now() - time.Since(when) }

// SetRollouts tells what is known of the roll-outs of services, and until when that is fresh.
func (g *Gateway) SetRollouts(states map[string]rollout.State, freshUntil time.Duration) {
	g.step(routing.RolloutsChanged{States: states, FreshUntil: freshUntil})
}

// HaltRollout tells that the target of a service's order is to get nothing more.
func (g *Gateway) HaltRollout(service string, order uint64) {
	g.step(routing.RolloutHalted{Service: service, Order: order})
}

// RolloutReports lists what was seen of the roll-outs that have not ended; hurried says that
// it is to be told more often.
func (g *Gateway) RolloutReports() (reports []rollout.Report, hurried bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.RolloutReports()
}

// RolloutExposures lists what the targets of those got from this node.
func (g *Gateway) RolloutExposures() []routing.RolloutExposure {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.RolloutExposures()
}
