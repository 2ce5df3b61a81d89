// Package caller implements the HTTP API for callers: queries, and the explanations of finished
// requests.
package caller

import (
	"encoding/json"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
)

// Limits of a request's fields.
const (
	// MaximumRequestIDLength is the maximum length of request_id in bytes.
	MaximumRequestIDLength = 128
	// MaximumDeadline is the maximum of deadline_ms.
	MaximumDeadline = 10 * time.Minute
)

// Request is a validated query of a caller.
type Request struct {
	// Service is the name of the service to query.
	Service string
	// RequestID is the request ID that the caller chose.
	RequestID string
	// Class is the name of the priority class.
	Class string
	// Deadline is how long the caller waits for the answer. Zero means the deadline of the class.
	Deadline time.Duration
	// MinimumCoverage is the minimum coverage that the caller accepts, from 0 to 1.
	MinimumCoverage float64
	// Repeatable reports whether sub-requests may be executed more than once.
	Repeatable bool
	// Body is sent to the servers unchanged.
	Body json.RawMessage
}

// requestDocument is the JSON form of a Request. Fields without omitempty are required.
// DeadlineMillis is a pointer to distinguish a missing deadline from zero.
type requestDocument struct {
	RequestID       string          `json:"request_id"`
	Class           string          `json:"class"`
	DeadlineMillis  *float64        `json:"deadline_ms,omitempty"`
	MinimumCoverage float64         `json:"minimum_coverage,omitempty"`
	Repeatable      bool            `json:"repeatable"`
	Body            json.RawMessage `json:"body"`
}

// Answer is the JSON body of a response with HTTP status 200.
type Answer struct {
	RequestID string `json:"request_id"`
	// Snapshot is the index snapshot that all parts were read from.
	Snapshot uint64 `json:"snapshot"`
	// Coverage is the fraction of the key space that the parts cover.
	Coverage float64 `json:"coverage"`
	// Complete reports whether the parts cover the whole key space.
	Complete bool   `json:"complete"`
	Reason   string `json:"reason"`
	// Missing lists the key ranges that no part covers.
	Missing []coverage.Range `json:"missing"`
	// Parts holds the results of the servers, sorted by key range.
	Parts []Part `json:"parts"`
	// Warnings holds messages for the caller, such as that the answer is partial.
	Warnings []string `json:"warnings"`
}

// Part is the result of one server for a key range.
type Part struct {
	Range coverage.Range  `json:"range"`
	Body  json.RawMessage `json:"body"`
}

// Result is the final result of a Request.
type Result struct {
	Outcome dispatch.Outcome
	// KeySpace is the entire key space of the service.
	KeySpace coverage.Range
	// Duplicate reports whether the outcome is that of an earlier request with the same ID.
	Duplicate bool
}
