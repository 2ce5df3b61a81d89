package membership

import (
	"github.com/banksail/banksail/policy"
)

// State is what is known of a node or a server. At an equal incarnation a
// greater state wins.
type State int

const (
	// Live members take new work.
	Live State = iota + 1
	// Suspect members missed probes and have not refuted it yet.
	Suspect
	// Leaving members end what is in flight and take no new work.
	Leaving
	// Gone members have left or are taken for failed.
	Gone
)

// String names the state in lower case.
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

// Valid reports whether the state is one of the named ones.
func (s State) Valid() bool { return s >= Live && s <= Gone }

// Bounds of a member's fields. Updates that exceed them are dropped.
const (
	MaximumIDBytes      = 128
	MaximumAddressBytes = 64
	MaximumZoneBytes    = 64
	MaximumDetailsBytes = 128
	// MaximumIncarnation leaves room for refutations above any clock.
	MaximumIncarnation = 1 << 60
)

// Member is one node's entry in the member table.
type Member struct {
	// ID names the node; a node that restarts may keep it.
	ID string
	// Address is the IP number and port of the node's peer listener.
	Address string
	// Zone is the failure zone in which the node runs.
	Zone string
	// Incarnation is picked by the member itself and only grows.
	Incarnation uint64
	// State is what is known of the member.
	State State
	// Revision is the configuration in force at the member, as last heard.
	Revision policy.Revision
	// Details is what the member tells of itself beyond that, in its owner's own
	// encoding; it changes only together with the incarnation.
	Details string
}

// Valid reports whether the member's fields are within their bounds.
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

// Supersedes reports whether m is later knowledge of the same member than
// other: a higher incarnation, or at an equal one a greater state, or at an
// equal state a higher revision.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.State != other.State {
		return m.State > other.State
	}
	return m.Revision > other.Revision
}

// merge returns the later knowledge of the two. A revision never falls within
// an incarnation.
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

// memberOverheadBytes bounds the encoded size of a member without its strings.
const memberOverheadBytes = 32

// encodedBytes bounds the member's size in a message.
func (m Member) encodedBytes() int {
	return len(m.ID) + len(m.Address) + len(m.Zone) + len(m.Details) + memberOverheadBytes
}
