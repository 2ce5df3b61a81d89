package gather

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// AttemptID identifies a sub-request. IDs are assigned by the Environment and never reused.
type AttemptID uint64

// SendKind is the reason for which a sub-request was sent.
type SendKind int

const (
	// FirstSend is the first sub-request for a segment.
	FirstSend SendKind = iota + 1
	// HedgeSend is sent in addition to an attempt that is still pending.
	HedgeSend
	// RetrySend follows an attempt that failed or was not executed, or a restart on another
	// snapshot.
	RetrySend
)

// Delivery is how far a failed attempt got.
type Delivery int

const (
	// DeliveryUnknown means that the server may have run the sub-request.
	DeliveryUnknown Delivery = iota
	// NotDelivered means that no byte of the sub-request was written.
	NotDelivered
	// ServerCrashed means that the server crashed while the sub-request was in flight. It may
	// have run it.
	ServerCrashed
	// CrashUnconfirmed means that the server closed the connection. It may have run the
	// sub-request; whether it crashed is reported later through Query.ResolveCrash.
	CrashUnconfirmed
)

// ReplyStatus is the status of a server's reply.
type ReplyStatus int

const (
	// ReplyDone means that the reply carries the result.
	ReplyDone ReplyStatus = iota + 1
	// ReplyShed means that the server was overloaded and did not run the sub-request.
	ReplyShed
	// ReplyUnknownSnapshot means that the server does not have the snapshot and did not run the
	// sub-request.
	ReplyUnknownSnapshot
	// ReplyNotOwner means that the server does not hold the entire range and did not run the
	// sub-request.
	ReplyNotOwner
	// ReplyDraining means that the server is draining and did not run the sub-request.
	ReplyDraining
	// ReplyError means that the sub-request ran, or may have run, and failed.
	ReplyError
)

// Reply is a server's reply to an attempt. Its result is accepted only if Snapshot and Range
// equal those of the attempt.
type Reply struct {
	Status   ReplyStatus
	Snapshot snapshot.ID
	Range    coverage.Range
	// Body is the owner's opaque reference to the result.
	Body any
	// Crashed says that the server crashed when it had replied.
	Crashed bool
	// Snapshots lists the snapshots that the server holds; empty if not reported.
	Snapshots []snapshot.ID
	// Load is the server's reported load; zero if not reported.
	Load Load
	// RetryAfter is the delay that a server asks for when it sheds a sub-request.
	RetryAfter time.Duration
}

// Load is the load that a server reports.
type Load struct {
	InFlight int
	Queued   int
}

// Execution is whether a query ran, for callers that consider a retry.
type Execution int

const (
	// ExecutionNotRun means that no shard ran any part of the query, and none will.
	ExecutionNotRun Execution = iota + 1
	// ExecutionUnknown means that a shard may have run a part.
	ExecutionUnknown
	// ExecutionPartial means that some shards ran their parts, but too few for an answer.
	ExecutionPartial
	// ExecutionDone means that the query ran and the outcome holds its results.
	ExecutionDone
)

// Reason is why a query ended the way it did.
type Reason string

// Reasons of outcomes. Those for refusals before a query runs are used by its owner.
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

// Part is one accepted reply of an answer. Parts are disjoint and sorted by range.
type Part struct {
	Range  coverage.Range
	Server string
	Body   any
}

// Outcome is the final result of a query.
type Outcome struct {
	Execution Execution
	Reason    Reason
	// Snapshot is the snapshot of all parts; zero if there are none.
	Snapshot snapshot.ID
	// Coverage is the fraction of the key space that Parts actually cover.
	Coverage float64
	// Complete is true if Parts cover the whole key space.
	Complete bool
	Parts    []Part
	// RetryAfter is when the caller may retry; set on every refusal.
	RetryAfter time.Duration
	// Explanation lists the steps of the query in order.
	Explanation []Step
}

// Step is an entry of a query's explanation.
type Step struct {
	// At is the time since the query arrived.
	At      time.Duration  `json:"at_ns"`
	Event   string         `json:"what"`
	Attempt AttemptID      `json:"attempt,omitempty"`
	Server  string         `json:"server,omitempty"`
	Range   coverage.Range `json:"range"`
}
