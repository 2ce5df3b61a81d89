package policy

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of the package, wrapped with details.
var (
	// ErrInvalid: an intent, a plan or a configuration breaks a rule; see ValidationError.
	ErrInvalid = errors.New("policy: invalid")
	// ErrMalformed: bytes are not of the expected form.
	ErrMalformed = errors.New("policy: malformed")
	// ErrTooLarge: bytes exceed the named bound.
	ErrTooLarge = errors.New("policy: too large")
	// ErrUnsupportedFormat: a document was written in a format that this version does not know.
	ErrUnsupportedFormat = errors.New("policy: unsupported format")
	// ErrPlanAltered: a plan's content does not match its digest, or its
	// differences are not those that its intent makes.
	ErrPlanAltered = errors.New("policy: plan was altered")
	// ErrConflict: the configuration changed after the plan was made; see ConflictError.
	ErrConflict = errors.New("policy: configuration changed since the plan was made")
	// ErrDeltaMismatch: a delta does not lead from the base to the record that it names.
	ErrDeltaMismatch = errors.New("policy: delta does not fit")
)

// Fault is one broken rule.
type Fault struct {
	// Field is the path of the value, such as classes[0].order.
	Field string `json:"field"`
	// Problem says what is wrong with it.
	Problem string `json:"problem"`
}

// ValidationError lists the faults that were found; it wraps ErrInvalid.
type ValidationError struct{ Faults []Fault }

// Error lists every fault on one line.
func (e *ValidationError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.Field+": "+fault.Problem)
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (e *ValidationError) Unwrap() error { return ErrInvalid }

// ConflictError tells what changed after a plan was made; it wraps ErrConflict.
type ConflictError struct {
	// Base is the revision that the plan was made for.
	Base Revision
	// Current is the revision found.
	Current Revision
	// Between lists the changes after Base, oldest first.
	Between []HistoryEntry
	// Truncated says that the history no longer reaches back to Base.
	Truncated bool
	// PlanMayBeEvicted says that the plan may have been applied so long ago that the
	// record no longer names it.
	PlanMayBeEvicted bool
}

// Error names both revisions and the changes between them.
func (e *ConflictError) Error() string {
	texts := make([]string, 0, len(e.Between))
	for _, entry := range e.Between {
		texts = append(texts, fmt.Sprintf("%d by %s", entry.Revision, entry.Author))
	}
	return fmt.Sprintf("%v: planned for revision %d, found %d (%s)",
		ErrConflict, e.Base, e.Current, strings.Join(texts, ", "))
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// faultList gathers faults, up to maximumFaults.
type faultList struct{ faults []Fault }

const maximumFaults = 100

func (l *faultList) add(field, format string, arguments ...any) {
	if len(l.faults) < maximumFaults {
		l.faults = append(l.faults, Fault{Field: field, Problem: fmt.Sprintf(format, arguments...)})
	}
}

func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: l.faults}
}
