package routing

import (
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/route"
)

// RequestID identifies a request between the router and its owner. The owner assigns it and never
// reuses it.
type RequestID uint64

// Request is a caller's request.
type Request struct {
	ID    RequestID
	Route *route.Route
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// CallerTimeout is the timeout that the caller declared, counted from when it sent the
	// request; zero means unknown.
	CallerTimeout time.Duration
	// Elapsed is the estimated time spent on the request before it arrived. It counts against the
	// route's latency target.
	Elapsed time.Duration
	// ReturnTime is the estimated time for the answer to travel back to the caller.
	ReturnTime time.Duration
	// Content returns the fingerprint of the request. It is called at most once, and
	// only if needed. A nil function excludes the request from crash tracking.
	Content func() quarantine.Fingerprint
}

// Event is an input of Step.
type Event interface{ event() }

// Arrived reports a new request from a caller.
type Arrived struct{ Request Request }

// CallerGone reports that the caller no longer waits for the request.
type CallerGone struct{ Request RequestID }

// Replied reports a server's complete reply to an attempt.
type Replied struct {
	Attempt gather.AttemptID
	Status  gather.ReplyStatus
	// Body is opaque to the router: the owner's reference to the reply.
	Body any
	// Load is the load that the server reported; it is valid only if LoadKnown is set.
	Load      Load
	LoadKnown bool
	// RetryAfter is the pause that a server asked for when it shed the request.
	RetryAfter time.Duration
	// Crashed says that the server crashed when it had replied. CrashUnchecked says that this is not known
	// yet; a SurvivalChecked event follows.
	Crashed, CrashUnchecked bool
}

// Load is the load that a server reports: running and queued requests, and its number of execution
// slots.
type Load struct{ Running, Waiting, Slots int }

// Failed reports that an attempt ended without a complete reply.
type Failed struct {
	Attempt  gather.AttemptID
	Delivery gather.Delivery
	// Refused reports that the server's address refused the connection: nothing listens there.
	Refused bool
	// Reason is a short description for request records.
	Reason string
}

// CrashCheckCompleted reports whether the server of an attempt that had failed with
// gather.CrashUnconfirmed turned out to have terminated. It follows each such Failed event exactly
// once.
type CrashCheckCompleted struct {
	Attempt gather.AttemptID
	Crashed bool
}

// SurvivalChecked reports whether the server whose reply to an attempt was reported with CrashUnchecked
// crashed when it had replied.
type SurvivalChecked struct {
	Content quarantine.Fingerprint
	Server  discovery.Incarnation
	Crashed bool
}

// ConnectFailed reports that no connection to the server could be opened. Refused distinguishes a
// refused connection (nothing listens at the address) from a timeout.
type ConnectFailed struct {
	Server  discovery.Incarnation
	Refused bool
}

// Connected reports that a connection to the server was opened after a Connect action.
type Connected struct{ Server discovery.Incarnation }

// TimerFired reports that the time requested by SetTimer has come.
type TimerFired struct{}

// ServersChanged provides the complete list of servers that may currently exist.
type ServersChanged struct{ Servers []discovery.Server }

// ZonesChanged provides the complete list of evacuated zones, to whose servers nothing may be
// sent.
type ZonesChanged struct{ Evacuated []string }

// TableChanged provides the route table in force, from which the limits of the services are taken.
type TableChanged struct{ Table *route.Table }

// NodesChanged reports how many nodes are live, including this one, and how many of them serve
// callers. These nodes share each server's connections and most of each service's budget.
type NodesChanged extrabudget.Nodes

// PeerAvailabilityChanged reports whether another node is known that reaches enough servers and
// accepts callers.
type PeerAvailabilityChanged struct{ Available bool }

// SettingsChanged provides new values for limits that can change at run time.
type SettingsChanged struct {
	Budget  extrabudget.Options
	Cold    ColdOptions
	Regions map[string]string
}

// FindingReceived provides another node's finding about a request that crashes servers.
type FindingReceived struct{ Finding quarantine.Finding }

// QuarantinesChanged provides the complete list of fingerprints whose requests must be rejected,
// according to the registry.
type QuarantinesChanged struct{ Contents []quarantine.Fingerprint }

// Draining reports that the node is about to shut down: Stopping follows at AbortAt. Requests that cannot
// be answered by then are rejected.
type Draining struct{ AbortAt time.Duration }

// Stopping reports that the node is shutting down: all in-flight requests get their final answer
// now, and later ones are rejected.
type Stopping struct{}

func (Arrived) event()                 {}
func (Draining) event()                {}
func (Stopping) event()                {}
func (SettingsChanged) event()         {}
func (PeerAvailabilityChanged) event() {}
func (CallerGone) event()              {}
func (Replied) event()                 {}
func (Failed) event()                  {}
func (CrashCheckCompleted) event()     {}
func (SurvivalChecked) event()         {}
func (TimerFired) event()              {}
func (ConnectFailed) event()           {}
func (Connected) event()               {}
func (ServersChanged) event()          {}
func (ZonesChanged) event()            {}
func (TableChanged) event()            {}
func (NodesChanged) event()            {}

func (FindingReceived) event()    {}
func (QuarantinesChanged) event() {}

// Action is something that the owner must do. Step returns actions in the order in which to carry
// them out.
type Action interface{ action() }

// Send asks the owner to send an attempt to a server. The owner reports exactly one Replied or
// Failed event for it, even after a Cancel.
type Send struct {
	Attempt gather.AttemptID
	Request RequestID
	Server  discovery.Server
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	Kind      gather.SendKind
	// Alone reports that no other attempt of the request is in flight, because the request is
	// suspected of crashing servers. The owner must then determine whether the server crashed
	// before it reports the attempt.
	Alone bool
	// Estimate is the router's estimate of the server when it was chosen.
	Estimate ServerEstimate
}

// ServerEstimate is the basis on which a server was chosen: its slowness relative to the route's
// typical latency, and the number of attempts in flight to it.
type ServerEstimate struct {
	Slowness float64
	InFlight int
}

// Cancel reports that the request no longer needs the attempt's reply. A reply that arrives anyway
// must still be reported.
type Cancel struct{ Attempt gather.AttemptID }

// Connect asks the owner to keep trying to open a connection to the server and to report Connected
// once it succeeds. The owner stops trying when the server is removed.
type Connect struct{ Server discovery.Server }

// ReachabilityChanged reports whether this node can reach enough servers for all fan-out routes.
// It is assumed to until the first such action; while it cannot, other nodes should serve callers.
type ReachabilityChanged struct{ CanServe bool }

// PublishFinding asks the owner to send a finding about a request to other nodes.
type PublishFinding struct {
	Finding  quarantine.Finding
	Audience quarantine.Audience
}

// RecordQuarantine asks the owner to record for all nodes that requests with this fingerprint
// crash servers.
type RecordQuarantine struct{ Content quarantine.Fingerprint }

// QuarantinedRequestRejected reports that a request with a quarantined fingerprint was rejected.
type QuarantinedRequestRejected struct{ Content quarantine.Fingerprint }

// Finish provides the one final answer to a request.
type Finish struct {
	Request RequestID
	Outcome Outcome
}

// SetTimer requests a TimerFired event at the given time. It replaces any earlier SetTimer.
type SetTimer struct{ At time.Duration }

func (Send) action()    {}
func (Cancel) action()  {}
func (Connect) action() {}

func (ReachabilityChanged) action()        {}
func (PublishFinding) action()             {}
func (RecordQuarantine) action()           {}
func (QuarantinedRequestRejected) action() {}
func (Finish) action()                     {}
func (SetTimer) action()                   {}

// Outcome is the final answer to a request.
type Outcome struct {
	Execution gather.Execution
	Reason    gather.Reason
	// Parts are the replies that make up the answer, in the order of the route's shards.
	Parts []Part
	// Missing is the number of shards that are missing from the answer.
	Missing int
	// Failure is the last error reply of a server. It is set only if the route has a single
	// service and no successful reply; nil otherwise.
	Failure any
	// RetryAfter is when the caller should retry. It is set on every rejection.
	RetryAfter time.Duration
	// RetryElsewhere reports that other nodes can serve the request although this one cannot: the
	// caller should connect to another node.
	RetryElsewhere bool
	// Sends, Hedges and Retries count the attempts, and how many of them were hedges and retries.
	Sends, Hedges, Retries int
	// HedgesOverBudget counts hedges denied by the budget, SendsWithoutCapacity sends for which no
	// server had free capacity, and HedgesTooLate hedges that could not have been answered in
	// time.
	HedgesOverBudget, SendsWithoutCapacity, HedgesTooLate int
	// Attempts lists the attempts in the order in which they were sent.
	Attempts []AttemptRecord
}

// AttemptRecord describes one attempt of a request.
type AttemptRecord struct {
	Service, Server string
	Kind            gather.SendKind
	// SentAt and EndedAt are relative to the request's arrival. EndedAt is zero if the attempt was
	// still in flight when the request was answered.
	SentAt, EndedAt time.Duration
	Estimate        ServerEstimate
	// Result describes how the attempt ended; empty if it had not ended.
	Result string
}

// Part is one shard's reply.
type Part struct {
	Service string
	Body    any
}
