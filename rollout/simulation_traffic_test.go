package rollout

import (
	"fmt"
	"time"
)

// sendTraffic sends the requests of one tick.
func (c *cluster) sendTraffic() {
	for i := range c.recent {
		c.recent[i] *= loadDecay
	}
	expected := c.rate * tick.Seconds()
	for expected > 0 && c.random.Float64() < expected {
		expected--
		n := c.nodes[c.random.IntN(len(c.nodes))]
		if n.awake(c.now) && n.hasView { // no routing table before that
			c.request(n)
		}
	}
}

// request sends one request from a node.
func (c *cluster) request(n *simNode) {
	route := c.routes[int(float64(len(c.routes))*c.random.Float64()*c.random.Float64())]
	toTarget := n.canary.TrafficMode(c.now, targetVersion) == Unrestricted && n.canary.TrafficMode(c.now, previousVersion) == Blocked || n.canary.ShouldSendToTarget(c.now, route)
	n.canary.CountFirstSend(route, toTarget)
	if c.restore != nil {
		c.restore.count(c, n, toTarget)
	}
	if !toTarget {
		c.sendToPrevious(n, route)
		return
	}
	if c.sendToTarget(n, route) == Failed && n.canary.TrafficMode(c.now, previousVersion) == Unrestricted {
		c.sendToPrevious(n, route)
	}
	if c.bug == bugRepeatsNotCounted && n.canary.TrafficMode(c.now, targetVersion) == Limited {
		c.countRequest(n, true)
		c.countRequest(n, true)
	}
}

// countRequest counts a request that reached a server.
func (c *cluster) countRequest(n *simNode, target bool) {
	n.canary.CountRequest()
	inSpan := c.now >= c.orderAt && c.now < c.orderAt+c.duration
	if inSpan {
		c.requests++
	}
	if !target {
		return
	}
	if inSpan && n.connectionSettled(c.now) {
		c.targetRequests++
	}
	c.moved = c.moved || c.store.value.Phase == Moving
	if !c.moved && float64(c.targetRequests) > c.bounds.ExposureShare*float64(c.requests)+c.bounds.ExposureSlack {
		c.overLimited++
	}
	if c.fiftiethAt > 0 && c.now > c.fiftiethAt+c.bounds.RollbackTime && n.connectionSettled(c.now) {
		c.lateTargetRequests++
	}
}

func (c *cluster) sendToPrevious(n *simNode, route string) {
	c.countRequest(n, false)
	n.inFlight = append(n.inFlight, c.now+time.Duration(c.random.IntN(200))*time.Millisecond)
	if c.end == Completed && n.connectionSettled(c.now) {
		c.lost++
	}
	n.canary.Evidence().Before(route, c.healthyAnswer())
}

func (c *cluster) sendToTarget(n *simNode, route string) AnswerQuality {
	n.canary.CountTargetSend()
	c.countRequest(n, true)
	index := c.random.IntN(targetServers)
	if loadTestIndex, underLoad := n.canary.LoadTestServer(c.now); underLoad {
		index = loadTestIndex % targetServers
	}
	server := fmt.Sprint("server-", index)
	c.recent[index]++
	answer := c.targetAnswer(route, index)
	if answer != Good && c.bad != (defectSpec{}) {
		c.badAnswers++
		if c.badAnswers == 50 {
			c.fiftiethAt = c.now
		}
	}
	if c.badServer && index == 1 && c.random.IntN(2) == 0 {
		answer = Failed
	}
	if answer == Slow && c.bug == bugSlowIgnored {
		answer = Good
	}
	n.canary.Evidence().Target(route, server, answer)
	return answer
}

// healthyAnswer draws an answer of a good version.
func (c *cluster) healthyAnswer() AnswerQuality {
	slow := 0.06
	if c.now >= c.slowFrom && c.now < c.slowUntil {
		slow = 0.4
	}
	switch chance := c.random.Float64(); {
	case chance < 0.004:
		return Failed
	case chance < slow:
		return Slow
	default:
		return Good
	}
}

// targetAnswer draws an answer of the target's server on a route.
func (c *cluster) targetAnswer(route string, server int) AnswerQuality {
	applies := c.now >= c.orderAt+c.bad.from && (c.bad.route == "" || c.bad.route == route)
	if c.bad.underLoad && c.recent[server] < loadShare*c.rate/targetServers {
		applies = false
	}
	chance := c.random.Float64()
	switch {
	case applies && chance < c.bad.failed:
		return Failed
	case applies && chance < c.bad.slow:
		return Slow
	default:
		return c.healthyAnswer()
	}
}
