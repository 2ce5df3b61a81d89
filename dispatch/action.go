package dispatch

import (
	"time"

	"github.com/banksail/banksail/coverage"
)

// Action is something that the owner must do; Step returns them in order.
type Action interface{ action() }

// Send asks a server. The owner reports back exactly one AttemptReplied or AttemptFailed for
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

// Cancel tells the owner that an attempt's reply is no longer wanted.
type Cancel struct{ Attempt AttemptID }

// Finish gives the query's one final answer. No further action names the query
// but Cancel.
type Finish struct {
	Query   QueryID
	Outcome Outcome
}

// SetTimer asks the owner for a TimerFired event at the given time. A later one
// replaces an earlier one.
type SetTimer struct{ At time.Duration }

func (Send) action()     {}
func (Cancel) action()   {}
func (Finish) action()   {}
func (SetTimer) action() {}
