package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// Format version and size limits of deltas.
const (
	// DeltaFormat is the version of the delta format.
	DeltaFormat = 1
	// MaximumDeltaBytes limits the size of an encoded delta.
	MaximumDeltaBytes = 128 << 10
	// MaximumDeltaIntentBytes limits the size of the intent that a record keeps
	// for its delta. Records with a larger intent are transferred in full.
	MaximumDeltaIntentBytes = 64 << 10
)

// deltaPrefix distinguishes an encoded delta from an encoded record.
var deltaPrefix = []byte(`{"delta":`)

// Delta is one accepted change, which nodes transfer in place of the full
// record. Applied to the record of the previous revision, it reproduces the new
// record byte for byte, or is rejected.
type Delta struct {
	Format      int       `json:"format"`
	Revision    Revision  `json:"revision"`
	PlanID      string    `json:"plan_id"`
	Intent      Intent    `json:"intent"`
	ConfirmedAt time.Time `json:"confirmed_at"`
	// RecordDigest is the digest of the resulting record.
	RecordDigest string `json:"record_digest"`
}

type deltaEnvelope struct {
	Delta Delta `json:"delta"`
}

// RecordDigest returns the hexadecimal SHA-256 of an encoded record.
func RecordDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// EncodeDelta returns the encoded delta that produces a record with the given
// digest. ok is false if the record has not kept its intent or the delta would
// be too large.
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

// IsDelta reports whether data is an encoded delta rather than an encoded
// record.
func IsDelta(data []byte) bool { return bytes.HasPrefix(data, deltaPrefix) }

// DecodeDelta decodes a delta. Its content is validated by ApplyDelta.
func DecodeDelta(data []byte) (Delta, error) {
	var envelope deltaEnvelope
	if err := decodeStrict(data, MaximumDeltaBytes, &envelope); err != nil {
		return Delta{}, fmt.Errorf("delta: %w", err)
	}
	if envelope.Delta.Format != DeltaFormat {
		return Delta{}, fmt.Errorf("%w: delta format %d, supported is %d", ErrUnsupportedFormat, envelope.Delta.Format, DeltaFormat)
	}
	return envelope.Delta, nil
}

// ApplyDelta returns the record that follows base, and its encoding. It returns
// ErrDeltaMismatch if the delta was not made for base.
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
		return Record{}, nil, fmt.Errorf("%w: the result has digest %s, want %s", ErrDeltaMismatch, digest, delta.RecordDigest)
	}
	return next, data, nil
}
