package rollout

import (
	"slices"
	"time"

	"github.com/banksail/banksail/extrabudget"
)

// State is a node's view of a service's roll-out. Times are on the node's clock.
type State struct {
	// Order is the number of the order; zero means that there is none. Target is the order's version. It
	// is also set while there is no record.
	Order  uint64
	Target string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// OrderRevision is the order's current revision in the registry; zero means that the registry was
	// restored from a backup without it. RecordLost means the same for the record.
	OrderRevision uint64
	RecordLost    bool
	// Record is the latest record of this order or of an earlier one; nil if there is none.
	Record *Record
	// Since is the earliest time at which the order can have been given, and is valid if OrderTimeKnown
	// is set. RecordSeenAt is when this node first saw the record.
	Since          time.Duration
	OrderTimeKnown bool
	// Latest is the latest time at which the order can have been given, because some node had seen it by
	// then. It is valid if OrderTimeKnown is set.
	Latest       time.Duration
	RecordSeenAt time.Duration
	// AlarmHeld says that the registry holds the order's alarm, and AlarmSeenAt when it was last seen
	// there; zero means never.
	AlarmHeld   bool
	AlarmSeenAt time.Duration
	// Granted is the number of requests that the record grants to this node.
	Granted int
}

// hasCurrentRecord reports whether the record belongs to the order.
func (s State) hasCurrentRecord() bool { return s.Record != nil && s.Record.Order == s.Order }

// isMoving reports whether the order is in the phase Moving.
func (s State) isMoving() bool { return s.hasCurrentRecord() && s.Record.Phase == Moving }

// Ended reports whether there is no order, or one whose roll-out has ended.
func (s State) Ended() bool {
	if s.Order == 0 {
		return s.Record == nil || s.Record.Phase.Ended()
	}
	return s.hasCurrentRecord() && s.Record.Phase.Ended()
}

// RecordMatchesRestoredOrder reports whether the record belongs to the order in the registry although
// the order's number differs: the registry was restored from a backup and the order written again,
// and this node did not know the order before.
func (s State) RecordMatchesRestoredOrder() bool {
	return s.Order != 0 && s.Record != nil && s.OrderRevision != 0 &&
		s.Record.orderRevision() == s.OrderRevision && s.Record.Target == s.Target
}

// NeedsRewrite reports whether the record must be written again because the registry does not hold
// it, or holds its order at another revision. Otherwise nodes that start now would take the order for
// a new one.
func (s State) NeedsRewrite() bool {
	if s.Record == nil {
		return false
	}
	moved := s.hasCurrentRecord() && s.OrderRevision != 0 && s.Record.orderRevision() != s.OrderRevision
	return s.RecordLost || moved
}

// sameStage reports whether the records of two states have the same order and phase.
func (s State) sameStage(other State) bool {
	if s.Record == nil || other.Record == nil {
		return s.Record == other.Record
	}
	return s.Record.Order == other.Record.Order && s.Record.Phase == other.Record.Phase
}

// Age returns an upper bound of the order's age.
func (s State) Age(now time.Duration) time.Duration {
	switch {
	case s.OrderTimeKnown:
		return now - s.Since
	case s.hasCurrentRecord() && s.Record.HasAlarm && s.AlarmHeld:
		return min(s.Record.Elapsed+now-s.RecordSeenAt, s.Record.DecisionAt-loadTestTime)
	case s.hasCurrentRecord() && s.Record.HasAlarm && s.AlarmSeenAt > 0:
		return s.Record.DecisionAt + now - s.AlarmSeenAt
	case s.hasCurrentRecord() && s.Record.HasAlarm:
		return s.Record.DecisionAt + restartAllowance + now - s.RecordSeenAt // the alarm expired before this node started
	case s.hasCurrentRecord():
		return s.Record.Elapsed + restartAllowance + now - s.RecordSeenAt
	default:
		return restartAllowance
	}
}

// AgeUncertainty returns by how much the order may be younger than Age.
func (s State) AgeUncertainty() time.Duration {
	if !s.OrderTimeKnown {
		return restartAllowance
	}
	return max(s.Latest-s.Since, 0)
}

// grantMargin is by how much a process must be older than a grant to use it. An order's age may be
// overestimated by up to one poll of the registry.
const grantMargin = 3 * time.Second

// GrantFor returns the number of requests that the record grants to a node whose process has been
// running for the given time. It is zero for a process younger than the grant, since an earlier
// process of the node may have used it.
func (s State) GrantFor(now time.Duration, node string, running time.Duration) int {
	if !s.hasCurrentRecord() || running < s.Age(now)-s.Record.Granted+grantMargin {
		return 0
	}
	return s.Record.Grants[node]
}

// TrafficMode says what traffic the servers of a version may receive.
type TrafficMode int

const (
	// Unrestricted servers receive requests like any other.
	Unrestricted TrafficMode = iota
	// Limited servers receive requests within the limits of the Canary.
	Limited
	// Blocked servers receive no requests.
	Blocked
)

// Canary limits what one node sends to the target version of a service's roll-out, and collects
// evidence about it. It is not safe for concurrent use.
type Canary struct {
	bounds Bounds
	// offset staggers the early sends to the target between nodes, each of which has only a few.
	offset float64
	state  State
	// allowance, routes and halted are reset for each order.
	allowance extrabudget.Allowance
	routes    map[string]*routeSends
	halted    bool
	// loadTestStarted says that the load test has begun. sendsBeforeLoadTest is the number of requests
	// sent to the target before it, and loadTestServers the number of servers that it uses in turn.
	loadTestStarted                      bool
	sendsBeforeLoadTest, loadTestServers int
	// soleVersion is the only version of the service's servers, or empty if there are several.
	// targetIsSole says that it is the order's target, so that there is nothing to move.
	soleVersion  string
	targetIsSole bool
	// allBlockedSince is since when all of the service's servers have been blocked, if allBlocked.
	allBlocked      bool
	allBlockedSince time.Duration
	// moveSeenAt is when this node learned of the move. It is not updated when the record is rewritten.
	moveSeenAt time.Duration
	// freshUntil is when the node's view of the registry becomes too old to send to the target.
	freshUntil time.Duration
	evidence   Evidence
}

// NewCanary returns a canary for the roll-outs of one service. offset is between 0 and 1 and should
// differ between nodes.
func NewCanary(bounds Bounds, offset float64) *Canary {
	return &Canary{bounds: bounds, offset: offset, routes: make(map[string]*routeSends)}
}

// Update sets the state of the roll-out, which may be used until freshUntil.
func (c *Canary) Update(state State, freshUntil time.Duration) {
	if state.Order != c.state.Order {
		c.allowance = extrabudget.Allowance{}
		c.routes, c.halted, c.loadTestStarted = make(map[string]*routeSends), false, false
		c.evidence = Evidence{}
		c.targetIsSole = c.soleVersion != "" && c.soleVersion == state.Target
	}
	if state.isMoving() && (!c.state.isMoving() || state.Order != c.state.Order) {
		c.moveSeenAt = state.RecordSeenAt
	}
	c.state, c.freshUntil = state, freshUntil
}

// SetVersions sets the versions of the service's servers that accept work.
func (c *Canary) SetVersions(now time.Duration, versions []string) {
	c.soleVersion = ""
	if len(versions) == 1 {
		c.soleVersion = versions[0]
	}
	wereBlocked := c.allBlocked
	c.allBlocked = len(versions) > 0 && !c.Active() && !slices.ContainsFunc(versions, func(version string) bool {
		return c.assignedTrafficMode(now, version) != Blocked
	})
	if c.allBlocked && !wereBlocked {
		c.allBlockedSince = now
	}
}

// State returns the state set by the last call of Update.
func (c *Canary) State() State { return c.state }

// Halt stops all sends to the target of the given order. It is called when a decider is about to roll
// the order back.
func (c *Canary) Halt(order uint64) {
	if c.state.Order == order {
		c.halted = true
	}
}

// Active reports whether there is an order that has not ended.
func (c *Canary) Active() bool {
	return c.state.Order != 0 && !c.state.Ended()
}

// soleVersionGrace is for how long all servers of a service may be blocked. Crashed servers of another
// version are back by then; if none is, the blocked ones are all that the service has left.
const soleVersionGrace = 8 * time.Second

// TrafficMode returns what traffic the servers of a version may receive now.
func (c *Canary) TrafficMode(now time.Duration, version string) TrafficMode {
	if c.allBlocked && now-c.allBlockedSince >= soleVersionGrace {
		return Unrestricted
	}
	return c.assignedTrafficMode(now, version)
}

// assignedTrafficMode returns the traffic mode that follows from the order and its record.
func (c *Canary) assignedTrafficMode(now time.Duration, version string) TrafficMode {
	record := c.state.Record
	if c.Active() && version == c.state.Target {
		return c.targetTrafficMode(now)
	}
	switch {
	case record == nil:
		return Unrestricted
	case slices.Contains(record.Excluded, version):
		return Blocked
	case record.Phase == RolledBack && version == record.Target:
		return Blocked
	case record.Phase == Completed && slices.Contains(record.Before, version):
		return Blocked
	case c.Moved(now) && slices.Contains(record.Before, version):
		return Blocked
	case !record.Phase.Ended() && !c.state.hasCurrentRecord() && version == record.Target:
		return Blocked // replaced by another order, or withdrawn
	default:
		return Unrestricted
	}
}

// Moved reports whether this node sends all traffic to the target. After Halt, it sends to the
// previous versions again.
func (c *Canary) Moved(now time.Duration) bool {
	if !c.Active() || !c.state.isMoving() || c.halted {
		return false
	}
	spread := time.Duration(c.offset * float64(rampTime))
	return now >= c.moveSeenAt+spread && c.state.Age(now) >= c.state.Record.MoveAt+spread
}

// targetTrafficMode returns the traffic mode of the active order's target.
func (c *Canary) targetTrafficMode(now time.Duration) TrafficMode {
	switch {
	case !c.state.hasCurrentRecord() && c.targetIsSole:
		return Unrestricted
	case !c.state.hasCurrentRecord() || c.halted:
		return Blocked
	case c.Moved(now):
		return Unrestricted
	default:
		return Limited
	}
}

// NeedsFrequentReports reports whether the target receives so much traffic now that the node must
// report to the deciders more often.
func (c *Canary) NeedsFrequentReports(now time.Duration) bool {
	_, underLoad := c.LoadTestServer(now)
	return underLoad || c.Active() && c.state.hasCurrentRecord() && c.state.Record.Phase == Moving
}

// CountTargetSend counts a send to a server of the target.
func (c *Canary) CountTargetSend() { c.allowance.Spend() }

// UndoTargetSend takes back a send to the target of which nothing was written.
func (c *Canary) UndoTargetSend() { c.allowance.Refund() }

// CountRequest counts a request that reached a server of the service, of whatever version.
func (c *Canary) CountRequest() { c.allowance.Count() }

// TargetSends returns the number of sends to the target by this node.
func (c *Canary) TargetSends() int { return c.allowance.Spent() }

// Allowed returns the number of sends to the target that this node's bound has allowed so far.
func (c *Canary) Allowed() float64 {
	return c.allowance.Limit(c.bounds.ExposureShare, c.state.Granted)
}

// Evidence returns the answers that this node has seen since it learned of the order.
func (c *Canary) Evidence() *Evidence { return &c.evidence }
