package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// StoreKey is the key of the record in the platform's store.
const StoreKey = "banksail/configuration"

// Bounds of the stored record.
const (
	// RecordFormat is the format that this version writes.
	RecordFormat = 1
	// MaximumRecordBytes bounds an encoded record.
	MaximumRecordBytes = 4 << 20
	// MaximumHistory bounds the history that the record keeps.
	MaximumHistory = 64
	// MaximumRecentPlans bounds the plan IDs that the record keeps.
	MaximumRecentPlans = 256
	// maximumSummaryLines bounds the lines of a history entry's summary.
	maximumSummaryLines = 16
	// maximumSummaryLineBytes bounds the bytes of such a line.
	maximumSummaryLineBytes = 160
)

// Record is what the store holds and nodes carry to each other, byte for byte.
type Record struct {
	Format int `json:"format"`
	// Revision grows by one with each confirmed plan.
	Revision Revision `json:"revision"`
	Config   Config   `json:"config"`
	// History lists the latest changes, oldest first.
	History []HistoryEntry `json:"history" validate:"max=64,dive"`
	// RecentPlans lists the latest plans that were applied, oldest first.
	RecentPlans []AppliedPlan `json:"recent_plans" validate:"max=256,dive"`
	// LastIntent made this revision; it is kept when it is small, so that nodes
	// can carry the change in place of the record.
	LastIntent *Intent `json:"last_intent,omitempty"`
}

// HistoryEntry tells of one accepted change.
type HistoryEntry struct {
	Revision Revision `json:"revision"`
	PlanID   string   `json:"plan_id" validate:"required,max=64"`
	Author   string   `json:"author" validate:"required,max=128"`
	Note     string   `json:"note,omitempty" validate:"max=512"`
	// ConfirmedAt is the confirming node's wall clock, for people only.
	ConfirmedAt time.Time `json:"confirmed_at"`
	// Summary lists the first differences.
	Summary []string `json:"summary" validate:"max=16,dive,max=160"`
	// Differences counts all of them.
	Differences int `json:"differences" validate:"min=0"`
}

// AppliedPlan names a plan that was applied and the revision that it made.
type AppliedPlan struct {
	ID       string   `json:"id" validate:"required,max=64"`
	Revision Revision `json:"revision"`
}

// EncodeRecord writes a record for the store.
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

// DecodeRecord reads and checks a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := decodeStrict(data, MaximumRecordBytes, &record); err != nil {
		return Record{}, fmt.Errorf("record: %w", err)
	}
	if record.Format != RecordFormat {
		return Record{}, fmt.Errorf("%w: record format %d, known is %d", ErrUnsupportedFormat, record.Format, RecordFormat)
	}
	if record.Revision == 0 {
		return Record{}, &ValidationError{Faults: []Fault{{Field: "revision", Problem: "must be at least 1"}}}
	}
	faults := &faultList{}
	checkTags(faults, "", record) // those of the configuration too
	checkRules(faults, record.Config)
	if err := faults.err(); err != nil {
		return Record{}, err
	}
	return record, nil
}

// FindPlan tells which revision a plan made, if the record still knows it.
func (r Record) FindPlan(id string) (Revision, bool) {
	for index := len(r.RecentPlans) - 1; index >= 0; index-- {
		if r.RecentPlans[index].ID == id {
			return r.RecentPlans[index].Revision, true
		}
	}
	return 0, false
}

// historySince lists the changes after a revision; truncated says that some are no
// longer known.
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

// MayHaveEvictedPlan tells whether plans made for a base revision may have
// been applied and dropped from RecentPlans since.
func (r Record) MayHaveEvictedPlan(base Revision) bool {
	if len(r.RecentPlans) == 0 {
		return false
	}
	return r.RecentPlans[0].Revision > base+1
}
