package store

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Paths and parameters of the key-value service's HTTP protocol.
const (
	// RecordsPath is followed by a record's key.
	RecordsPath = "/v1/records/"
	// LeasesPath is where leases are granted; a lease's own path is below it.
	LeasesPath = "/v1/leases"

	AfterParameter = "after"
	WaitParameter  = "wait_ms"
	LeaseParameter = "lease"
)

// Bounds of the protocol.
const (
	// MaximumValueBytes bounds the value of a record.
	MaximumValueBytes = 16 << 20
	// MaximumKeyBytes bounds a record's key.
	MaximumKeyBytes = 256
	// MaximumWait bounds one long poll.
	MaximumWait = time.Minute
	// MaximumLeaseBytes bounds a document about a lease.
	MaximumLeaseBytes = 4 << 10
	// MaximumTimeToLive bounds a lease.
	MaximumTimeToLive = 24 * time.Hour
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]*(/[A-Za-z0-9_-][A-Za-z0-9._-]*)*$`)

// ValidateKey returns ErrInvalid unless key is made of letters, digits, dot,
// underscore and hyphen in segments that slashes part.
func ValidateKey(key string) error {
	if len(key) > MaximumKeyBytes || !keyPattern.MatchString(key) {
		return fmt.Errorf("%w: key %q", ErrInvalid, key)
	}
	return nil
}

// validatePut returns ErrInvalid for a swap that the protocol can't carry.
func validatePut(key string, value []byte, lease LeaseID) error {
	if err := ValidateKey(key); err != nil {
		return err
	}
	if len(value) > MaximumValueBytes {
		return fmt.Errorf("%w: value over %d bytes", ErrInvalid, MaximumValueBytes)
	}
	if lease == "" {
		return nil
	}
	return ValidateKey(string(lease))
}

// GrantRequest is the body of a POST to LeasesPath.
type GrantRequest struct {
	TimeToLiveMilliseconds float64 `json:"ttl_ms"`
}

// GrantReply is the reply to a GrantRequest.
type GrantReply struct {
	Lease LeaseID `json:"lease"`
}

// FormatETag writes a revision as an entity tag.
func FormatETag(revision uint64) string {
	return `"` + strconv.FormatUint(revision, 10) + `"`
}

// ParseETag reads a revision, which is never zero, from an entity tag.
func ParseETag(tag string) (uint64, error) {
	digits, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return 0, fmt.Errorf("%w: entity tag %q", ErrMalformed, tag)
	}
	digits, ok = strings.CutSuffix(digits, `"`)
	if !ok {
		return 0, fmt.Errorf("%w: entity tag %q", ErrMalformed, tag)
	}
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || revision == 0 {
		return 0, fmt.Errorf("%w: entity tag %q", ErrMalformed, tag)
	}
	return revision, nil
}
