package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// Bounds of deltas.
const (
	// DeltaFormat is the format that this version writes.
	DeltaFormat = 1
	// MaximumDeltaBytes bounds an encoded delta.
	MaximumDeltaBytes = 128 << 10
	// MaximumDeltaIntentBytes bounds the intent that a record keeps for its
	// delta; nodes carry a record with a larger one whole.
	MaximumDeltaIntentBytes = 64 << 10
)

// deltaPrefix tells an encoded delta from an encoded record.
var deltaPrefix = []byte(`{"delta":`)

// Delta carries one accepted change between nodes, in place of the whole
// record. Applied to the record of the revision before, it gives the record
// byte for byte, or is refused.
type Delta struct {
	Format      int       `json:"format"`
	Revision    Revision  `json:"revision"`
	PlanID      string    `json:"plan_id"`
	Intent      Intent    `json:"intent"`
	ConfirmedAt time.Time `json:"confirmed_at"`
	// RecordDigest is the digest of the record that the delta leads to.
	RecordDigest string `json:"record_digest"`
}

type deltaEnvelope struct {
	Delta Delta `json:"delta"`
}

// RecordDigest identifies a record's bytes: their SHA-256 in hexadecimal.
func RecordDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// EncodeDelta makes the delta that leads to a record with this digest; ok is
// false when the record does not keep the intent that made it.
func EncodeDelta(record Record, digest string) (data []byte, ok bool) {
	if record.LastIntent == nil || len(record.History) == 0 {
		return nil, false
	}
	last := record.History[len(record.History)-1]
	data, err := json.Marshal(deltaEnvelope{Delta: Delta{
		Format:       DeltaFormat,
		Revision:     record.Revision,
		PlanID:       last.PlanID,
		Intent:       *record.LastIntent,
		ConfirmedAt:  last.ConfirmedAt,
		RecordDigest: digest,
	}})
	return data, err == nil && len(data) <= MaximumDeltaBytes
}

// IsDelta tells an encoded delta from an encoded record.
func IsDelta(data []byte) bool { return bytes.HasPrefix(data, deltaPrefix) }

// DecodeDelta reads a delta; ApplyDelta checks its content.
func DecodeDelta(data []byte) (Delta, error) {
	var envelope deltaEnvelope
	if err := decodeStrict(data, MaximumDeltaBytes, &envelope); err != nil {
		return Delta{}, fmt.Errorf("delta: %w", err)
	}
	if envelope.Delta.Format != DeltaFormat {
		return Delta{}, fmt.Errorf("%w: delta format %d, known is %d", ErrUnsupportedFormat, envelope.Delta.Format, DeltaFormat)
	}
	return envelope.Delta, nil
}

// ApplyDelta returns the record that follows base, and its bytes. It returns
// ErrDeltaMismatch when base is not the record that the delta was made for.
func ApplyDelta(base Record, delta Delta) (next Record, data []byte, err error) {
	if base.Revision+1 != delta.Revision {
		return Record{}, nil, fmt.Errorf("%w: it makes revision %d, the base is %d", ErrDeltaMismatch, delta.Revision, base.Revision)
	}
	config, err := Apply(base.Config, delta.Intent)
	if err != nil {
		return Record{}, nil, fmt.Errorf("%w: %w", ErrDeltaMismatch, err)
	}
	next = base.next(config, acceptedChange{
		planID:      delta.PlanID,
		intent:      delta.Intent,
		differences: Compare(base.Config, config),
		acceptedAt:  delta.ConfirmedAt,
	})
	data, err = EncodeRecord(next)
	if err != nil {
		return Record{}, nil, err
	}
	if digest := RecordDigest(data); digest != delta.RecordDigest {
		return Record{}, nil, fmt.Errorf("%w: it leads to %s, and names %s", ErrDeltaMismatch, digest, delta.RecordDigest)
	}
	return next, data, nil
}
