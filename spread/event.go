package spread

import (
	"time"

	"github.com/banksail/banksail/policy"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// RecordOffered reports a validated record that was received from the store,
// from a peer, or from a confirmation on this node.
type RecordOffered struct {
	Revision policy.Revision
	// Digest is the digest of the encoded record.
	Digest string
	// From is the ID of the member that sent the record, or empty if the record
	// came from elsewhere or the sender is unknown.
	From string
}

// MembersChanged reports the live nodes. Core ignores an entry for its own
// node.
type MembersChanged struct{ Members []Member }

// StoreReadCompleted reports the end of a ReadStore action. A record that was
// read has been reported by RecordOffered before it.
type StoreReadCompleted struct{ Failed bool }

// FetchCompleted reports the end of a Fetch action. A record that was received
// has been reported by RecordOffered before it.
type FetchCompleted struct {
	Member   string
	Revision policy.Revision
	Failed   bool
}

// PushCompleted reports the end of a Push action.
type PushCompleted struct {
	Member         string
	PushedRevision policy.Revision
	// Revision is the revision in force at the member after the push.
	Revision policy.Revision
	Failed   bool
}

// TimerFired reports that the time of the last SetTimer action has come.
type TimerFired struct{}

func (RecordOffered) event()      {}
func (MembersChanged) event()     {}
func (StoreReadCompleted) event() {}
func (FetchCompleted) event()     {}
func (PushCompleted) event()      {}
func (TimerFired) event()         {}

// Action is an output of Core.Step that the owner must execute.
type Action interface{ action() }

// Adopt puts the offered record in force.
type Adopt struct{ Revision policy.Revision }

// Push sends the record in force to a member. The owner reports PushCompleted.
type Push struct {
	Member   string
	Revision policy.Revision
}

// Fetch requests a record with a revision greater than Above from a member. The
// owner reports FetchCompleted.
type Fetch struct {
	Member string
	Above  policy.Revision
}

// ReadStore reads the record from the store, or watches it for at most MaxWait
// if that is not zero. The owner reports StoreReadCompleted.
type ReadStore struct{ MaxWait time.Duration }

// ReportDivergence reports that the offered record differs from the record of
// the same revision in force. This must never happen.
type ReportDivergence struct {
	Revision policy.Revision
	From     string
}

// SetTimer requests a TimerFired event at the given time. It replaces an
// earlier SetTimer.
type SetTimer struct{ At time.Duration }

func (Adopt) action()            {}
func (Push) action()             {}
func (Fetch) action()            {}
func (ReadStore) action()        {}
func (ReportDivergence) action() {}
func (SetTimer) action()         {}
