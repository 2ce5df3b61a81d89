package dispatch

import (
	"time"

	"github.com/banksail/banksail/coverage"
)

// Action is an instruction to the owner. Step returns actions in the order in which they must
// be carried out.
type Action interface{ action() }

// Send asks the owner to send a sub-request to a server. The owner must report exactly one
// AttemptReplied or AttemptFailed for the attempt, even after a Cancel.
type Send struct {
	Attempt  AttemptID
	Query    QueryID
	Server   string
	Address  string
	Range    coverage.Range
	Snapshot SnapshotID
	// Remaining is the time left until the query's deadline.
	Remaining time.Duration
	// Kind is why the sub-request is sent: first send, hedge or retry.
	Kind SendKind
}

// Cancel says that the reply to an attempt is no longer needed.
type Cancel struct{ Attempt AttemptID }

// Finish delivers the final outcome of a query. Later actions refer to the query only to cancel
// its attempts.
type Finish struct {
	Query   QueryID
	Outcome Outcome
}

// SetTimer asks the owner for a TimerFired event at the given time. It replaces any earlier
// timer.
type SetTimer struct{ At time.Duration }

func (Send) action()     {}
func (Cancel) action()   {}
func (Finish) action()   {}
func (SetTimer) action() {}
