package rollout

import (
	"math"
	"time"

	"github.com/banksail/banksail/extrabudget"
)

// maxTargetShare is the largest share of a route's first sends that goes to the target before the
// load test. The rest provides answers of the previous versions to compare with.
const maxTargetShare = 0.75

// ShouldSendToTarget reports whether a first send on a route should go to the target.
func (c *Canary) ShouldSendToTarget(now time.Duration, route string) bool {
	if !c.Active() || c.targetTrafficMode(now) != Limited || c.state.isMoving() || now >= c.freshUntil {
		return false
	}
	elapsed, span := c.runningTime(now)
	limit := c.sendLimit(now)
	if float64(c.allowance.Spent()+1) > limit {
		return false
	}
	return elapsed >= span-loadTestTime || c.isDueEarly(route, limit, float64(elapsed)/float64(span-loadTestTime))
}

// isDueEarly is ShouldSendToTarget for the time before the load test. All routes have an equal part
// of what may be sent by then, however many requests they receive.
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

// isRareRoute reports whether a route with the given number of first sends is rare.
func (c *Canary) isRareRoute(sends int) bool {
	all := 0
	for _, route := range c.routes {
		all += route.total
	}
	return isRareRoute(sends, all, len(c.routes))
}

// nodeShare returns the fraction of the grants of all nodes that this node has.
func (c *Canary) nodeShare() float64 {
	return float64(c.state.Granted) / extrabudget.Usable(c.bounds.ExposureSlack)
}

// runningTime returns the time since the grants were made, and the time from then to the decision.
func (c *Canary) runningTime(now time.Duration) (elapsed, span time.Duration) {
	granted := c.state.Record.Granted
	return c.state.Age(now) - granted, c.state.Record.DecisionAt - granted
}

// LoadTestServer reports whether the target is being tested under load, and the index, modulo their
// number, of the server that receives the load now. All nodes compute the same sequence.
func (c *Canary) LoadTestServer(now time.Duration) (index int, underLoad bool) {
	if !c.Active() || c.targetTrafficMode(now) != Limited {
		return 0, false
	}
	if elapsed, span := c.runningTime(now); elapsed < span-loadTestTime {
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

// countLoadTestServers returns the number of servers to load one after the other with the remaining
// sends. Two distinguish a bad server from a bad version, but only if both come under load.
func (c *Canary) countLoadTestServers(now time.Duration, left float64) int {
	elapsed, _ := c.runningTime(now)
	perSecond := float64(c.allowance.Counted()) / max(elapsed.Seconds(), 1)
	if left < maxLoadTestServers*(perSecond*loadBuildUp+loadTestAnswers*c.nodeShare()) {
		return 1
	}
	return maxLoadTestServers
}

// routeSends counts the first sends on a route, all of them and those to the target.
type routeSends struct{ total, target int }

// CountFirstSend counts a first send to the service on a route, to the target or to another version.
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

// sendLimit returns the number of sends to the target that is allowed before the move. It reserves
// what the move needs, so that the bound holds even for a bad target, if enough remains to test it.
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
	// Reserve nothing if the move is too large a part of the bound. A node counts few requests, so its
	// estimate is reduced by one standard deviation for this check: nodes that reserve nothing use what
	// the others reserve.
	if move*(1-1/math.Sqrt(max(counted, 1))) > maxReservedShare*bound {
		return limit
	}
	return min(limit, max(usableBoundShare*bound-move, minTargetSends*c.nodeShare()))
}
