package membership

import "time"

// RequestID identifies a request within its Nodes.
type RequestID uint64

// RequestKind is the type of a request.
type RequestKind int

const (
	// DirectProbe checks that To replies, and exchanges updates with it.
	DirectProbe RequestKind = iota + 1
	// IndirectProbe asks To to probe Target.
	IndirectProbe
	// ReconnectProbe is a direct probe of a gone or suspect member, of a node known
	// only from the machine list, or of a member whose configuration revision is
	// requested.
	ReconnectProbe
	// Sync requests from To the entries that differ from this node's table.
	Sync
	// Announcement sends urgent updates to To, such as that this node is leaving.
	Announcement
)

// Request is a message for the owner to send. The owner reports exactly one Result for
// it, within Timeout.
type Request struct {
	ID      RequestID
	Kind    RequestKind
	To      Member
	Timeout time.Duration
	// Target is the member to probe. It is set only for IndirectProbe.
	Target Member
	// Sender is this node's own entry.
	Sender Member
	// Updates are piggybacked on all kinds except IndirectProbe and Sync.
	Updates []Member
	// Digests and FirstBucket are set only for Sync.
	Digests     []uint64
	FirstBucket int
}

// Result is the outcome of a request.
type Result struct {
	ID RequestID
	// Failed is true if no valid reply arrived in time.
	Failed bool
	// Responder is the entry of the node that replied. For an indirect probe it is the
	// target's own entry from its reply.
	Responder Member
	// Reached is true if the target of an indirect probe replied.
	Reached bool
	// Updates are the updates in the reply.
	Updates []Member
	// More and NextBucket are set for Sync if the reply is incomplete.
	More       bool
	NextBucket int
}

// SyncReply is the reply to another node's Sync.
type SyncReply struct {
	Responder  Member
	Members    []Member
	More       bool
	NextBucket int
}
