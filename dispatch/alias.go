package dispatch

import (
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/snapshot"
)

// Types that the parts below share with this package.
type (
	// AttemptID identifies one sub-request within its dispatcher. The dispatcher
	// picks it and never uses it twice.
	AttemptID = gather.AttemptID
	// SnapshotID identifies an index snapshot. A higher one is newer; zero is none.
	SnapshotID = snapshot.ID
	// SendKind tells why a sub-request was sent.
	SendKind = gather.SendKind
	// Delivery tells how far a failed attempt got.
	Delivery = gather.Delivery
	// ReplyStatus is the kind of a server's reply.
	ReplyStatus = gather.ReplyStatus
	// Reply is a server's answer to one attempt.
	Reply = gather.Reply
	// Load is a server's own account of its work.
	Load = gather.Load
	// Execution tells the caller whether a refused or failed request ran.
	Execution = gather.Execution
	// Reason tells why a query ended as it did.
	Reason = gather.Reason
	// Part is one reply that the answer holds.
	Part = gather.Part
	// Outcome is the one final answer to a query.
	Outcome = gather.Outcome
	// Step is one entry of a query's explanation.
	Step = gather.Step
)

// Kinds of sends.
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

// Statuses of replies.
const (
	ReplyDone            = gather.ReplyDone
	ReplyShed            = gather.ReplyShed
	ReplyUnknownSnapshot = gather.ReplyUnknownSnapshot
	ReplyNotOwner        = gather.ReplyNotOwner
	ReplyDraining        = gather.ReplyDraining
	ReplyError           = gather.ReplyError
)

// Verdicts on what ran.
const (
	ExecutionNotRun  = gather.ExecutionNotRun
	ExecutionUnknown = gather.ExecutionUnknown
	ExecutionPartial = gather.ExecutionPartial
	ExecutionDone    = gather.ExecutionDone
)

// Reasons of an outcome.
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
