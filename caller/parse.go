package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/banksail/banksail/internal/resource"
	"github.com/banksail/banksail/internal/strictjson"
)

// maxDepth is the maximum nesting depth of a request's JSON document.
const maxDepth = 128

// documentField is the field name in errors that concern the whole document.
const documentField = "document"

// parseRequest reads and validates a request's JSON document of at most limit bytes. Every error
// is a *FieldError. On an error, the returned Request has the request ID if it was decoded and
// valid.
func parseRequest(service string, body io.Reader, limit int64) (Request, error) {
	document, err := readDocument(body, limit)
	if err != nil {
		return Request{}, err
	}
	request := Request{Service: service, Body: document.Body}
	if err := request.setIdentity(document); err != nil {
		return request, err
	}
	return request, request.setConditions(document)
}

func readDocument(body io.Reader, limit int64) (requestDocument, error) {
	var document requestDocument
	raw, err := strictjson.Read(body, limit)
	if err == nil {
		err = strictjson.Unmarshal(raw, strictjson.Limits{Bytes: limit, Depth: maxDepth}, &document)
	} else if errors.Is(err, resource.ErrExhausted) || errors.Is(err, resource.ErrEvicted) {
		return document, &FieldError{
			Field: documentField, Detail: "other requests use the memory for the body",
			Status: http.StatusServiceUnavailable, Reason: reasonNoMemory, RetryAfter: resource.DefaultMinStall,
		}
	} else if !errors.Is(err, strictjson.ErrTooLarge) {
		return document, &FieldError{Field: documentField, Detail: "the body could not be read whole"}
	}
	if err != nil {
		return document, documentError(err, limit)
	}
	return document, nil
}

// documentError converts a decoding error to a *FieldError for the first invalid field.
func documentError(err error, limit int64) *FieldError {
	var fields *strictjson.FieldsError
	switch {
	case errors.As(err, &fields) && len(fields.Faults) > 0:
		first := fields.Faults[0]
		if first.Path == "" {
			first.Path = documentField
		}
		return &FieldError{Field: first.Path, Detail: first.Problem}
	case errors.Is(err, strictjson.ErrTooLarge):
		return &FieldError{
			Field: documentField, Detail: fmt.Sprintf("the body is over the limit of %d bytes", limit),
			Status: http.StatusRequestEntityTooLarge, Reason: reasonBodyTooLarge,
		}
	case errors.Is(err, strictjson.ErrTooDeep):
		return &FieldError{Field: documentField, Detail: fmt.Sprintf("objects and lists nest deeper than %d", maxDepth)}
	default:
		return &FieldError{Field: documentField, Detail: "the body is not one JSON object"}
	}
}

func (r *Request) setIdentity(document requestDocument) error {
	if !isValidRequestID(document.RequestID) {
		detail := fmt.Sprintf("must be 1 to %d printable ASCII characters without spaces", MaximumRequestIDLength)
		return &FieldError{Field: "request_id", Detail: detail}
	}
	r.RequestID = document.RequestID
	if document.Class == "" {
		return &FieldError{Field: "class", Detail: "must not be empty"}
	}
	r.Class = document.Class
	r.Repeatable = document.Repeatable
	return nil
}

func (r *Request) setConditions(document requestDocument) error {
	if document.DeadlineMillis != nil {
		deadline, err := parseDeadline(*document.DeadlineMillis)
		if err != nil {
			return err
		}
		r.Deadline = deadline
	}
	r.MinimumCoverage = document.MinimumCoverage
	if r.MinimumCoverage < 0 || r.MinimumCoverage > 1 {
		return &FieldError{Field: "minimum_coverage", Detail: "must be from 0 to 1"}
	}
	return nil
}

func parseDeadline(milliseconds float64) (time.Duration, error) {
	limit := float64(MaximumDeadline / time.Millisecond)
	if milliseconds < 1 || milliseconds > limit {
		return 0, &FieldError{Field: "deadline_ms", Detail: fmt.Sprintf("must be from 1 to %.0f", limit)}
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

func isValidRequestID(id string) bool {
	if id == "" || len(id) > MaximumRequestIDLength {
		return false
	}
	for _, character := range []byte(id) {
		if character <= ' ' || character > '~' {
			return false
		}
	}
	return true
}
