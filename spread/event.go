package spread

import (
	"time"

	"github.com/banksail/banksail/policy"
)

// Event is something that happened; Step takes one.
type Event interface{ event() }

// RecordOffered reports a record whose bytes were checked, from the store, from a
// peer, or from a confirmation on this node.
type RecordOffered struct {
	Revision policy.Revision
	// Digest identifies the record's bytes.
	Digest string
	// From is the member that sent it; empty for other sources.
	From string
}

// MembersChanged gives the live nodes other than this one.
type MembersChanged struct{ Members []Member }

// StoreReadCompleted reports the end of a ReadStore. What was read is reported by
// RecordOffered before it.
type StoreReadCompleted struct{ Failed bool }

// FetchCompleted reports the end of a Fetch. The record received, if any, is reported by RecordOffered before it.
type FetchCompleted struct {
	Member   string
	Revision policy.Revision
	Failed   bool
}

// PushCompleted reports the end of a Push, with the revision now in force at the member.
type PushCompleted struct {
	Member         string
	PushedRevision policy.Revision
	Revision       policy.Revision
	Failed         bool
}

// TimerFired reports that the time named by a SetTimer action has come.
type TimerFired struct{}

func (RecordOffered) event()      {}
func (MembersChanged) event()     {}
func (StoreReadCompleted) event() {}
func (FetchCompleted) event()     {}
func (PushCompleted) event()      {}
func (TimerFired) event()         {}

// Action is something that the owner must do; Step returns them in order.
type Action interface{ action() }

// Adopt puts the offered record in force.
type Adopt struct{ Revision policy.Revision }

// Push sends the record in force to a member; the owner reports PushCompleted.
type Push struct {
	Member   string
	Revision policy.Revision
}

// Fetch asks a member for a record above a revision; the owner reports FetchCompleted.
type Fetch struct {
	Member string
	Above  policy.Revision
}

// ReadStore reads the store's record, or watches it for at most MaxWait; the
// owner reports StoreReadCompleted.
type ReadStore struct{ MaxWait time.Duration }

// ReportDivergence reports that two records of one revision differ, which must never be.
type ReportDivergence struct {
	Revision policy.Revision
	From     string
}

// SetTimer asks for a TimerFired event at the given time. A later SetTimer replaces an earlier one.
type SetTimer struct{ At time.Duration }

func (Adopt) action()            {}
func (Push) action()             {}
func (Fetch) action()            {}
func (ReadStore) action()        {}
func (ReportDivergence) action() {}
func (SetTimer) action()         {}
