package membership

import (
	"github.com/banksail/banksail/policy"
)

// State is the state of a node or a server. At equal incarnations, the greater state
// takes precedence.
type State int

const (
	// Live members accept new work.
	Live State = iota + 1
	// Suspect members failed probes and have not refuted the suspicion yet.
	Suspect
	// Leaving members finish the work in flight and accept no new work.
	Leaving
	// Gone members have left or are considered failed.
	Gone
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Valid reports whether the state is one of the constants above.
func (s State) Valid() bool { return s >= Live && s <= Gone }

// Limits of a member's fields. Updates that exceed them are dropped.
const (
	MaximumIDBytes      = 128
	MaximumAddressBytes = 64
	MaximumZoneBytes    = 64
	MaximumDetailsBytes = 128
	// MaximumIncarnation leaves room for refutations above any incarnation taken from a
	// clock.
	MaximumIncarnation = 1 << 60
)

// Member is one node's entry in the member table.
type Member struct {
	// ID identifies the node. A node may keep it across restarts.
	ID string
	// Address is the IP address and port on which other nodes reach the node.
	Address string
	// Zone is the failure zone in which the node runs.
	Zone string
	// Incarnation is chosen by the member itself and never decreases.
	Incarnation uint64
	// State is the last known state of the member.
	State State
	// Revision is the last known revision of the configuration in force at the member.
	Revision policy.Revision
	// Details holds additional properties of the member, in an encoding of the owner's
	// choice. It changes only together with the incarnation.
	Details string
}

// Valid reports whether the member's fields are within their limits.
func (m Member) Valid() bool {
	switch {
	case m.ID == "" || len(m.ID) > MaximumIDBytes:
		return false
	case m.Address == "" || len(m.Address) > MaximumAddressBytes:
		return false
	case len(m.Zone) > MaximumZoneBytes || len(m.Details) > MaximumDetailsBytes:
		return false
	case m.Incarnation > MaximumIncarnation:
		return false
	}
	return m.State.Valid()
}

// Supersedes reports whether m is newer information about the same member than other: a
// higher incarnation, at equal incarnations a greater state, or at equal states a
// higher revision.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.State != other.State {
		return m.State > other.State
	}
	return m.Revision > other.Revision
}

// merge combines two entries of the same member. A higher incarnation replaces a lower
// one. Within an incarnation neither the state nor the revision decreases.
func merge(current, update Member) Member {
	if update.Incarnation != current.Incarnation {
		if update.Incarnation > current.Incarnation {
			return update
		}
		return current
	}
	merged := current
	merged.State = max(current.State, update.State)
	merged.Revision = max(current.Revision, update.Revision)
	return merged
}

// memberOverheadBytes is an upper bound on the encoded size of a member without its
// strings.
const memberOverheadBytes = 32

// encodedBytes returns an upper bound on the member's size in a message.
func (m Member) encodedBytes() int {
	return len(m.ID) + len(m.Address) + len(m.Zone) + len(m.Details) + memberOverheadBytes
}
