// Package dispatch is the pure state machine that carries every query of one
// service on one node: admission, choice of replicas, hedges, collection, and
// the final answer.
//
// The machine has no goroutine, clock or I/O. Its owner calls Step with the
// events that happened, serialised by the owner's lock, and carries out the
// actions that Step returns. The daemon, the simulation, the experiments and
// replay all drive this same machine.
//
// Times are durations since an epoch that the owner picks; they never decrease
// between calls.
package dispatch

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

// QueryID identifies a query within its dispatcher. The owner picks it and
// never uses it twice.
type QueryID uint64

// AttemptID identifies one sub-request within its dispatcher. The dispatcher
// picks it and never uses it twice.
type AttemptID uint64

// SnapshotID identifies an index snapshot. A higher one is newer; zero is none.
type SnapshotID uint64

// Query is one caller's request.
type Query struct {
	// ID identifies the query towards the owner.
	ID QueryID
	// RequestID is the caller's own name for the request.
	RequestID string
	// Class names the priority class.
	Class string
	// Remaining is the time until the caller's deadline, from the event's time.
	Remaining time.Duration
	// MinimumCoverage is the least coverage that the caller accepts.
	MinimumCoverage float64
	// Repeatable says that sub-requests may run more than once.
	Repeatable bool
}

// Event is something that happened; Step takes one.
type Event interface{ event() }

// Arrived reports a caller's request.
type Arrived struct{ Query Query }

// CallerGone reports that the caller of a query no longer waits.
type CallerGone struct{ Query QueryID }

// Replied reports a server's well-formed reply to an attempt.
type Replied struct {
	Attempt AttemptID
	Reply   Reply
}

// Failed reports that an attempt ended without a well-formed reply.
type Failed struct {
	Attempt  AttemptID
	Delivery Delivery
	// Reason is a short text for the explanation.
	Reason string
}

// Woken reports that the time named by a Wake action has come.
type Woken struct{}

// Configured gives the service and the classes now in force. Until the first
// one arrives, every query is refused.
type Configured struct {
	Revision policy.Revision
	Service  policy.Service
	Classes  []policy.Class
	// Removed says that the service is no longer configured; queries in flight
	// finish, new ones are refused.
	Removed bool
}

// ServerChanged reports a server's state in membership.
type ServerChanged struct {
	Server string
	State  ServerState
}

// Observed reports a server's own account of itself, from a reply of another
// kind than to an attempt (health, load). It is a hint: it may lag or mislead.
type Observed struct {
	Server    string
	Snapshots []SnapshotID
	Load      Load
}

// Stopping reports that the node is about to stop: queued and new queries are
// refused as not run; running ones finish.
type Stopping struct{}

func (Arrived) event()       {}
func (CallerGone) event()    {}
func (Replied) event()       {}
func (Failed) event()        {}
func (Woken) event()         {}
func (Configured) event()    {}
func (ServerChanged) event() {}
func (Observed) event()      {}
func (Stopping) event()      {}

// Delivery tells how far a failed attempt got.
type Delivery int

const (
	// DeliveryUnknown means that the server may have run the sub-request.
	DeliveryUnknown Delivery = iota
	// NotDelivered means that no byte of the sub-request was written.
	NotDelivered
)

// ServerState is what membership says of a server.
type ServerState int

const (
	// ServerLive servers take new work.
	ServerLive ServerState = iota
	// ServerSuspect servers take new work only when no live one is left.
	ServerSuspect
	// ServerLeaving servers take no new work; work in flight ends.
	ServerLeaving
	// ServerGone servers take no new work, and attempts on them have failed.
	ServerGone
)

// ReplyStatus is the kind of a server's reply.
type ReplyStatus int

const (
	// ReplyDone carries the result of the sub-request.
	ReplyDone ReplyStatus = iota + 1
	// ReplyShed says that the server was too busy and did not run it.
	ReplyShed
	// ReplyUnknownSnapshot says that the server lacks the snapshot and did not run it.
	ReplyUnknownSnapshot
	// ReplyNotOwner says that the server does not hold the whole range and did not run it.
	ReplyNotOwner
	// ReplyDraining says that the server is leaving and did not run it.
	ReplyDraining
	// ReplyError says that the sub-request ran, or may have run, and failed.
	ReplyError
)

// Reply is a server's answer to one attempt. It is counted only when Snapshot
// and Range equal those of the attempt.
type Reply struct {
	Status   ReplyStatus
	Snapshot SnapshotID
	Range    coverage.Range
	// Body is opaque; it is the owner's reference to the result.
	Body any
	// Snapshots lists what the server holds now; empty when it did not say.
	Snapshots []SnapshotID
	// Load is the server's own account; zero when it did not say.
	Load Load
	// RetryAfter is when a server that shed asks to be tried again.
	RetryAfter time.Duration
}

// Load is a server's own account of its work.
type Load struct {
	InFlight int
	Queued   int
}
