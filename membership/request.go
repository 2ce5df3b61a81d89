package membership

import "time"

// RequestID names a request within its Nodes.
type RequestID uint64

// RequestKind tells what a request asks.
type RequestKind int

const (
	// DirectProbe exchanges updates with To and shows that it answers.
	DirectProbe RequestKind = iota + 1
	// IndirectProbe asks To to probe Target.
	IndirectProbe
	// ReconnectProbe is a direct probe of a gone or suspect member, or of a node that
	// only the machine list names.
	ReconnectProbe
	// Sync asks To for the entries that differ from the own table.
	Sync
	// Announcement tells To of the own leaving.
	Announcement
)

// Request is a message that the owner sends. The owner reports exactly one
// Result for it, at the latest after Timeout.
type Request struct {
	ID      RequestID
	Kind    RequestKind
	To      Member
	Timeout time.Duration
	// Target is the member to probe; set for IndirectProbe.
	Target Member
	// Sender is the own entry.
	Sender Member
	// Updates ride on all kinds but IndirectProbe and Sync.
	Updates []Member
	// Digests and FirstBucket are set for Sync.
	Digests     []uint64
	FirstBucket int
}

// Result is what became of a request.
type Result struct {
	ID RequestID
	// Failed says that no well-formed reply came in time.
	Failed bool
	// Responder is the entry of the node that replied; for an indirect probe
	// it is the target's own entry, as it replied.
	Responder Member
	// Reached says that the target of an indirect probe replied.
	Reached bool
	// Updates are what the reply carried.
	Updates []Member
	// More and NextBucket are set for Sync when the reply was cut short.
	More       bool
	NextBucket int
}

// SyncReply is the answer to another node's Sync.
type SyncReply struct {
	Responder  Member
	Members    []Member
	More       bool
	NextBucket int
}
