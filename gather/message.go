package gather

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// AttemptID identifies one sub-request; the Environment picks it and never uses
// it twice.
type AttemptID uint64

// SendKind tells why a sub-request was sent.
type SendKind int

const (
	// FirstSend is the first sub-request for its part of the key space.
	FirstSend SendKind = iota + 1
	// HedgeSend runs beside an attempt that is still awaited.
	HedgeSend
	// RetrySend follows an attempt that failed or was not executed, or starts
	// over on another snapshot.
	RetrySend
)

// Delivery tells how far a failed attempt got.
type Delivery int

const (
	// DeliveryUnknown means that the server may have run the sub-request.
	DeliveryUnknown Delivery = iota
	// NotDelivered means that no byte of the sub-request was written.
	NotDelivered
	// ServerCrashed means that the server ended with the sub-request, which it may have run.
	ServerCrashed
	// CrashUnconfirmed means that the server broke the connection off. It may have run the sub-request,
	// and whether it ended is told later, by ResolveCrash.
	CrashUnconfirmed
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
	Snapshot snapshot.ID
	Range    coverage.Range
	// Body is opaque; it is the owner's reference to the result.
	Body any
	// Snapshots lists what the server holds now; empty when it did not say.
	Snapshots []snapshot.ID
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

// Reasons of an outcome. Those of refusals before a query runs are its owner's.
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
	ReasonCrashesServers  Reason = "ends_servers"
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
	Snapshot snapshot.ID
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
	Event   string         `json:"what"`
	Attempt AttemptID      `json:"attempt,omitempty"`
	Server  string         `json:"server,omitempty"`
	Range   coverage.Range `json:"range"`
}
