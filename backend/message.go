// Package backend is a client for back-end servers. It sends sub-requests and
// reads health and load reports over HTTP/1.1 with JSON bodies.
package backend

import (
	"encoding/json"

	"github.com/banksail/banksail/coverage"
)

// Paths of a back end's HTTP endpoints.
const (
	QueryPath  = "/v1/query"
	HealthPath = "/v1/health"
	LoadPath   = "/v1/load"
)

// MaximumReplyBytes is the maximum size of a reply body. A larger reply is
// rejected with ErrMalformed.
const MaximumReplyBytes = 16 << 20

// Request is the body of a POST to QueryPath: one sub-request, for one key
// range.
type Request struct {
	AttemptID string         `json:"attempt_id" validate:"required,max=128"`
	RequestID string         `json:"request_id" validate:"required,max=128"`
	Service   string         `json:"service" validate:"required,max=64"`
	Class     string         `json:"class" validate:"required,max=64"`
	Snapshot  uint64         `json:"snapshot" validate:"required"`
	Range     coverage.Range `json:"range"`
	// RemainingMilliseconds is the time left until the caller's deadline.
	RemainingMilliseconds float64         `json:"remaining_ms" validate:"gt=0"`
	Repeatable            bool            `json:"repeatable"`
	Body                  json.RawMessage `json:"body"`
}

// Status is the outcome that a server states in the body of its reply.
type Status string

// Statuses of replies, each with the HTTP status code that carries it. All but
// StatusDone and StatusError state that the sub-request was not executed.
const (
	StatusDone            Status = "done"             // 200
	StatusShed            Status = "shed"             // 503
	StatusDraining        Status = "draining"         // 503
	StatusUnknownSnapshot Status = "unknown_snapshot" // 409
	StatusNotOwner        Status = "not_owner"        // 409
	StatusInvalid         Status = "invalid"          // 400
	StatusError           Status = "error"            // 500
)

// Reply is the body of the reply to a Request. Pointer fields distinguish a
// missing field from a zero value.
type Reply struct {
	AttemptID string          `json:"attempt_id"`
	Status    Status          `json:"status"`
	Snapshot  *uint64         `json:"snapshot,omitempty"`
	Range     *coverage.Range `json:"range,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	// Snapshots lists the snapshots that the server holds.
	Snapshots []uint64 `json:"snapshots,omitempty"`
	Load      *Load    `json:"load,omitempty"`
	Draining  bool     `json:"draining,omitempty"`
	// RetryAfterMilliseconds is the back-off that a server asks for when it
	// sheds a sub-request. It is set on replies with StatusShed.
	RetryAfterMilliseconds float64 `json:"retry_after_ms,omitempty"`
	Message                string  `json:"message,omitempty"`
}

// Load is the load that a server reports, at LoadPath and in replies to
// sub-requests.
type Load struct {
	InFlight  int      `json:"in_flight"`
	Queued    int      `json:"queued"`
	Snapshots []uint64 `json:"snapshots,omitempty"`
}

// HealthState is the health that a server reports.
type HealthState string

// Health states.
const (
	HealthStarting HealthState = "starting"
	HealthReady    HealthState = "ready"
	HealthDraining HealthState = "draining"
)

// Health is the body of the reply to a GET of HealthPath.
type Health struct {
	State       HealthState `json:"state"`
	Incarnation string      `json:"incarnation"`
	Snapshots   []uint64    `json:"snapshots,omitempty"`
}
