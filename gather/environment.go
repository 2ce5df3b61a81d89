package gather

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/snapshot"
)

// Server is the owner's handle for a server. Equal handles denote the same server.
type Server interface{ ServerID() string }

// Group is the owner's opaque handle for the set of replicas that hold a range.
type Group any

// Target is a range and the group that holds it.
type Target struct {
	Range coverage.Range
	Group Group
}

// Placement is the result of Environment.Place.
type Placement int

const (
	// Placed means that the sub-request can be sent to the chosen server now.
	Placed Placement = iota + 1
	// Busy means that no eligible server has spare capacity. Unless the sub-request is a hedge,
	// the owner calls Query.ResumeSegment when capacity becomes available.
	Busy
	// AllTried means that every eligible server has already been tried in this round.
	AllTried
	// Unservable means that no known server can serve the segment.
	Unservable
	// Overloaded means that too many sub-requests are already waiting for capacity.
	Overloaded
)

// Environment provides a query with routing, budgets and transport. Its methods are called from
// within methods of Query and must not call back into any query.
type Environment interface {
	// Generation returns a number that changes whenever the result of Targets may have changed.
	Generation() uint64
	// Targets splits the range by the groups that currently hold it.
	Targets(r coverage.Range) []Target
	// Place chooses a server for the segment among those that have not been tried yet.
	Place(s *Segment, kind SendKind) (Server, Placement)
	// HedgeDelay returns how long to wait for an attempt until a hedge is worth its cost; ok is
	// false if no hedge is.
	HedgeDelay(s *Segment) (delay time.Duration, ok bool)
	// SpendHedge and SpendRetry charge an extra sub-request to the budget, in units of a first
	// sub-request. They return false if the budget does not allow it.
	SpendHedge(q *Query, price float64) bool
	SpendRetry(q *Query, price float64) bool
	// NextSnapshot chooses a snapshot, other than those tried, that can serve more than the
	// given number of keys.
	NextSnapshot(tried []snapshot.ID, keys uint64) (id snapshot.ID, ok bool)
	// TypicalLatency returns the latency that most sub-requests stay below; zero if unknown.
	TypicalLatency() time.Duration
	// ExpectedLatency returns the latency expected of the segment's fastest server; zero if
	// unknown.
	ExpectedLatency(s *Segment) time.Duration
	// Backoff returns the delay before the given retry round, counted from zero.
	Backoff(round int) time.Duration
	// NextAttemptID returns an ID that has not been used before.
	NextAttemptID() AttemptID
	// Send sends the attempt's sub-request.
	Send(a *Attempt)
	// Cancel is called when the attempt's reply is no longer needed.
	Cancel(a *Attempt)
	// Finish delivers the final outcome of the query. It is called exactly once per query.
	Finish(q *Query, outcome Outcome)
}

// Costs of extra sub-requests, in units of a first sub-request.
const (
	// FullPrice is the cost of work that may be done twice.
	FullPrice = 1.0
	// ShedPrice is the cost of a retry after a server shed the sub-request without doing any
	// work.
	ShedPrice = 0.1
)
