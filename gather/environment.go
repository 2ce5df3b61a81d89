package gather

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// Server is the owner's handle of a server; equal handles mean the same server.
type Server interface{ ServerID() string }

// Group is the owner's handle of the servers that hold a range. It is opaque.
type Group any

// Target is a range with the group that holds it.
type Target struct {
	Range coverage.Range
	Group Group
}

// Placement tells whether a sub-request can be sent now.
type Placement int

const (
	// Placed means that the chosen server takes it now.
	Placed Placement = iota + 1
	// Busy means that every server that could take it has no room. Unless the
	// sub-request is a hedge, the owner calls Query.ResumeSegment once there is room.
	Busy
	// AllTried means that every server that could take it was tried already.
	AllTried
	// Unservable means that no server is known that could take it.
	Unservable
	// Overloaded means that too much waits for room already.
	Overloaded
)

// Environment is what a query needs from its owner. Its methods are called from
// within the query's own and must not call back into a query.
type Environment interface {
	// Generation changes whenever Targets may answer otherwise than before.
	Generation() uint64
	// Targets divides the range among the groups that hold it now.
	Targets(r coverage.Range) []Target
	// Place chooses a server for a segment, other than those tried.
	Place(s *Segment, kind SendKind) (Server, Placement)
	// HedgeDelay is how long an attempt may be awaited before a hedge is worth
	// its price; ok is false when none is.
	HedgeDelay(s *Segment) (delay time.Duration, ok bool)
	// SpendHedge and SpendRetry pay for extra sub-requests, in units of a
	// first one; false means that they may not be sent.
	SpendHedge(q *Query, price float64) bool
	SpendRetry(q *Query, price float64) bool
	// NextSnapshot chooses a snapshot, other than those tried, of which more
	// than the given number of keys can be served.
	NextSnapshot(tried []snapshot.ID, keys uint64) (id snapshot.ID, ok bool)
	// TypicalLatency is the latency that most sub-requests stay below; zero when unknown.
	TypicalLatency() time.Duration
	// ExpectedLatency is the latency that is expected of the segment's quickest server;
	// zero when unknown.
	ExpectedLatency(s *Segment) time.Duration
	// Backoff is the time before the given round of asking tried servers anew.
	Backoff(round int) time.Duration
	// NextAttemptID returns an ID that was not used before.
	NextAttemptID() AttemptID
	// Send sends the attempt's sub-request.
	Send(a *Attempt)
	// Cancel tells that the attempt's reply is no longer wanted.
	Cancel(a *Attempt)
	// Finish takes the query's one final answer.
	Finish(q *Query, outcome Outcome)
}

// Prices of extra sub-requests, in units of a first one.
const (
	// FullPrice is that of work that may be done twice.
	FullPrice = 1.0
	// ShedPrice is that of a retry after a server shed without doing any work.
	ShedPrice = 0.1
)
