package dispatch

import (
	"time"

	"github.com/banksail/banksail/policy"
)

// QueryID identifies a query within its dispatcher. The owner picks it and
// never uses it twice.
type QueryID uint64

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

// QueryArrived reports a caller's request.
type QueryArrived struct{ Query Query }

// CallerGone reports that the caller of a query no longer waits.
type CallerGone struct{ Query QueryID }

// AttemptReplied reports a server's well-formed reply to an attempt.
type AttemptReplied struct {
	Attempt AttemptID
	Reply   Reply
}

// AttemptFailed reports that an attempt ended without a well-formed reply.
type AttemptFailed struct {
	Attempt  AttemptID
	Delivery Delivery
	// Reason is a short text for the explanation.
	Reason string
}

// TimerFired reports that the time named by a SetTimer action has come.
type TimerFired struct{}

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

// ServerReported reports a server's own account of itself, from a reply of another
// kind than to an attempt (health, load). It is a hint: it may lag or mislead.
type ServerReported struct {
	Server    string
	Snapshots []SnapshotID
	Load      Load
}

// NodesChanged reports how many nodes are live, this one included. They share
// the connections that each server accepts, and an even share of its slots is
// where a limit starts from. Until the first one arrives no share is known.
type NodesChanged struct{ Live int }

// Stopping reports that the node is about to stop: queued and new queries are
// refused as not run; running ones finish.
type Stopping struct{}

func (QueryArrived) event()   {}
func (CallerGone) event()     {}
func (AttemptReplied) event() {}
func (AttemptFailed) event()  {}
func (TimerFired) event()     {}
func (Configured) event()     {}
func (ServerChanged) event()  {}
func (ServerReported) event() {}
func (NodesChanged) event()   {}
func (Stopping) event()       {}

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
