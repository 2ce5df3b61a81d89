package rollout

import (
	"fmt"
	"slices"
	"time"
)

// step lets a node update its view, report and decide.
func (c *cluster) step(n *simNode) {
	c.refreshView(n)
	if n.canary.Active() && c.now >= n.reportAt && n.reachesNodes(c.now) && n.stalledUntil <= c.now {
		n.reportAt = c.now + reportInterval
		if n.canary.NeedsFrequentReports(c.now) {
			n.reportAt = c.now + reportInterval/2
		}
		c.report(n)
	}
	index := slices.IndexFunc(c.leaders(), func(l *simNode) bool { return l == n })
	if index < 0 || !n.hasView {
		return
	}
	cluster := DeciderInput{
		State: n.state, Epoch: n.view.epoch, RecordRevision: n.view.record, Versions: c.listedVersions(), ServiceKnown: true,
		History: n.history(c.now), DeciderIndex: index, Nodes: c.nodeNames(), ServingNodes: c.nodeNames(), MaxViewAge: 1600 * time.Millisecond,
	}
	if c.bug == bugNoConfirmations {
		cluster.Nodes = nil
	}
	if c.bug == bugNoTakeover && index > 0 {
		cluster.DeciderIndex = -1
	}
	if c.bug == bugEndedReopened && n.state.hasCurrentRecord() && n.state.Record.Phase == Completed {
		reopened := *n.state.Record
		reopened.Phase = Moving
		cluster.Record = &reopened
	}
	n.decider.Observe(c.now, cluster)
	if due, ok := n.decider.Tick(c.now); ok && n.reachesRegistry(c.now) {
		c.writes = append(c.writes, write{at: c.now + time.Duration(c.random.IntN(60))*time.Millisecond, what: due, by: n.decider, from: n})
	}
}

// leaders returns the first three nodes that others see. Nodes that are down or disconnected are skipped
// at once, without the time that detecting this takes; frozen nodes and those cut from the registry
// alone are not skipped.
func (c *cluster) leaders() []*simNode {
	var seen []*simNode
	for _, n := range c.nodes {
		if n.up(c.now) && n.cutUntil <= c.now && len(seen) < 3 {
			seen = append(seen, n)
		}
	}
	return seen
}

// nodeNames returns the names of the nodes that are not known to be gone.
func (c *cluster) nodeNames() []string {
	var names []string
	for _, n := range c.nodes {
		if n.up(c.now) && n.cutUntil <= c.now {
			names = append(names, n.name)
		}
	}
	return names
}

// refreshView updates a node's view of the registry, once per lag.
func (c *cluster) refreshView(n *simNode) {
	if c.now < n.viewAt+n.lag || !n.reachesNodes(c.now) || !c.registryUp() || n.stalledUntil > c.now {
		return
	}
	lastViewAt, hadView := n.viewAt, n.hasView
	n.viewAt, n.hasView = c.now, true
	n.lag = time.Duration(c.random.Float64() * float64(1400*time.Millisecond))
	if n.registryCutUntil > c.now {
		n.lag += 1500 * time.Millisecond // learned from other nodes
	}
	if !hadView || c.store.epoch > n.view.epoch {
		n.sawRestore, n.epochSeenAt = hadView && lastViewAt >= max(n.frozenUntil, n.outdatedAt), c.now
	}
	if hadView && c.store.epoch > 0 {
		c.refreshAfterRestore(n)
		return
	}
	if c.store.order != n.view.order {
		n.state.OrderTimeKnown = false
		switch {
		case hadView && lastViewAt >= c.orderAt-2*c.orderDetectionDelay:
			n.state.Since, n.state.OrderTimeKnown = c.orderAt-c.orderDetectionDelay, true // as estimated by the reader of the registry
			if c.firstSeenAt == 0 {
				c.firstSeenAt = c.now
			}
			n.state.Latest = c.firstSeenAt
		case hadView:
			n.state.Since, n.state.OrderTimeKnown, n.state.Latest = lastViewAt, true, c.now
		default:
			c.copyOrderAge(n)
		}
	}
	if c.store.record != n.view.record {
		n.state.RecordSeenAt = c.now
	}
	if c.bug == bugEndsMissed && c.store.value.Phase == RolledBack && n.number%2 == 1 {
		c.updateCanary(n)
		return
	}
	n.view, n.recordNumber = c.store, c.store.recordNumber()
	n.state.AlarmHeld = c.store.alarm
	if c.store.alarm {
		n.state.AlarmSeenAt = c.now
	}
	n.state.Order, n.state.OrderRevision, n.state.Target = c.store.orderNumber(), c.store.order, targetVersion
	n.state.Duration = c.duration
	if n.view.record != 0 {
		record := n.view.value
		n.state.Record = &record
	}
	if n.state.RecordMatchesRestoredOrder() {
		n.state.Order = n.state.Record.Order
	}
	c.updateCanary(n)
}

// updateCanary passes a node's state to its canary.
func (c *cluster) updateCanary(n *simNode) {
	n.state.Granted = n.state.GrantFor(c.now, n.name, c.now-n.startedAt)
	if n.state.hasCurrentRecord() && c.bug == bugFullGrantForEach {
		n.state.Granted = 42
	}
	n.canary.SetVersions(c.now, c.listedVersions())
	n.canary.Update(n.state, n.viewAt+c.bounds.MaxViewAge())
}

// copyOrderAge copies the order's age from a node that knows it.
func (c *cluster) copyOrderAge(n *simNode) {
	if c.bug == bugAgeResetByRestart {
		n.state.Since, n.state.OrderTimeKnown, n.state.Latest = c.now, true, c.now
		return
	}
	for _, other := range c.nodes {
		if other != n && other.reachesNodes(c.now) && other.state.OrderTimeKnown && other.state.Order == c.store.order {
			n.state.Since, n.state.OrderTimeKnown, n.state.Latest = other.state.Since, true, other.state.Latest
			return
		}
	}
}

// report sends a node's evidence to the deciders.
func (c *cluster) report(n *simNode) {
	n.inFlight = slices.DeleteFunc(n.inFlight, func(until time.Duration) bool { return until <= c.now })
	target, before := n.canary.Evidence().Cells()
	report := Report{
		Node: n.name, Process: fmt.Sprint(n.process), Service: "service", Order: n.state.Order,
		Moved: n.canary.Moved(c.now), Remaining: len(n.inFlight), Target: target, Before: before,
	}
	if n.reportsFalseFailures {
		report.Target = slices.Clone(target)
		for i := range report.Target {
			report.Target[i].Failed, report.Target[i].Slow = report.Target[i].Answers, 0
		}
	}
	switch c.bug {
	case bugEvidenceCountedTwice:
		report.Process += fmt.Sprint(c.now)
	case bugNodesNotDistinguished:
		report.Node += fmt.Sprint(c.random.Uint32())
	}
	for _, leader := range c.leaders() {
		if !leader.reachesNodes(c.now) {
			continue
		}
		leader.decider.AddReport(c.now, report)
		if leader.decider.Halt() && c.bug != bugEndsMissed {
			n.canary.Halt(report.Order)
		}
	}
}
