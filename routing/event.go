package routing

import (
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/extrabudget"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/quarantine"
	"github.com/banksail/banksail/route"
)

// RequestID identifies a request towards the owner, which picks it and never
// uses it twice.
type RequestID uint64

// Request is one caller's request.
type Request struct {
	ID    RequestID
	Route *route.Route
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// CallerTimeout is the time that the caller itself says it waits, from when it sent the
	// request; zero is unknown.
	CallerTimeout time.Duration
	// Elapsed is the time that the request is thought to have used before it
	// arrived, which counts against the route's aim.
	Elapsed time.Duration
	// ReturnTime is the time that the answer is thought to take to the caller.
	ReturnTime time.Duration
	// Content names what the request asks for; it is called at most once, and only where
	// it matters. Nil is that nothing is to be learned of it.
	Content func() quarantine.Fingerprint
}

// Event is something that happened; Step takes one.
type Event interface{ event() }

// Arrived reports a caller's request.
type Arrived struct{ Request Request }

// CallerGone reports that nobody waits for the request any more.
type CallerGone struct{ Request RequestID }

// Replied reports a server's whole reply to an attempt.
type Replied struct {
	Attempt gather.AttemptID
	Status  gather.ReplyStatus
	// Body is opaque; it is the owner's reference to the reply.
	Body any
	// Load is the server's own account; LoadKnown says that it gave one.
	Load      Load
	LoadKnown bool
	// RetryAfter is when a server that shed asks to be tried again.
	RetryAfter time.Duration
}

// Load is a server's own account of its work.
type Load struct{ Running, Waiting, Slots int }

// Failed reports that an attempt ended without a whole reply.
type Failed struct {
	Attempt  gather.AttemptID
	Delivery gather.Delivery
	// Refused says that nobody listens at the server's address.
	Refused bool
	// Reason is a short text for the explanation.
	Reason string
}

// CrashCheckCompleted reports whether the server of an attempt that had failed in doubt has ended. It follows
// each such Failed, once.
type CrashCheckCompleted struct {
	Attempt gather.AttemptID
	Ended   bool
}

// ConnectFailed reports that no connection to the server could be opened. Refused says that nobody
// listens at its address, rather than that nothing came back.
type ConnectFailed struct {
	Server  discovery.Incarnation
	Refused bool
}

// Connected reports that a connection to the server was opened after a Reach.
type Connected struct{ Server discovery.Incarnation }

// TimerFired reports that the time named by a Wake action has come.
type TimerFired struct{}

// ServersChanged gives all servers that may be there now.
type ServersChanged struct{ Servers []discovery.Server }

// ZonesChanged gives all zones to whose servers nothing more may be sent.
type ZonesChanged struct{ Evacuated []string }

// TableChanged gives the table that is in force, for the bounds of its services.
type TableChanged struct{ Table *route.Table }

// NodesChanged tells how many nodes are live, this one included, and to how many
// of them callers are sent. Those share each server's connections and most of
// each service's budget.
type NodesChanged extrabudget.Nodes

// PeerAvailabilityChanged tells whether another node is known that reaches enough servers and takes
// callers.
type PeerAvailabilityChanged struct{ Available bool }

// SettingsChanged gives the bounds that were set anew.
type SettingsChanged struct {
	Budget  extrabudget.Options
	Cold    ColdOptions
	Regions map[string]string
}

// FindingReceived gives what another node found out of a request that ends servers.
type FindingReceived struct{ Finding quarantine.Finding }

// QuarantinesChanged gives all contents that the registry says are to be refused.
type QuarantinesChanged struct{ Contents []quarantine.Fingerprint }

// Stopping tells that the node ends: every request that runs gets its final answer
// now, and those that come later are refused.
type Stopping struct{}

func (Arrived) event()                 {}
func (Stopping) event()                {}
func (SettingsChanged) event()         {}
func (PeerAvailabilityChanged) event() {}
func (CallerGone) event()              {}
func (Replied) event()                 {}
func (Failed) event()                  {}
func (CrashCheckCompleted) event()     {}
func (TimerFired) event()              {}
func (ConnectFailed) event()           {}
func (Connected) event()               {}
func (ServersChanged) event()          {}
func (ZonesChanged) event()            {}
func (TableChanged) event()            {}
func (NodesChanged) event()            {}

func (FindingReceived) event()    {}
func (QuarantinesChanged) event() {}

// Action is something that the owner must do; Step returns them in order.
type Action interface{ action() }

// Send asks a server. The owner reports back exactly one Replied or Failed for
// the attempt, also after a Cancel.
type Send struct {
	Attempt gather.AttemptID
	Request RequestID
	Server  discovery.Server
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	Kind      gather.SendKind
	// Alone says that nothing else of the request is in flight, as it may end servers: whether
	// the server ended is to be found out before the attempt is reported.
	Alone bool
	// Estimate is what was thought of the server when it was chosen: its
	// slowness against what is usual, and the attempts in flight there.
	Estimate ServerEstimate
}

// ServerEstimate is what decided on a server.
type ServerEstimate struct {
	Slowness float64
	InFlight int
}

// Cancel tells that an attempt's reply is no longer wanted by its request. A
// reply that comes all the same is still worth reporting.
type Cancel struct{ Attempt gather.AttemptID }

// Connect asks the owner to open a connection to the server, again and again, and
// to report Reached once there is one. It ends when the server is gone.
type Connect struct{ Server discovery.Server }

// ReachabilityChanged tells whether this node can reach enough servers for every route that
// fans out; it can until it says otherwise. While it can't, other nodes should serve.
type ReachabilityChanged struct{ CanServe bool }

// PublishFinding asks the owner to tell other nodes what was found out of a request.
type PublishFinding struct {
	Finding  quarantine.Finding
	Audience quarantine.Audience
}

// RecordQuarantine tells that this node found a content to end servers: all nodes are to remember it.
type RecordQuarantine struct{ Content quarantine.Fingerprint }

// QuarantinedRequestRejected tells that a request was refused whose content is quarantined.
type QuarantinedRequestRejected struct{ Content quarantine.Fingerprint }

// Finish gives the request's one final answer.
type Finish struct {
	Request RequestID
	Outcome Outcome
}

// SetTimer asks for a Woken event at the given time. A later one replaces it.
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
	// Parts are the replies that count, in the order of the route's shards.
	Parts []Part
	// Missing is the number of shards that are left out.
	Missing int
	// Failure is the last failure that a server itself answered with, when the
	// route has one service and no reply counts; nil when there is none.
	Failure any
	// RetryAfter is when to come back; it is set on every refusal.
	RetryAfter time.Duration
	// RetryElsewhere says that other nodes can serve what this one can't: the caller should
	// connect to another one.
	RetryElsewhere bool
	// Sends, Hedges and Retries count what was sent.
	Sends, Hedges, Retries int
	// HedgesOverBudget counts the hedges for which there was no budget, Roomless the
	// sends for which no server had room, Hopeless the hedges that could not have
	// answered in time.
	HedgesOverBudget, SendsWithoutCapacity, HedgesTooLate int
	// Attempts tells what was sent, in order.
	Attempts []AttemptRecord
}

// AttemptRecord tells of one attempt of a request.
type AttemptRecord struct {
	Service, Server string
	Kind            gather.SendKind
	// SentAt and EndedAt are since the request's arrival; an attempt that had not
	// ended when the request was answered has no end.
	SentAt, EndedAt time.Duration
	Estimate        ServerEstimate
	// Result is how it ended; empty while it has not.
	Result string
}

// Part is one shard's reply.
type Part struct {
	Service string
	Body    any
}
