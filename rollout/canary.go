package rollout

import (
	"slices"
	"time"

	"github.com/banksail/banksail/extrabudget"
)

// State is what a node knows of a service's roll-out.
type State struct {
	// Order is the number of the order; zero is that there is none. Target is its version,
	// also while there is no record.
	Order  uint64
	Target string
	// Duration is the time from the order until its deadline.
	Duration time.Duration
	// OrderRevision is where the registry holds the order now; zero is nowhere, as it has come
	// back from a copy without it. RecordLost says the same of the record.
	OrderRevision uint64
	RecordLost    bool
	// Record is what the nodes have made of the order, or of an earlier one; nil is nothing.
	Record *Record
	// Since is when the order was given at the earliest, and RecordSeenAt when this node
	// heard of the record; both on the node's clock.
	Since          time.Duration
	OrderTimeKnown bool
	// Latest is when the order was given at the latest: some node had heard of it by then. It
	// counts where Since is known.
	Latest       time.Duration
	RecordSeenAt time.Duration
	// AlarmHeld says that the registry holds the order's alarm, and AlarmSeenAt when it was seen
	// last; zero is never.
	AlarmHeld   bool
	AlarmSeenAt time.Duration
	// Granted is what the record grants to this node.
	Granted int
}

// hasCurrentRecord reports whether the record is that of the order.
func (s State) hasCurrentRecord() bool { return s.Record != nil && s.Record.Order == s.Order }

// isMoving reports whether the order's traffic moves.
func (s State) isMoving() bool { return s.hasCurrentRecord() && s.Record.Phase == Moving }

// Ended reports whether there is nothing to do: no order, or one that has come to its end.
func (s State) Ended() bool {
	if s.Order == 0 {
		return s.Record == nil || s.Record.Phase.Ended()
	}
	return s.hasCurrentRecord() && s.Record.Phase.Ended()
}

// RecordMatchesRestoredOrder reports whether the record is of the order that stands in the registry, though that
// was written under another number: the registry has come back from a copy since, and this
// node did not know the order before.
func (s State) RecordMatchesRestoredOrder() bool {
	return s.Order != 0 && s.Record != nil && s.OrderRevision != 0 &&
		s.Record.orderRevision() == s.OrderRevision && s.Record.Target == s.Target
}

// NeedsRewrite reports whether the record must be written again: the registry does not hold it, or
// holds its order elsewhere, so that nodes that start now would take the order for a new one.
func (s State) NeedsRewrite() bool {
	if s.Record == nil {
		return false
	}
	moved := s.hasCurrentRecord() && s.OrderRevision != 0 && s.Record.orderRevision() != s.OrderRevision
	return s.RecordLost || moved
}

// sameStage reports whether two records are of the same order and phase.
func (s State) sameStage(other State) bool {
	if s.Record == nil || other.Record == nil {
		return s.Record == other.Record
	}
	return s.Record.Order == other.Record.Order && s.Record.Phase == other.Record.Phase
}

// Age is how old the order is at most.
func (s State) Age(now time.Duration) time.Duration {
	switch {
	case s.OrderTimeKnown:
		return now - s.Since
	case s.hasCurrentRecord() && s.Record.HasAlarm && s.AlarmHeld:
		return min(s.Record.Elapsed+now-s.RecordSeenAt, s.Record.DecisionAt-loadTestTime)
	case s.hasCurrentRecord() && s.Record.HasAlarm && s.AlarmSeenAt > 0:
		return s.Record.DecisionAt + now - s.AlarmSeenAt
	case s.hasCurrentRecord() && s.Record.HasAlarm:
		return s.Record.DecisionAt + restartAllowance + now - s.RecordSeenAt // gone before this node began
	case s.hasCurrentRecord():
		return s.Record.Elapsed + restartAllowance + now - s.RecordSeenAt
	default:
		return restartAllowance
	}
}

// AgeUncertainty is by how much the order may be younger than its age tells.
func (s State) AgeUncertainty() time.Duration {
	if !s.OrderTimeKnown {
		return restartAllowance
	}
	return max(s.Latest-s.Since, 0)
}

// grantMargin is by how much a process must be older than a grant to have it: orders are
// thought to be older than they are by a reading of the registry at most.
const grantMargin = 3 * time.Second

// GrantFor is what a record grants to a node, whose process runs for the time given: one that
// is younger than the grant may follow one that has used it.
func (s State) GrantFor(now time.Duration, node string, running time.Duration) int {
	if !s.hasCurrentRecord() || running < s.Age(now)-s.Record.Granted+grantMargin {
		return 0
	}
	return s.Record.Grants[node]
}

// TrafficMode is what a version's servers may get.
type TrafficMode int

const (
	// Unrestricted servers get requests as any other.
	Unrestricted TrafficMode = iota
	// Limited servers get what the exposure allows.
	Limited
	// Blocked servers get nothing.
	Blocked
)

// Canary is one node's part in a service's roll-out: what it may give the target. It is not
// safe for concurrent use.
type Canary struct {
	bounds Bounds
	// offset spreads what all nodes give the target early, of which each has a few only.
	offset float64
	state  State
	// allowance and routes are of the order.
	allowance extrabudget.Allowance
	routes    map[string]*routeSends
	halted    bool
	// loadTestStarted says that the load has begun, before which sendsBeforeLoadTest were spent, and loadServers
	// is the number of servers that bear it.
	loadTestStarted                      bool
	sendsBeforeLoadTest, loadTestServers int
	// soleVersion is the one version that is there, empty if there are several, and alone says that
	// it is the order's: then there is nothing to move.
	soleVersion  string
	targetIsSole bool
	// moveSeenAt is when this node heard that traffic moves; the record may be written again.
	moveSeenAt time.Duration
	// freshUntil is until when the belief is good enough.
	freshUntil time.Duration
	evidence   Evidence
}

// NewCanary returns a node's part in the roll-outs of one service; offset is from 0 to 1,
// another one for each node.
func NewCanary(bounds Bounds, offset float64) *Canary {
	return &Canary{bounds: bounds, offset: offset, routes: make(map[string]*routeSends)}
}

// Update notes what is known of the roll-out, until when that is fresh.
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

// SetVersions notes the versions of the service's servers that take work.
func (c *Canary) SetVersions(versions []string) {
	c.soleVersion = ""
	if len(versions) == 1 {
		c.soleVersion = versions[0]
	}
}

// State is what was noted last.
func (c *Canary) State() State { return c.state }

// Halt stops what the target gets until there is another order: the decision to roll back
// is on its way.
func (c *Canary) Halt(order uint64) {
	if c.state.Order == order {
		c.halted = true
	}
}

// Active reports whether there is an order that has not ended.
func (c *Canary) Active() bool {
	return c.state.Order != 0 && !c.state.Ended()
}

// TrafficMode is what servers of a version may get now.
func (c *Canary) TrafficMode(now time.Duration, version string) TrafficMode {
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
		return Blocked // given up for another order, or taken back
	default:
		return Unrestricted
	}
}

// Moved reports whether this node sends everything to the target. One that was told to halt
// has gone back to the versions before.
func (c *Canary) Moved(now time.Duration) bool {
	if !c.Active() || !c.state.isMoving() || c.halted {
		return false
	}
	spread := time.Duration(c.offset * float64(rampTime))
	return now >= c.moveSeenAt+spread && c.state.Age(now) >= c.state.Record.MoveAt+spread
}

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

// NeedsFrequentReports reports whether the target gets so much now that the deciders are to hear of it
// more often.
func (c *Canary) NeedsFrequentReports(now time.Duration) bool {
	_, underLoad := c.LoadTestServer(now)
	return underLoad || c.Active() && c.state.hasCurrentRecord() && c.state.Record.Phase == Moving
}

// CountTargetSend notes that a server of the target was sent something.
func (c *Canary) CountTargetSend() { c.allowance.Spend() }

// UndoTargetSend notes that nothing of a send to the target was written.
func (c *Canary) UndoTargetSend() { c.allowance.Refund() }

// CountRequest notes that a request has reached a server of the service, whatever its version.
func (c *Canary) CountRequest() { c.allowance.Count() }

// TargetSends is what the target got from this node.
func (c *Canary) TargetSends() int { return c.allowance.Spent() }

// Allowed is what the target may have got so far.
func (c *Canary) Allowed() float64 {
	return c.allowance.Limit(c.bounds.ExposureShare, c.state.Granted)
}

// Evidence is what the node has seen of the order's answers.
func (c *Canary) Evidence() *Evidence { return &c.evidence }
