package rollout

import (
	"math"
	"time"

	"github.com/banksail/banksail/extrabudget"
)

// mostChosen is the part of a route's first sends that the target gets before the load is
// tried: answers of the versions before are needed to judge it by.
const mostChosen = 0.75

// ShouldSendToTarget reports whether a first send on a route should go to the target.
func (t *Canary) ShouldSendToTarget(now time.Duration, route string) bool {
	if !t.Active() || t.targetStanding(now) != Limited || t.state.moving() || now >= t.freshUntil {
		return false
	}
	elapsed, span := t.progress(now)
	whole := t.beforeMove(now)
	if float64(t.allowance.Spent()+1) > whole {
		return false
	}
	return elapsed >= span-loadTime || t.dueEarly(route, whole, float64(elapsed)/float64(span-loadTime))
}

// dueEarly reports the same before the load is tried: all routes have an even part of what
// may be spent by then, however many requests come on each.
func (t *Canary) dueEarly(route string, whole, progress float64) bool {
	sends, chosen := 0, 0
	routes := len(t.routes)
	if known := t.routes[route]; known != nil {
		sends, chosen = known.all, known.target
	} else {
		routes++
	}
	if t.isRare(sends) && float64(chosen)+t.offset <= rareTried*t.part() {
		return true
	}
	if float64(chosen) >= mostChosen*float64(sends+1) {
		return false
	}
	early := whole * earlyShare * (atOnce + (1-atOnce)*max(progress, 0))
	return float64(chosen)+t.offset <= early/float64(routes)
}

// isRare reports whether a route with so many first sends is rare.
func (t *Canary) isRare(sends int) bool {
	all := 0
	for _, route := range t.routes {
		all += route.all
	}
	return isRare(sends, all, len(t.routes))
}

// part is this node's of what is granted to all.
func (t *Canary) part() float64 {
	return float64(t.state.Granted) / extrabudget.Usable(t.bounds.ExposureSlack)
}

// progress is the time since the grants, and that from them to the decision.
func (t *Canary) progress(now time.Duration) (elapsed, span time.Duration) {
	granted := t.state.Record.Granted
	return t.state.Age(now) - granted, t.state.Record.DecisionAt - granted
}

// LoadTestServer reports whether the target is to be seen under load, and the place, modulo
// their number, of its server that bears that now; all nodes count the same.
func (t *Canary) LoadTestServer(now time.Duration) (place int, underLoad bool) {
	if !t.Active() || t.targetStanding(now) != Limited {
		return 0, false
	}
	if elapsed, span := t.progress(now); elapsed < span-loadTime {
		return 0, false
	}
	left := t.beforeMove(now) - float64(t.allowance.Spent())
	if !t.loaded {
		t.loaded, t.spentBefore, t.loadServers = true, t.allowance.Spent(), t.serversToLoad(now, left)
	}
	spent := t.allowance.Spent() - t.spentBefore
	turn := min(int(float64(t.loadServers*spent)/max(float64(spent)+left, 1)), t.loadServers-1)
	return int(t.state.Order%math.MaxInt32) + turn, true
}

// serversToLoad is the number of the target's servers that bear the load one after the other,
// if so much is left for it: two tell a bad server from a bad version, if both come under load.
func (t *Canary) serversToLoad(now time.Duration, left float64) int {
	elapsed, _ := t.progress(now)
	perSecond := float64(t.allowance.Counted()) / max(elapsed.Seconds(), 1)
	if left < loadServers*(perSecond*loadRise+loadAnswers*t.part()) {
		return 1
	}
	return loadServers
}

// routeSends are the first sends on a route, all and those to the target.
type routeSends struct{ all, target int }

// CountFirstSend notes a first send to the service on a route, to the target or not.
func (t *Canary) CountFirstSend(route string, target bool) {
	if !t.Active() {
		return
	}
	sends := t.routes[route]
	if sends == nil {
		if len(t.routes) >= mostRoutes {
			return
		}
		sends = new(routeSends)
		t.routes[route] = sends
	}
	sends.all++
	if target {
		sends.target++
	}
}

// beforeMove is what the target may have got so far, less what a move needs, where that leaves
// enough to try it: then the bound holds whatever the target is.
func (t *Canary) beforeMove(now time.Duration) float64 {
	whole := t.Allowed()
	age := t.state.Age(now)
	elapsed, left := age-t.state.Record.Granted, t.state.Duration-age
	if elapsed <= 0 || left <= 0 || t.state.Granted == 0 {
		return whole
	}
	counted := float64(t.allowance.Counted())
	perSecond := counted / elapsed.Seconds()
	bound := t.bounds.ExposureShare*(counted+perSecond*left.Seconds()) + t.bounds.ExposureSlack*t.part()
	move := perSecond * heldTime.Seconds()
	// A node counts few requests: one standard deviation less of them tells what a move takes at
	// least, as nodes that hold nothing back spend what the others do.
	if move*(1-1/math.Sqrt(max(counted, 1))) > mostHeld*bound {
		return whole
	}
	return min(whole, max(bearableShare*bound-move, leastTried*t.part()))
}
