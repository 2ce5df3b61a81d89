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
	// Since is when the order was given at the earliest, and RecordKnownAt when this node
	// heard of the record; both on the node's clock.
	Since      time.Duration
	SinceKnown bool
	// Latest is when the order was given at the latest: some node had heard of it by then. It
	// counts where Since is known.
	Latest        time.Duration
	RecordKnownAt time.Duration
	// Alarm says that the registry holds the order's alarm, and AlarmSeenAt when it was seen
	// last; zero is never.
	Alarm       bool
	AlarmSeenAt time.Duration
	// Granted is what the record grants to this node.
	Granted int
}

// current reports whether the record is that of the order.
func (s State) current() bool { return s.Record != nil && s.Record.Order == s.Order }

// moving reports whether the order's traffic moves.
func (s State) moving() bool { return s.current() && s.Record.Phase == Moving }

// Ended reports whether there is nothing to do: no order, or one that has come to its end.
func (s State) Ended() bool {
	if s.Order == 0 {
		return s.Record == nil || s.Record.Phase.Ended()
	}
	return s.current() && s.Record.Phase.Ended()
}

// Continues reports whether the record is of the order that stands in the registry, though that
// was written under another number: the registry has come back from a copy since, and this
// node did not know the order before.
func (s State) Continues() bool {
	return s.Order != 0 && s.Record != nil && s.OrderRevision != 0 &&
		s.Record.orderRevision() == s.OrderRevision && s.Record.Target == s.Target
}

// Unsettled reports whether the record must be written again: the registry does not hold it, or
// holds its order elsewhere, so that nodes that start now would take the order for a new one.
func (s State) Unsettled() bool {
	if s.Record == nil {
		return false
	}
	moved := s.current() && s.OrderRevision != 0 && s.Record.orderRevision() != s.OrderRevision
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
	case s.SinceKnown:
		return now - s.Since
	case s.current() && s.Record.Alarmed && s.Alarm:
		return min(s.Record.Elapsed+now-s.RecordKnownAt, s.Record.Decision-loadTime)
	case s.current() && s.Record.Alarmed && s.AlarmSeenAt > 0:
		return s.Record.Decision + now - s.AlarmSeenAt
	case s.current() && s.Record.Alarmed:
		return s.Record.Decision + restartTime + now - s.RecordKnownAt // gone before this node began
	case s.current():
		return s.Record.Elapsed + restartTime + now - s.RecordKnownAt
	default:
		return restartTime
	}
}

// Doubt is by how much the order may be younger than its age tells.
func (s State) Doubt() time.Duration {
	if !s.SinceKnown {
		return restartTime
	}
	return max(s.Latest-s.Since, 0)
}

// grantMargin is by how much a process must be older than a grant to have it: orders are
// thought to be older than they are by a reading of the registry at most.
const grantMargin = 3 * time.Second

// Grant is what a record grants to a node, whose process runs for the time given: one that
// is younger than the grant may follow one that has used it.
func (s State) Grant(now time.Duration, node string, running time.Duration) int {
	if !s.current() || running < s.Age(now)-s.Record.Granted+grantMargin {
		return 0
	}
	return s.Record.Grants[node]
}

// Standing is what a version's servers may get.
type Standing int

const (
	// Free servers get requests as any other.
	Free Standing = iota
	// Limited servers get what the exposure allows.
	Limited
	// Closed servers get nothing.
	Closed
)

// Trial is one node's part in a service's roll-out: what it may give the target. It is not
// safe for concurrent use.
type Trial struct {
	bounds Bounds
	// offset spreads what all nodes give the target early, of which each has a few only.
	offset float64
	state  State
	// allowance and routes are of the order.
	allowance extrabudget.Allowance
	routes    map[string]*routeSends
	halted    bool
	// loaded says that the load has begun, before which spentBefore were spent, and loadServers
	// is the number of servers that bear it.
	loaded                   bool
	spentBefore, loadServers int
	// only is the one version that is there, empty if there are several, and alone says that
	// it is the order's: then there is nothing to move.
	only  string
	alone bool
	// movingAt is when this node heard that traffic moves; the record may be written again.
	movingAt time.Duration
	// freshUntil is until when the belief is good enough.
	freshUntil time.Duration
	evidence   Evidence
}

// NewTrial returns a node's part in the roll-outs of one service; offset is from 0 to 1,
// another one for each node.
func NewTrial(bounds Bounds, offset float64) *Trial {
	return &Trial{bounds: bounds, offset: offset, routes: make(map[string]*routeSends)}
}

// Take notes what is known of the roll-out, until when that is fresh.
func (t *Trial) Take(state State, freshUntil time.Duration) {
	if state.Order != t.state.Order {
		t.allowance = extrabudget.Allowance{}
		t.routes, t.halted, t.loaded = make(map[string]*routeSends), false, false
		t.evidence = Evidence{}
		t.alone = t.only != "" && t.only == state.Target
	}
	if state.moving() && (!t.state.moving() || state.Order != t.state.Order) {
		t.movingAt = state.RecordKnownAt
	}
	t.state, t.freshUntil = state, freshUntil
}

// See notes the versions of the service's servers that take work.
func (t *Trial) See(versions []string) {
	t.only = ""
	if len(versions) == 1 {
		t.only = versions[0]
	}
}

// State is what was noted last.
func (t *Trial) State() State { return t.state }

// Halt stops what the target gets until there is another order: the decision to roll back
// is on its way.
func (t *Trial) Halt(order uint64) {
	if t.state.Order == order {
		t.halted = true
	}
}

// Active reports whether there is an order that has not ended.
func (t *Trial) Active() bool {
	return t.state.Order != 0 && !t.state.Ended()
}

// Standing is what servers of a version may get now.
func (t *Trial) Standing(now time.Duration, version string) Standing {
	record := t.state.Record
	if t.Active() && version == t.state.Target {
		return t.targetStanding(now)
	}
	switch {
	case record == nil:
		return Free
	case slices.Contains(record.Aside, version):
		return Closed
	case record.Phase == RolledBack && version == record.Target:
		return Closed
	case record.Phase == Completed && slices.Contains(record.Before, version):
		return Closed
	case t.Moved(now) && slices.Contains(record.Before, version):
		return Closed
	case !record.Phase.Ended() && !t.state.current() && version == record.Target:
		return Closed // given up for another order, or taken back
	default:
		return Free
	}
}

// Moved reports whether this node sends everything to the target. One that was told to halt
// has gone back to the versions before.
func (t *Trial) Moved(now time.Duration) bool {
	if !t.Active() || !t.state.moving() || t.halted {
		return false
	}
	spread := time.Duration(t.offset * float64(rampTime))
	return now >= t.movingAt+spread && t.state.Age(now) >= t.state.Record.MoveAt+spread
}

func (t *Trial) targetStanding(now time.Duration) Standing {
	switch {
	case !t.state.current() && t.alone:
		return Free
	case !t.state.current() || t.halted:
		return Closed
	case t.Moved(now):
		return Free
	default:
		return Limited
	}
}

// Hurried reports whether the target gets so much now that the deciders are to hear of it
// more often.
func (t *Trial) Hurried(now time.Duration) bool {
	_, underLoad := t.UnderLoad(now)
	return underLoad || t.Active() && t.state.current() && t.state.Record.Phase == Moving
}

// Sent notes that a server of the target was sent something.
func (t *Trial) Sent() { t.allowance.Spend() }

// TakeBack notes that nothing of a send to the target was written.
func (t *Trial) TakeBack() { t.allowance.TakeBack() }

// Reached notes that a request has reached a server of the service, whatever its version.
func (t *Trial) Reached() { t.allowance.Count() }

// Spent is what the target got from this node.
func (t *Trial) Spent() int { return t.allowance.Spent() }

// Allowed is what the target may have got so far.
func (t *Trial) Allowed() float64 {
	return t.allowance.Whole(t.bounds.ExposureShare, t.state.Granted)
}

// Evidence is what the node has seen of the order's answers.
func (t *Trial) Evidence() *Evidence { return &t.evidence }
