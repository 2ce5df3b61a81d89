package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// Format version and size limits of plans and intents.
const (
	// PlanFormat is the version of the plan format.
	PlanFormat = 1
	// MaximumPlanBytes limits the size of an encoded plan.
	MaximumPlanBytes = 8 << 20
	// MaximumIntentBytes limits the size of an encoded intent.
	MaximumIntentBytes = 4 << 20
)

// Plan is a self-contained document that describes what an intent would change
// at a base revision. Nodes do not store plans, and a plan has no effect until
// it is confirmed.
type Plan struct {
	Format int    `json:"format"`
	ID     string `json:"id" validate:"required,max=64"`
	// BaseRevision is the revision for which the plan was made.
	BaseRevision Revision `json:"base_revision"`
	Intent       Intent   `json:"intent"`
	// Differences lists the changes, field by field.
	Differences []Difference `json:"differences"`
	Warnings    []Warning    `json:"warnings"`
	// Digest is the hexadecimal SHA-256 of the JSON encoding with this field
	// empty.
	Digest string `json:"digest"`
}

// PlanOptions holds the inputs of NewPlan.
type PlanOptions struct {
	// ID is the plan's unique ID.
	ID string
	// Base is the record in force.
	Base Record
	// Intent is the operator's request.
	Intent Intent
	// Nodes is the number of live nodes, which is used for warnings.
	Nodes int
	// Warnings are placed before the warnings about the new configuration.
	Warnings []Warning
}

// NewPlan computes what an intent would change. It returns a *ValidationError
// if the intent or the resulting configuration is invalid.
func NewPlan(options PlanOptions) (Plan, error) {
	next, err := Apply(options.Base.Config, options.Intent)
	if err != nil {
		return Plan{}, err
	}
	warnings := append([]Warning{}, options.Warnings...)
	warnings = append(warnings, collectWarnings(options.Base.Config, next, options.Nodes)...)
	plan := Plan{
		Format:       PlanFormat,
		ID:           options.ID,
		BaseRevision: options.Base.Revision,
		Intent:       options.Intent,
		Differences:  Compare(options.Base.Config, next),
		Warnings:     warnings,
	}
	plan.Digest, err = plan.digest()
	return plan, err
}

func (p Plan) digest() (string, error) {
	p.Digest = ""
	encoded, err := json.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("%w: encode plan: %w", ErrMalformed, err)
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:]), nil
}

// Verify checks a plan's format and fields, and that its content matches its
// digest.
func (p Plan) Verify() error {
	if p.Format != PlanFormat {
		return fmt.Errorf("%w: plan format %d, supported is %d", ErrUnsupportedFormat, p.Format, PlanFormat)
	}
	faults := &faultList{}
	checkTags(faults, "", p)
	if err := faults.err(); err != nil {
		return err
	}
	digest, err := p.digest()
	if err != nil {
		return err
	}
	if digest != p.Digest {
		return fmt.Errorf("%w: the digest is %s, but the content has digest %s", ErrPlanAltered, p.Digest, digest)
	}
	return nil
}

// EncodePlan encodes a plan as indented JSON.
func EncodePlan(plan Plan) ([]byte, error) {
	encoded, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("%w: encode plan: %w", ErrMalformed, err)
	}
	return append(encoded, '\n'), nil
}

// DecodePlan decodes and verifies a plan.
func DecodePlan(data []byte) (Plan, error) {
	var plan Plan
	if err := decodeStrict(data, MaximumPlanBytes, &plan); err != nil {
		return Plan{}, fmt.Errorf("plan: %w", err)
	}
	if err := plan.Verify(); err != nil {
		return Plan{}, err
	}
	return plan, nil
}

// DecodeIntent decodes an intent. Its content is validated by Apply.
func DecodeIntent(data []byte) (Intent, error) {
	var intent Intent
	if err := decodeStrict(data, MaximumIntentBytes, &intent); err != nil {
		return Intent{}, fmt.Errorf("intent: %w", err)
	}
	return intent, nil
}

// Decision is the result of confirming a plan against a record.
type Decision struct {
	// Applied is set if the plan has already been applied; Next is then empty.
	Applied bool
	// Revision is the revision that the plan created or will create.
	Revision Revision
	// Next is the record to write to the store.
	Next Record
}

// Decide computes the result of confirming a verified plan against the record
// in force. It returns a *ConflictError if another plan was applied in the
// meantime.
func Decide(current Record, plan Plan, confirmedAt time.Time) (Decision, error) {
	if revision, found := current.FindPlan(plan.ID); found {
		return Decision{Applied: true, Revision: revision}, nil
	}
	if current.Revision != plan.BaseRevision {
		between, truncated := current.historySince(plan.BaseRevision)
		return Decision{}, &ConflictError{
			Base:             plan.BaseRevision,
			Current:          current.Revision,
			Between:          between,
			Truncated:        truncated,
			PlanMayBeEvicted: current.MayHaveEvictedPlan(plan.BaseRevision),
		}
	}
	config, err := Apply(current.Config, plan.Intent)
	if err != nil {
		return Decision{}, err
	}
	if !equalDifferences(plan.Differences, Compare(current.Config, config)) {
		return Decision{}, fmt.Errorf("%w: the differences do not match the intent", ErrPlanAltered)
	}
	next := current.next(config, acceptedChange{planID: plan.ID, intent: plan.Intent, differences: plan.Differences, acceptedAt: confirmedAt})
	return Decision{Revision: next.Revision, Next: next}, nil
}

func equalDifferences(a, b []Difference) bool {
	first, errFirst := json.Marshal(a)
	second, errSecond := json.Marshal(b)
	return errFirst == nil && errSecond == nil && bytes.Equal(first, second)
}

// acceptedChange is a change that creates a new revision.
type acceptedChange struct {
	planID      string
	intent      Intent
	differences []Difference
	acceptedAt  time.Time
}

// next returns the record that follows r. It depends only on its arguments, so
// that every node produces identical bytes.
func (r Record) next(config Config, change acceptedChange) Record {
	revision := r.Revision + 1
	entry := HistoryEntry{
		Revision:    revision,
		PlanID:      change.planID,
		Author:      change.intent.Author,
		Note:        change.intent.Note,
		ConfirmedAt: change.acceptedAt.UTC(),
		Summary:     summarize(change.differences),
		Differences: len(change.differences),
	}
	history := append([]HistoryEntry{}, lastItems(r.History, MaximumHistory-1)...)
	plans := append([]AppliedPlan{}, lastItems(r.RecentPlans, MaximumRecentPlans-1)...)
	return Record{
		Format:      RecordFormat,
		Revision:    revision,
		Config:      config,
		History:     append(history, entry),
		RecentPlans: append(plans, AppliedPlan{ID: change.planID, Revision: revision}),
		LastIntent:  intentForDelta(change.intent),
	}
}

// intentForDelta returns the intent if it is small enough for the record to
// keep, otherwise nil.
func intentForDelta(intent Intent) *Intent {
	encoded, err := json.Marshal(intent)
	if err != nil || len(encoded) > MaximumDeltaIntentBytes {
		return nil
	}
	return &intent
}

func summarize(differences []Difference) []string {
	summary := []string{}
	for _, difference := range differences[:min(len(differences), maximumSummaryLines)] {
		summary = append(summary, difference.Abbreviate(maximumSummaryLineBytes))
	}
	return summary
}

// truncate shortens text to at most limit bytes without splitting a UTF-8
// character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	const ellipsis = "..."
	cut := limit - len(ellipsis)
	for cut > 0 && text[cut]&0xC0 == 0x80 {
		cut--
	}
	return text[:cut] + ellipsis
}
