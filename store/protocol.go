package store

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Paths and query parameters of the key-value service's HTTP protocol.
const (
	// RecordsPath is followed by the key of a record.
	RecordsPath = "/v1/records/"
	// LeasesPath is the path for granting leases. The path of one lease is
	// LeasesPath, a slash and its ID.
	LeasesPath = "/v1/leases"

	AfterParameter = "after"
	WaitParameter  = "wait_ms"
	LeaseParameter = "lease"
)

// Limits of the protocol.
const (
	// MaximumValueBytes is the maximum size of a record's value.
	MaximumValueBytes = 16 << 20
	// MaximumKeyBytes is the maximum length of a key or lease ID.
	MaximumKeyBytes = 256
	// MaximumWait is the maximum duration of one long poll.
	MaximumWait = time.Minute
	// MaximumLeaseBytes is the maximum size of a request or reply body about a
	// lease.
	MaximumLeaseBytes = 4 << 10
	// MaximumTimeToLive is the maximum time to live of a lease.
	MaximumTimeToLive = 24 * time.Hour
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]*(/[A-Za-z0-9_-][A-Za-z0-9._-]*)*$`)

// ValidateKey returns ErrInvalid unless key consists of segments separated by
// slashes, each made of letters, digits, dots, underscores and hyphens and not
// beginning with a dot, with at most MaximumKeyBytes in total. It also
// validates lease IDs.
func ValidateKey(key string) error {
	if len(key) > MaximumKeyBytes || !keyPattern.MatchString(key) {
		return fmt.Errorf("%w: key %q", ErrInvalid, key)
	}
	return nil
}

// validatePut returns ErrInvalid if the protocol does not allow the arguments
// of a Put.
func validatePut(key string, value []byte, lease LeaseID) error {
	if err := ValidateKey(key); err != nil {
		return err
	}
	if len(value) > MaximumValueBytes {
		return fmt.Errorf("%w: value exceeds %d bytes", ErrInvalid, MaximumValueBytes)
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

// GrantReply is the body of the reply to a GrantRequest.
type GrantReply struct {
	Lease LeaseID `json:"lease"`
}

// FormatETag formats a revision as an entity tag.
func FormatETag(revision uint64) string {
	return `"` + strconv.FormatUint(revision, 10) + `"`
}

// ParseETag parses the revision in an entity tag. It rejects weak tags and
// revision zero.
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
