package policy

import (
	"errors"
	"fmt"
	"strings"
)

// Errors returned by this package, wrapped with details.
var (
	// ErrInvalid means that an intent, a plan or a configuration violates a
	// rule; see ValidationError.
	ErrInvalid = errors.New("policy: invalid")
	// ErrMalformed means that a document cannot be parsed or encoded.
	ErrMalformed = errors.New("policy: malformed")
	// ErrTooLarge means that a document exceeds its size limit.
	ErrTooLarge = errors.New("policy: too large")
	// ErrUnsupportedFormat means that a document has a format version that this
	// release does not support.
	ErrUnsupportedFormat = errors.New("policy: unsupported format")
	// ErrPlanAltered means that a plan's content does not match its digest, or
	// that its differences do not match its intent.
	ErrPlanAltered = errors.New("policy: plan was altered")
	// ErrConflict means that the configuration changed after the plan was made;
	// see ConflictError.
	ErrConflict = errors.New("policy: configuration changed since the plan was made")
	// ErrDeltaMismatch means that a delta does not turn the base into the
	// record that it names.
	ErrDeltaMismatch = errors.New("policy: delta does not apply to the base record")
)

// Fault is one violation of a rule.
type Fault struct {
	// Field is the path of the invalid value, such as classes[0].order.
	Field string `json:"field"`
	// Problem describes the violation.
	Problem string `json:"problem"`
}

// ValidationError lists the violations found. It wraps ErrInvalid.
type ValidationError struct{ Faults []Fault }

// Error returns all violations on one line.
func (e *ValidationError) Error() string {
	texts := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		texts = append(texts, fault.Field+": "+fault.Problem)
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap returns ErrInvalid.
func (e *ValidationError) Unwrap() error { return ErrInvalid }

// ConflictError describes what changed after a plan was made. It wraps
// ErrConflict.
type ConflictError struct {
	// Base is the revision for which the plan was made.
	Base Revision
	// Current is the revision found.
	Current Revision
	// Between lists the changes after Base, oldest first.
	Between []HistoryEntry
	// Truncated is set if the history no longer covers all changes after Base.
	Truncated bool
	// PlanMayBeEvicted is set if the plan may have been applied so long ago
	// that its ID has been evicted from the record.
	PlanMayBeEvicted bool
}

// Error returns both revisions and the changes between them.
func (e *ConflictError) Error() string {
	texts := make([]string, 0, len(e.Between))
	for _, entry := range e.Between {
		texts = append(texts, fmt.Sprintf("%d by %s", entry.Revision, entry.Author))
	}
	return fmt.Sprintf("%v: planned for revision %d, found %d (%s)",
		ErrConflict, e.Base, e.Current, strings.Join(texts, ", "))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// faultList collects faults, up to maximumFaults.
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
