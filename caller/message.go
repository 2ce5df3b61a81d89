// Package caller is the HTTP API towards callers: queries with their answers
// and refusals, and the explanations of finished requests.
package caller

import (
	"encoding/json"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
)

// Bounds of a request's fields.
const (
	// MaximumRequestIDLength bounds request_id, in bytes.
	MaximumRequestIDLength = 128
	// MaximumDeadline bounds deadline_ms.
	MaximumDeadline = 10 * time.Minute
)

// Request is a caller's query as the node takes it.
type Request struct {
	// Service names the service that is asked.
	Service string
	// RequestID is the caller's own name for the request.
	RequestID string
	// Class names the priority class.
	Class string
	// Deadline is the time that the caller waits; zero takes the class's.
	Deadline time.Duration
	// MinimumCoverage is the least coverage that the caller accepts, from 0 to 1.
	MinimumCoverage float64
	// Repeatable says that the sub-requests may run more than once.
	Repeatable bool
	// Body is passed to the servers as it is.
	Body json.RawMessage
}

// requestDocument is the JSON form of a Request. Fields without omitempty are
// required; the pointer tells a missing deadline from zero.
type requestDocument struct {
	RequestID       string          `json:"request_id"`
	Class           string          `json:"class"`
	DeadlineMillis  *float64        `json:"deadline_ms,omitempty"`
	MinimumCoverage float64         `json:"minimum_coverage,omitempty"`
	Repeatable      bool            `json:"repeatable"`
	Body            json.RawMessage `json:"body"`
}

// Answer is the JSON document of an answer, with HTTP status 200.
type Answer struct {
	RequestID string `json:"request_id"`
	// Snapshot is the one index snapshot from which all parts come.
	Snapshot uint64 `json:"snapshot"`
	// Coverage is the true fraction of the key space that the parts hold.
	Coverage float64 `json:"coverage"`
	// Complete is true when the parts hold the whole key space.
	Complete bool   `json:"complete"`
	Reason   string `json:"reason"`
	// Missing lists the key ranges that no part holds.
	Missing []coverage.Range `json:"missing"`
	// Parts lists the servers' results, sorted by range.
	Parts []Part `json:"parts"`
	// Warnings tells what the caller should know besides.
	Warnings []string `json:"warnings"`
}

// Part is one server's result for a key range.
type Part struct {
	Range coverage.Range  `json:"range"`
	Body  json.RawMessage `json:"body"`
}

// Result is the final answer to a Request.
type Result struct {
	Outcome dispatch.Outcome
	// KeySpace is the service's whole key space.
	KeySpace coverage.Range
	// Duplicate says that the outcome is that of an earlier request with the
	// same request ID.
	Duplicate bool
}
