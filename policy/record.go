package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// StoreKey is the key of the record in the platform's store.
const StoreKey = "banksail/configuration"

// Format version and size limits of the stored record.
const (
	// RecordFormat is the version of the record format.
	RecordFormat = 1
	// MaximumRecordBytes limits the size of an encoded record.
	MaximumRecordBytes = 4 << 20
	// MaximumHistory limits the number of history entries in a record.
	MaximumHistory = 64
	// MaximumRecentPlans limits the number of plan IDs in a record.
	MaximumRecentPlans = 256
	// maximumSummaryLines limits the lines of a history entry's summary.
	maximumSummaryLines = 16
	// maximumSummaryLineBytes limits the size of one such line.
	maximumSummaryLineBytes = 160
)

// Record is the document in the store. Nodes transfer its encoding unchanged.
type Record struct {
	Format int `json:"format"`
	// Revision increases by one with each confirmed plan.
	Revision Revision `json:"revision"`
	Config   Config   `json:"config"`
	// History lists the most recent changes, oldest first.
	History []HistoryEntry `json:"history" validate:"max=64,dive"`
	// RecentPlans lists the most recently applied plans, oldest first.
	RecentPlans []AppliedPlan `json:"recent_plans" validate:"max=256,dive"`
	// LastIntent is the intent that created this revision. It is kept only if
	// it is small, so that nodes can transfer a delta in place of the record.
	LastIntent *Intent `json:"last_intent,omitempty"`
}

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	Revision Revision `json:"revision"`
	PlanID   string   `json:"plan_id" validate:"required,max=64"`
	Author   string   `json:"author" validate:"required,max=128"`
	Note     string   `json:"note,omitempty" validate:"max=512"`
	// ConfirmedAt is the wall-clock time of the confirming node. It is
	// informational only.
	ConfirmedAt time.Time `json:"confirmed_at"`
	// Summary lists the first differences, one per line.
	Summary []string `json:"summary" validate:"max=16,dive,max=160"`
	// Differences is the total number of differences.
	Differences int `json:"differences" validate:"min=0"`
}

// AppliedPlan is the ID of an applied plan and the revision that it created.
type AppliedPlan struct {
	ID       string   `json:"id" validate:"required,max=64"`
	Revision Revision `json:"revision"`
}

// EncodeRecord encodes a record for the store. It returns ErrTooLarge if the
// encoding exceeds MaximumRecordBytes.
func EncodeRecord(record Record) ([]byte, error) {
	encoded, err := json.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("%w: encode record: %w", ErrMalformed, err)
	}
	if len(encoded) > MaximumRecordBytes {
		return nil, fmt.Errorf("%w: record of %d bytes, at most %d", ErrTooLarge, len(encoded), MaximumRecordBytes)
	}
	return encoded, nil
}

// DecodeRecord decodes and validates a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := decodeStrict(data, MaximumRecordBytes, &record); err != nil {
		return Record{}, fmt.Errorf("record: %w", err)
	}
	if record.Format != RecordFormat {
		return Record{}, fmt.Errorf("%w: record format %d, supported is %d", ErrUnsupportedFormat, record.Format, RecordFormat)
	}
	if record.Revision == 0 {
		return Record{}, &ValidationError{Faults: []Fault{{Field: "revision", Problem: "must be at least 1"}}}
	}
	faults := &faultList{}
	checkTags(faults, "", record) // includes the tags of the configuration
	checkRules(faults, record.Config)
	if err := faults.err(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// FindPlan returns the revision that a plan created, if the record still
// contains the plan's ID.
func (r Record) FindPlan(id string) (Revision, bool) {
	for index := len(r.RecentPlans) - 1; index >= 0; index-- {
		if r.RecentPlans[index].ID == id {
			return r.RecentPlans[index].Revision, true
		}
	}
	return 0, false
}

// historySince returns the changes after a revision. truncated is set if the
// history no longer contains all of them.
func (r Record) historySince(base Revision) (entries []HistoryEntry, truncated bool) {
	entries = []HistoryEntry{}
	for _, entry := range r.History {
		if entry.Revision > base {
			entries = append(entries, entry)
		}
	}
	return entries, base < r.Revision && Revision(len(entries)) < r.Revision-base
}

func lastItems[T any](items []T, count int) []T {
	if len(items) > count {
		return items[len(items)-count:]
	}
	return items
}

// MayHaveEvictedPlan reports whether a plan made for a base revision may have
// been applied and evicted from RecentPlans since.
func (r Record) MayHaveEvictedPlan(base Revision) bool {
	if len(r.RecentPlans) == 0 {
		return false
	}
	return r.RecentPlans[0].Revision > base+1
}
