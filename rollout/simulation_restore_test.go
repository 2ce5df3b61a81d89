package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// entryTTL is the time after which the entries of servers that are gone expire.
	entryTTL = 3600 * time.Millisecond
	// restoreSlack is the time within which nodes learn of that.
	restoreSlack = time.Second
	// operatorDelay is the time after a restore after which the operator writes its order again.
	operatorDelay = 300 * time.Millisecond
	// rolledBackDrain is the time after which the target's servers leave when an order is rolled back.
	rolledBackDrain = 3 * time.Second
	// recoveryTime is the time after the restore, or the last start of a node, from which requests must be
	// served, and judgedTime for how long they are judged.
	recoveryTime = 15 * time.Second
	judgedTime   = 5 * time.Second
	// minServedShare is the share of the requests that must be served then.
	minServedShare = 0.25
)

// restorePlan is a restore of the registry from a backup while an order is in any of its phases.
type restorePlan struct {
	// The backup is made at backupAt. The registry goes down at downAt and is restored at restoreAt.
	backupAt, downAt, restoreAt time.Duration
	// restarted lists the nodes that are killed at killAt and start at startAt. suspended is the node that
	// is suspended from suspendAt until wakeAt; nil if there is none.
	restarted         []*simNode
	killAt, startAt   time.Duration
	suspended         *simNode
	suspendAt, wakeAt time.Duration

	backup                   registryState
	hasBackup, done, started bool
	// previousGoneAt and targetGoneAt are when the servers of a version left; zero means that they have not.
	previousGoneAt, targetGoneAt time.Duration
	asked, served                int
}

// newRestoredCluster returns a cluster whose registry is restored from a backup.
func newRestoredCluster(seed uint64) *cluster {
	c := newCluster(seed, noBug)
	random := rand.New(rand.NewPCG(seed, 69))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Float64()*float64(high-low))
	}
	p := &restorePlan{}
	p.backupAt = between(c.orderAt-2*time.Second, c.orderAt+c.duration+3*time.Second)
	p.downAt = p.backupAt + between(500*time.Millisecond, 6*time.Second)
	p.restoreAt = p.downAt + between(200*time.Millisecond, 3*time.Second)
	p.killAt, p.startAt = between(p.downAt-time.Second, p.restoreAt), between(p.restoreAt-200*time.Millisecond, p.restoreAt+3*time.Second)
	switch random.IntN(5) {
	case 0:
		p.restarted = c.nodes
	case 1:
		p.restarted = c.nodes[:1]
	case 2:
		p.restarted = c.nodes[random.IntN(len(c.nodes)):]
	case 3:
		p.suspended = c.nodes[random.IntN(min(3, len(c.nodes)))]
		p.suspendAt, p.wakeAt = between(p.backupAt-3*time.Second, p.downAt), between(p.restoreAt-500*time.Millisecond, p.restoreAt+time.Second)
	}
	c.outage = [2]time.Duration{p.downAt, p.restoreAt}
	c.restore = p
	return c
}

func (p *restorePlan) recoveredAt() time.Duration {
	return max(p.restoreAt, p.startAt, p.wakeAt) + recoveryTime
}

func (p *restorePlan) judgedUntil() time.Duration { return p.recoveredAt() + judgedTime }

// operatorWrites reports whether the operator writes its order at now, if the registry lacks it.
func (p *restorePlan) operatorWrites(now time.Duration) bool {
	return now < p.downAt || now >= p.restoreAt+operatorDelay
}

// apply carries out what is due.
func (p *restorePlan) apply(c *cluster) {
	if !p.hasBackup && c.now >= p.backupAt {
		p.hasBackup, p.backup = true, c.store
	}
	if !p.done && c.now >= p.restoreAt {
		p.done = true
		epoch := c.store.epoch + 1
		c.store = p.backup
		c.store.epoch = epoch
		c.revision = max(c.store.order, c.store.record)
	}
	if !p.started && len(p.restarted) > 0 && c.now >= p.killAt {
		p.started = true
		for _, n := range p.restarted {
			n.upAt = p.startAt
			c.start(n)
			n.startedAt = p.startAt
		}
	}
	if p.suspended != nil && c.now >= p.suspendAt && c.now < p.wakeAt && p.suspended.up(c.now) {
		p.suspended.frozenUntil = p.wakeAt
	}
	p.stopServers(c)
}

// stopServers acts as the platform does when the registry tells of an order's end.
func (p *restorePlan) stopServers(c *cluster) {
	if c.store.record == 0 || !c.registryUp() {
		return
	}
	switch c.store.value.Phase {
	case Completed:
		if p.previousGoneAt == 0 {
			p.previousGoneAt = c.now
		}
	case RolledBack:
		if p.targetGoneAt == 0 {
			p.targetGoneAt = c.now + rolledBackDrain
		}
	}
}

// runs reports whether the servers whose end is given run at a time.
func runs(goneAt, now time.Duration) bool { return goneAt == 0 || now < goneAt }

// lists reports whether the registry lists servers whose end is given: after a restore, for a time, also
// those that left after the backup.
func (p *restorePlan) lists(goneAt, now time.Duration) bool {
	return runs(goneAt, now) || p.done && now < p.restoreAt+entryTTL && runs(goneAt, p.backupAt)
}

// listedVersions returns the versions of the servers that the registry lists.
func (c *cluster) listedVersions() []string {
	if c.restore == nil {
		return []string{previousVersion, targetVersion}
	}
	var versions []string
	if c.restore.lists(c.restore.previousGoneAt, c.now) {
		versions = append(versions, previousVersion)
	}
	if c.restore.lists(c.restore.targetGoneAt, c.now) {
		versions = append(versions, targetVersion)
	}
	return versions
}

// count counts a request of a node once the service must have recovered, and whether it is served: by the
// version to which the node sends it, or by the other one if the node may ask that.
func (p *restorePlan) count(c *cluster, n *simNode, toTarget bool) {
	if c.now < p.recoveredAt() {
		return
	}
	p.asked++
	targetRuns, previousRuns := runs(p.targetGoneAt, c.now), runs(p.previousGoneAt, c.now)
	mayUse := func(version string) bool { return n.canary.TrafficMode(c.now, version) == Unrestricted }
	if toTarget && targetRuns || targetRuns && mayUse(targetVersion) || previousRuns && mayUse(previousVersion) {
		p.served++
	}
}

func (s registryState) orderNumber() uint64 { return s.epoch<<48 | s.order }

func (s registryState) recordNumber() uint64 { return s.value.Epoch<<48 | s.record }

// history returns what a node has seen of the registry's past.
func (n *simNode) history(now time.Duration) RegistryHistory {
	return RegistryHistory{
		EpochSeenAt: n.epochSeenAt, SawRestore: n.sawRestore, Grace: entryTTL + restoreSlack, ViewOutdated: n.viewAt < max(n.frozenUntil, n.outdatedAt), ViewAge: now - n.viewAt,
	}
}

// refreshAfterRestore updates the view of a node that may know more than the registry, as discovery does:
// a record that the registry has lost is kept until it is written again, and an order keeps its number.
func (c *cluster) refreshAfterRestore(n *simNode) {
	known := n.state.Record
	n.view.epoch, n.view.order, n.state.OrderRevision = c.store.epoch, c.store.order, c.store.order
	if n.state.Order == 0 && c.store.order != 0 {
		n.state.Order, n.state.Target, n.state.Duration = c.store.orderNumber(), targetVersion, c.duration
		c.copyOrderAge(n)
	}
	n.state.AlarmHeld = c.store.alarm
	if c.store.alarm {
		n.state.AlarmSeenAt = c.now
	}
	keeps := known != nil && (c.store.record == 0 || c.store.recordNumber() < n.recordNumber || known.Reopened(&c.store.value))
	n.state.RecordLost = keeps
	if keeps {
		n.view.record = c.store.record
	} else if c.store.record != 0 {
		if c.store.recordNumber() != n.recordNumber {
			n.state.RecordSeenAt = c.now
		}
		n.view.record, n.view.value, n.recordNumber = c.store.record, c.store.value, c.store.recordNumber()
		record := c.store.value
		n.state.Record = &record
	}
	if n.state.RecordMatchesRestoredOrder() {
		n.state.Order = n.state.Record.Order
	}
	c.updateCanary(n)
}

// Random histories in which the registry is restored from a backup while an order is in any of its phases,
// and all nodes, some, or the decider alone are restarted or suspended meanwhile. Once the nodes are back,
// the service must be served: a version without servers must not be the only one that receives requests,
// and the only version that is left must not be blocked.
func TestRolloutsAcrossRestores(t *testing.T) {
	first, histories := envNumber(t, seedVariable, 1), envNumber(t, historiesVariable, 400)
	unserved, completed, rolledBack := 0, 0, 0
	for seed := first; seed < first+histories; seed++ {
		c := newRestoredCluster(seed)
		c.run()
		p := c.restore
		completed += boolToInt(p.previousGoneAt > 0)
		rolledBack += boolToInt(p.targetGoneAt > 0)
		if p.asked == 0 || float64(p.served) >= minServedShare*float64(p.asked) {
			continue
		}
		unserved++
		t.Errorf("seed %d: %d of %d requests are served; %d of %d nodes restarted, a node suspended: %t; record %+v",
			seed, p.served, p.asked, len(p.restarted), len(c.nodes), p.suspended != nil, c.store.value)
	}
	t.Logf("%d histories: previous versions stopped in %d, targets in %d, not served in %d", histories, completed, rolledBack, unserved)
	if slices.Min([]int{completed, rolledBack}) < int(histories)/5 {
		t.Errorf("too few histories with either end")
	}
}
