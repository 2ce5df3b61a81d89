package store

import (
	"fmt"
	"net/http"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/internal/strictjson"
)

// decodeRecord decodes the reply to a GET of a record.
func decodeRecord(reply httpcall.Reply) (Record, error) {
	switch reply.Code {
	case http.StatusOK:
	case http.StatusNotModified:
		return Record{}, ErrUnchanged
	case http.StatusNotFound:
		return Record{}, ErrNotFound
	case http.StatusTooManyRequests:
		return Record{}, ErrRateLimited
	case http.StatusServiceUnavailable:
		return Record{}, fmt.Errorf("%w: HTTP status %d", ErrUnavailable, reply.Code)
	default:
		return Record{}, fmt.Errorf("%w: HTTP status %d", ErrMalformed, reply.Code)
	}
	revision, err := ParseETag(reply.Header.Get("ETag"))
	if err != nil {
		return Record{}, err
	}
	return Record{Value: reply.Body, Revision: revision}, nil
}

// changeStatusError maps the HTTP status of the reply to a change to an error,
// nil on success. With a status that the protocol does not define, the outcome
// is unknown.
func changeStatusError(code int) error {
	switch code {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: HTTP status %d", ErrUnavailable, code)
	default:
		return fmt.Errorf("%w: %w: HTTP status %d", ErrOutcomeUnknown, ErrMalformed, code)
	}
}

// decodeGrant decodes the reply to the grant of a lease. If it is malformed,
// the lease may exist, so the outcome is unknown.
func decodeGrant(body []byte) (LeaseID, error) {
	reply := GrantReply{}
	if err := strictjson.Unmarshal(body, strictjson.Limits{Bytes: MaximumLeaseBytes}, &reply); err != nil {
		return "", fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, ErrMalformed, err)
	}
	if err := ValidateKey(string(reply.Lease)); err != nil {
		return "", fmt.Errorf("%w: %w: %w", ErrOutcomeUnknown, ErrMalformed, err)
	}
	return reply.Lease, nil
}
