package dispatch

import (
	"time"

	"github.com/banksail/banksail/policy"
)

// QueryID identifies a query within its dispatcher. IDs are assigned by the owner and never
// reused.
type QueryID uint64

// Query is a caller's request.
type Query struct {
	// ID identifies the query between owner and dispatcher.
	ID QueryID
	// RequestID is the ID that the caller gave to the request.
	RequestID string
	// Class is the name of the priority class.
	Class string
	// Remaining is the time from the event to the caller's deadline.
	Remaining time.Duration
	// MinimumCoverage is the minimum coverage that the caller accepts, as a fraction.
	MinimumCoverage float64
	// Repeatable allows sub-requests to run more than once.
	Repeatable bool
}

// Event is an input of Step.
type Event interface{ event() }

// QueryArrived reports a new request from a caller.
type QueryArrived struct{ Query Query }

// CallerGone reports that the caller of a query has disconnected.
type CallerGone struct{ Query QueryID }

// AttemptReplied reports a well-formed reply to an attempt.
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

// TimerFired reports that the time of the last SetTimer action has come.
type TimerFired struct{}

// Configured sets the configuration of the service and its classes. All queries are refused
// until the first one.
type Configured struct {
	Revision policy.Revision
	Service  policy.Service
	Classes  []policy.Class
	// Removed says that the service is no longer configured: queries in flight finish, new ones
	// are refused.
	Removed bool
}

// ServerChanged reports a change of a server's membership state.
type ServerChanged struct {
	Server string
	State  ServerState
}

// ServerReported reports snapshots and load that a server stated outside replies to attempts,
// such as in a health check. Reports are hints: they may be outdated or wrong.
type ServerReported struct {
	Server    string
	Snapshots []SnapshotID
	Load      Load
}

// NodesChanged reports the number of live nodes, including this one. The nodes share the
// connections that each server accepts, and an even share of a server's slots is the initial
// concurrency limit. No share is known until the first such event.
type NodesChanged struct{ Live int }

// Stopping reports that the node is shutting down: queued and new queries are refused without
// being run; running ones finish.
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

// ServerState is the membership state of a server.
type ServerState int

const (
	// ServerLive servers accept new work.
	ServerLive ServerState = iota
	// ServerSuspect servers accept new work only if no live server is left.
	ServerSuspect
	// ServerLeaving servers accept no new work; work in flight finishes.
	ServerLeaving
	// ServerGone servers accept no new work, and attempts on them are expected to fail.
	ServerGone
)
