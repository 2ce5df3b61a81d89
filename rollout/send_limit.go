package rollout

import (
	"math"
	"time"

	"github.com/banksail/banksail/extrabudget"
)

// maxTargetShare is the part of a route's first sends that the target gets before the load is
// tried: answers of the versions before are needed to judge it by.
const maxTargetShare = 0.75

// ShouldSendToTarget reports whether a first send on a route should go to the target.
func (c *Canary) ShouldSendToTarget(now time.Duration, route string) bool {
	if !c.Active() || c.targetTrafficMode(now) != Limited || c.state.isMoving() || now >= c.freshUntil {
		return false
	}
	elapsed, span := c.trialTime(now)
	limit := c.sendLimit(now)
	if float64(c.allowance.Spent()+1) > limit {
		return false
	}
	return elapsed >= span-loadTestTime || c.isDueEarly(route, limit, float64(elapsed)/float64(span-loadTestTime))
}

// isDueEarly reports the same before the load is tried: all routes have an even part of what
// may be spent by then, however many requests come on each.
func (c *Canary) isDueEarly(route string, limit, progress float64) bool {
	sends, chosen := 0, 0
	routes := len(c.routes)
	if known := c.routes[route]; known != nil {
		sends, chosen = known.total, known.target
	} else {
		routes++
	}
	if c.isRareRoute(sends) && float64(chosen)+c.offset <= minRareRouteSends*c.nodeShare() {
		return true
	}
	if float64(chosen) >= maxTargetShare*float64(sends+1) {
		return false
	}
	early := limit * earlyShare * (initialShare + (1-initialShare)*max(progress, 0))
	return float64(chosen)+c.offset <= early/float64(routes)
}

// isRareRoute reports whether a route with so many first sends is rare.
func (c *Canary) isRareRoute(sends int) bool {
	all := 0
	for _, route := range c.routes {
		all += route.total
	}
	return isRareRoute(sends, all, len(c.routes))
}

// nodeShare is this node's of what is granted to all.
func (c *Canary) nodeShare() float64 {
	return float64(c.state.Granted) / extrabudget.Usable(c.bounds.ExposureSlack)
}

// trialTime is the time since the grants, and that from them to the decision.
func (c *Canary) trialTime(now time.Duration) (elapsed, span time.Duration) {
	granted := c.state.Record.Granted
	return c.state.Age(now) - granted, c.state.Record.DecisionAt - granted
}

// LoadTestServer reports whether the target is to be seen under load, and the place, modulo
// their number, of its server that bears that now; all nodes count the same.
func (c *Canary) LoadTestServer(now time.Duration) (index int, underLoad bool) {
	if !c.Active() || c.targetTrafficMode(now) != Limited {
		return 0, false
	}
	if elapsed, span := c.trialTime(now); elapsed < span-loadTestTime {
		return 0, false
	}
	left := c.sendLimit(now) - float64(c.allowance.Spent())
	if !c.loadTestStarted {
		c.loadTestStarted, c.sendsBeforeLoadTest, c.loadTestServers = true, c.allowance.Spent(), c.countLoadTestServers(now, left)
	}
	spent := c.allowance.Spent() - c.sendsBeforeLoadTest
	turn := min(int(float64(c.loadTestServers*spent)/max(float64(spent)+left, 1)), c.loadTestServers-1)
	return int(c.state.Order%math.MaxInt32) + turn, true
}

// countLoadTestServers is the number of the target's servers that bear the load one after the other,
// if so much is left for it: two tell a bad server from a bad version, if both come under load.
func (c *Canary) countLoadTestServers(now time.Duration, left float64) int {
	elapsed, _ := c.trialTime(now)
	perSecond := float64(c.allowance.Counted()) / max(elapsed.Seconds(), 1)
	if left < maxLoadTestServers*(perSecond*loadBuildUp+loadTestAnswers*c.nodeShare()) {
		return 1
	}
	return maxLoadTestServers
}

// routeSends are the first sends on a route, all and those to the target.
type routeSends struct{ total, target int }

// CountFirstSend notes a first send to the service on a route, to the target or not.
func (c *Canary) CountFirstSend(route string, target bool) {
	if !c.Active() {
		return
	}
	sends := c.routes[route]
	if sends == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		sends = new(routeSends)
		c.routes[route] = sends
	}
	sends.total++
	if target {
		sends.target++
	}
}

// sendLimit is what the target may have got so far, less what a move needs, where that leaves
// enough to try it: then the bound holds whatever the target is.
func (c *Canary) sendLimit(now time.Duration) float64 {
	limit := c.Allowed()
	age := c.state.Age(now)
	elapsed, left := age-c.state.Record.Granted, c.state.Duration-age
	if elapsed <= 0 || left <= 0 || c.state.Granted == 0 {
		return limit
	}
	counted := float64(c.allowance.Counted())
	perSecond := counted / elapsed.Seconds()
	bound := c.bounds.ExposureShare*(counted+perSecond*left.Seconds()) + c.bounds.ExposureSlack*c.nodeShare()
	move := perSecond * reservedMoveTime.Seconds()
	// A node counts few requests: one standard deviation less of them tells what a move takes at
	// least, as nodes that hold nothing back spend what the others do.
	if move*(1-1/math.Sqrt(max(counted, 1))) > maxReservedShare*bound {
		return limit
	}
	return min(limit, max(usableBoundShare*bound-move, minTargetSends*c.nodeShare()))
}
