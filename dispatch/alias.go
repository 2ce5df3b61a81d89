package dispatch

import (
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/snapshot"
)

// Types shared with the packages that this one is built on.
type (
	// AttemptID identifies a sub-request within its dispatcher. IDs are assigned by the
	// dispatcher and never reused.
	AttemptID = gather.AttemptID
	// SnapshotID identifies an index snapshot. Higher IDs are newer; zero means none.
	SnapshotID = snapshot.ID
	// SendKind is the reason for which a sub-request was sent.
	SendKind = gather.SendKind
	// Delivery is how far a failed attempt got.
	Delivery = gather.Delivery
	// ReplyStatus is the status of a server's reply.
	ReplyStatus = gather.ReplyStatus
	// Reply is a server's reply to an attempt.
	Reply = gather.Reply
	// Load is the load that a server reports.
	Load = gather.Load
	// Execution is whether a query ran, for callers that consider a retry.
	Execution = gather.Execution
	// Reason is why a query ended the way it did.
	Reason = gather.Reason
	// Part is one accepted reply of an answer.
	Part = gather.Part
	// Outcome is the final result of a query.
	Outcome = gather.Outcome
	// Step is an entry of a query's explanation.
	Step = gather.Step
)

// Send kinds.
const (
	FirstSend = gather.FirstSend
	HedgeSend = gather.HedgeSend
	RetrySend = gather.RetrySend
)

// Deliveries of failed attempts.
const (
	DeliveryUnknown = gather.DeliveryUnknown
	NotDelivered    = gather.NotDelivered
)

// Reply statuses.
const (
	ReplyDone            = gather.ReplyDone
	ReplyShed            = gather.ReplyShed
	ReplyUnknownSnapshot = gather.ReplyUnknownSnapshot
	ReplyNotOwner        = gather.ReplyNotOwner
	ReplyDraining        = gather.ReplyDraining
	ReplyError           = gather.ReplyError
)

// Execution states.
const (
	ExecutionNotRun  = gather.ExecutionNotRun
	ExecutionUnknown = gather.ExecutionUnknown
	ExecutionPartial = gather.ExecutionPartial
	ExecutionDone    = gather.ExecutionDone
)

// Reasons of outcomes.
const (
	ReasonComplete        = gather.ReasonComplete
	ReasonDeadline        = gather.ReasonDeadline
	ReasonEnoughCoverage  = gather.ReasonEnoughCoverage
	ReasonExhausted       = gather.ReasonExhausted
	ReasonQueueFull       = gather.ReasonQueueFull
	ReasonQueueWait       = gather.ReasonQueueWait
	ReasonOverload        = gather.ReasonOverload
	ReasonNoConfiguration = gather.ReasonNoConfiguration
	ReasonUnknownClass    = gather.ReasonUnknownClass
	ReasonNoSnapshot      = gather.ReasonNoSnapshot
	ReasonNoServer        = gather.ReasonNoServer
	ReasonStopping        = gather.ReasonStopping
	ReasonCallerGone      = gather.ReasonCallerGone
	ReasonOutcomeUnknown  = gather.ReasonOutcomeUnknown
	ReasonServerError     = gather.ReasonServerError
)
