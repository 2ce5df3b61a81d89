package dispatch

import (
	"time"

	"github.com/banksail/banksail/coverage"
)

// Action is something that the owner must do; Step returns them in order.
type Action interface{ action() }

// Send asks a server. The owner reports back exactly one Replied or Failed for
// the attempt, also after a Cancel.
type Send struct {
	Attempt  AttemptID
	Query    QueryID
	Server   string
	Address  string
	Range    coverage.Range
	Snapshot SnapshotID
	// Remaining is the time left until the query's deadline.
	Remaining time.Duration
	// Kind tells a first send from an extra one.
	Kind SendKind
}

// SendKind tells why a sub-request was sent.
type SendKind int

const (
	// FirstSend is the first sub-request for its part of the key space.
	FirstSend SendKind = iota + 1
	// HedgeSend runs beside an attempt that is still awaited.
	HedgeSend
	// RetrySend follows an attempt that failed or was not executed.
	RetrySend
)

// Cancel tells the owner that an attempt's reply is no longer wanted.
type Cancel struct{ Attempt AttemptID }

// Finish gives the query's one final answer. No further action names the query
// but Cancel.
type Finish struct {
	Query   QueryID
	Outcome Outcome
}

// Wake asks the owner for a Woken event at the given time. A later Wake
// replaces an earlier one.
type Wake struct{ At time.Duration }

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}
func (Wake) action()   {}

// Execution tells the caller whether a refused or failed request ran.
type Execution int

const (
	// ExecutionNotRun means that no shard ran any part, and none will.
	ExecutionNotRun Execution = iota + 1
	// ExecutionUnknown means that a shard may have run a part.
	ExecutionUnknown
	// ExecutionPartial means that shards ran parts of the request, too few for an answer.
	ExecutionPartial
	// ExecutionDone means that the request ran and the outcome holds its results.
	ExecutionDone
)

// Reason tells why a query ended as it did.
type Reason string

// Reasons of an outcome.
const (
	ReasonComplete        Reason = "complete"
	ReasonDeadline        Reason = "deadline"
	ReasonEnoughCoverage  Reason = "enough_coverage"
	ReasonExhausted       Reason = "replicas_exhausted"
	ReasonQueueFull       Reason = "queue_full"
	ReasonQueueWait       Reason = "queue_wait"
	ReasonOverload        Reason = "overload"
	ReasonNoConfiguration Reason = "no_configuration"
	ReasonUnknownClass    Reason = "unknown_class"
	ReasonNoSnapshot      Reason = "no_snapshot"
	ReasonNoServer        Reason = "no_server"
	ReasonStopping        Reason = "stopping"
	ReasonCallerGone      Reason = "caller_gone"
	ReasonOutcomeUnknown  Reason = "outcome_unknown"
	ReasonServerError     Reason = "server_error"
)

// Part is one reply that the answer holds. Parts are disjoint and sorted by range.
type Part struct {
	Range  coverage.Range
	Server string
	Body   any
}

// Outcome is the one final answer to a query.
type Outcome struct {
	Execution Execution
	Reason    Reason
	// Snapshot is the one snapshot of all parts; zero when there are none.
	Snapshot SnapshotID
	// Coverage is the true fraction of the key space that Parts hold.
	Coverage float64
	// Complete is true when Parts hold the whole key space.
	Complete bool
	Parts    []Part
	// RetryAfter is when to come back; it is set on every refusal.
	RetryAfter time.Duration
	// Explanation tells what was done, in order.
	Explanation []Step
}

// Step is one entry of a query's explanation.
type Step struct {
	// At is the time since the query arrived.
	At      time.Duration  `json:"at_ns"`
	What    string         `json:"what"`
	Attempt AttemptID      `json:"attempt,omitempty"`
	Server  string         `json:"server,omitempty"`
	Range   coverage.Range `json:"range"`
}
