package gateway

import (
	"time"

	"github.com/banksail/banksail/rollout"
	"github.com/banksail/banksail/routing"
)

// SinceStart converts a time to the gateway's clock, the time since its start, which SetRollouts
// expects.
func (g *Gateway) SinceStart(when time.Time) time.Duration { return g.now() - time.Since(when) }

// SetRollouts sets the state of the roll-outs by service, and until when it counts as fresh.
func (g *Gateway) SetRollouts(states map[string]rollout.State, freshUntil time.Duration) {
	g.step(routing.RolloutsChanged{States: states, FreshUntil: freshUntil})
}

// HaltRollout stops all sends to the target version of a service's roll-out order.
func (g *Gateway) HaltRollout(service string, order uint64) {
	g.step(routing.RolloutHalted{Service: service, Order: order})
}

// RolloutReports returns this node's reports on active roll-outs. needsFrequentReports is set if
// they are to be sent at a shorter interval than usual.
func (g *Gateway) RolloutReports() (reports []rollout.Report, needsFrequentReports bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.RolloutReports()
}

// RolloutExposures returns how much traffic the targets of active roll-outs received from this node.
func (g *Gateway) RolloutExposures() []routing.RolloutExposure {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.RolloutExposures()
}
