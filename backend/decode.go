package backend

import (
	"fmt"
	"net/http"

	"github.com/banksail/banksail/internal/strictjson"
)

// MaximumSnapshots is the maximum number of snapshots that a server may list.
const MaximumSnapshots = 1024

// replyLimits limits the size of JSON documents in replies.
var replyLimits = strictjson.Limits{Bytes: MaximumReplyBytes}

// statusCodes maps each Status to the HTTP status code that carries it.
var statusCodes = map[Status]int{
	StatusDone:            http.StatusOK,
	StatusShed:            http.StatusServiceUnavailable,
	StatusDraining:        http.StatusServiceUnavailable,
	StatusUnknownSnapshot: http.StatusConflict,
	StatusNotOwner:        http.StatusConflict,
	StatusInvalid:         http.StatusBadRequest,
	StatusError:           http.StatusInternalServerError,
}

// HTTPCode returns the HTTP status code that carries the status, or zero if the
// status is unknown.
func (s Status) HTTPCode() int {
	return statusCodes[s]
}

// MayHaveExecuted reports whether the server may have executed the sub-request
// that it answered with this status.
func (s Status) MayHaveExecuted() bool {
	return s == StatusDone || s == StatusError
}

// decodeReply decodes data and validates it as the reply to the request.
func decodeReply(data []byte, code int, request *Request) (*Reply, error) {
	reply := &Reply{}
	if err := strictjson.Unmarshal(data, replyLimits, reply); err != nil {
		return nil, fmt.Errorf("%w: HTTP status %d: %w", ErrMalformed, code, err)
	}
	if err := reply.validate(code); err != nil {
		return nil, err
	}
	if err := reply.validateEcho(request); err != nil {
		return nil, err
	}
	return reply, nil
}

// Check returns an error that wraps ErrMalformed unless the reply follows the
// protocol and belongs to the request. It is for replies that another node
// forwards.
func (r *Reply) Check(request *Request) error {
	if err := r.validate(r.Status.HTTPCode()); err != nil {
		return err
	}
	return r.validateEcho(request)
}

// validateEcho returns ErrMalformed unless the reply has the attempt ID of the
// request and, with StatusDone, its snapshot and range.
func (r *Reply) validateEcho(request *Request) error {
	if r.AttemptID != request.AttemptID {
		return fmt.Errorf("%w: reply has attempt ID %q, want %q", ErrMalformed, r.AttemptID, request.AttemptID)
	}
	if r.Status != StatusDone {
		return nil
	}
	if *r.Snapshot != request.Snapshot {
		return fmt.Errorf("%w: reply has snapshot %d, want %d", ErrMalformed, *r.Snapshot, request.Snapshot)
	}
	if *r.Range != request.Range {
		return fmt.Errorf("%w: reply has range %s, want %s", ErrMalformed, *r.Range, request.Range)
	}
	return nil
}

// validate checks the reply on its own, without its request.
func (r *Reply) validate(code int) error {
	expected := r.Status.HTTPCode()
	switch {
	case expected == 0:
		return fmt.Errorf("%w: unknown status %q", ErrMalformed, r.Status)
	case expected != code:
		return fmt.Errorf("%w: status %q under HTTP status %d", ErrMalformed, r.Status, code)
	case r.AttemptID == "":
		return fmt.Errorf("%w: attempt_id is missing", ErrMalformed)
	case r.RetryAfterMilliseconds < 0:
		return fmt.Errorf("%w: retry_after_ms is negative", ErrMalformed)
	case len(r.Snapshots) > MaximumSnapshots:
		return fmt.Errorf("%w: over %d snapshots", ErrMalformed, MaximumSnapshots)
	}
	if r.Load != nil {
		if err := r.Load.validate(); err != nil {
			return err
		}
	}
	if r.Status != StatusDone {
		return nil
	}
	return r.validateResult()
}

// validateResult checks the fields that a reply with StatusDone must have.
func (r *Reply) validateResult() error {
	switch {
	case r.Snapshot == nil:
		return fmt.Errorf("%w: snapshot is missing", ErrMalformed)
	case r.Range == nil:
		return fmt.Errorf("%w: range is missing", ErrMalformed)
	case len(r.Body) == 0:
		return fmt.Errorf("%w: body is missing", ErrMalformed)
	}
	if err := r.Range.Validate(); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func (l *Load) validate() error {
	switch {
	case l.InFlight < 0:
		return fmt.Errorf("%w: load.in_flight is negative", ErrMalformed)
	case l.Queued < 0:
		return fmt.Errorf("%w: load.queued is negative", ErrMalformed)
	case len(l.Snapshots) > MaximumSnapshots:
		return fmt.Errorf("%w: over %d snapshots", ErrMalformed, MaximumSnapshots)
	}
	return nil
}

func decodeHealth(data []byte, code int) (*Health, error) {
	if code != http.StatusOK {
		return nil, fmt.Errorf("%w: HTTP status %d", ErrMalformed, code)
	}
	health := &Health{}
	if err := strictjson.Unmarshal(data, replyLimits, health); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	switch health.State {
	case HealthStarting, HealthReady, HealthDraining:
	default:
		return nil, fmt.Errorf("%w: unknown state %q", ErrMalformed, health.State)
	}
	if len(health.Snapshots) > MaximumSnapshots {
		return nil, fmt.Errorf("%w: over %d snapshots", ErrMalformed, MaximumSnapshots)
	}
	return health, nil
}

func decodeLoad(data []byte, code int) (*Load, error) {
	if code != http.StatusOK {
		return nil, fmt.Errorf("%w: HTTP status %d", ErrMalformed, code)
	}
	load := &Load{}
	if err := strictjson.Unmarshal(data, replyLimits, load); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := load.validate(); err != nil {
		return nil, err
	}
	return load, nil
}
