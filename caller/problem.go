package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// ProblemMediaType is the media type of problem documents (RFC 9457).
const ProblemMediaType = "application/problem+json"

// Reasons of outcomes of non-repeatable requests that the node determines without a dispatcher.
const (
	// ReasonHeldElsewhere means that another node has claimed the request ID and may have
	// executed the request.
	ReasonHeldElsewhere dispatch.Reason = "held_elsewhere"
	// ReasonResultEvicted means that the request was completed but its result is no longer kept.
	ReasonResultEvicted dispatch.Reason = "result_forgotten"
	// ReasonNoQuorum means that too few other nodes recorded the claim of the request ID.
	ReasonNoQuorum dispatch.Reason = "no_quorum"
)

// problemTypePrefix is the prefix of a problem's type; the reason is appended to it.
const problemTypePrefix = "https://banksail.dev/problems/"

// writeTimeout is the maximum time to write one response.
const writeTimeout = 30 * time.Second

// Names of executions in problem documents and logs.
const (
	executionNotRun  = "not_run"
	executionUnknown = "unknown"
	executionPartial = "partial"
	executionDone    = "done"
)

// Reasons of requests that are rejected before they reach a dispatcher.
const (
	reasonInvalidRequest = "invalid_request"
	reasonBodyTooLarge   = "body_too_large"
	reasonNoMemory       = "no_memory"
	reasonUnknownService = "unknown_service"
	reasonIDReused       = "request_id_reused"
	reasonNotFound       = "not_found"
)

// Problem is a problem document (RFC 9457), the body of responses to rejected and failed
// requests.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Field is the name of the request's invalid field.
	Field string `json:"field,omitempty"`
	// Execution is not_run, unknown or partial.
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMilliseconds is the time after which the caller may retry. The Retry-After header
	// has the same time, rounded up to whole seconds.
	RetryAfterMilliseconds float64 `json:"retry_after_ms,omitempty"`
	// Coverage is the coverage reached. It is set if Execution is partial.
	Coverage *float64 `json:"coverage,omitempty"`
}

// FieldError reports an invalid field of a request. Nothing was sent to servers.
type FieldError struct {
	// Field is the name of the field in the JSON document, or "service" or "document".
	Field string
	// Detail is a one-sentence message for the caller.
	Detail string
	// Status is the HTTP status. Zero means 400.
	Status int
	// Reason is the reason in the problem document. Empty means invalid_request.
	Reason string
	// RetryAfter is the time after which the caller may retry; zero if a retry does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FieldError) Error() string { return "caller: " + e.Field + ": " + e.Detail }

// NewUnknownServiceError returns the error for a service that is not in the active configuration.
func NewUnknownServiceError() *FieldError {
	return &FieldError{
		Field: "service", Detail: "the configuration has no such service",
		Status: http.StatusNotFound, Reason: reasonUnknownService,
	}
}

// NewUnknownClassError returns the error for a class that is not in the active configuration.
func NewUnknownClassError() *FieldError {
	return &FieldError{
		Field: "class", Detail: "the configuration has no such class",
		Reason: string(dispatch.ReasonUnknownClass),
	}
}

// NewReusedIDError returns the error for a non-repeatable request that has the same ID as an
// earlier request with different content.
func NewReusedIDError() *FieldError {
	return &FieldError{
		Field: "request_id", Detail: "another request with this ID and other content ran within the window",
		Status: http.StatusConflict, Reason: reasonIDReused,
	}
}

// ExecutionName returns the name of an execution in problem documents and logs.
func ExecutionName(execution dispatch.Execution) string {
	switch execution {
	case dispatch.ExecutionNotRun:
		return executionNotRun
	case dispatch.ExecutionPartial:
		return executionPartial
	case dispatch.ExecutionDone:
		return executionDone
	default:
		return executionUnknown
	}
}

// fieldProblem converts a FieldError to a problem document.
func fieldProblem(requestID string, fault *FieldError) Problem {
	problem := Problem{
		Title: "The request is not valid", Status: http.StatusBadRequest, Detail: fault.Detail,
		Field: fault.Field, Execution: executionNotRun, Reason: reasonInvalidRequest, RequestID: requestID,
	}
	if fault.Status != 0 {
		problem.Status = fault.Status
	}
	if fault.Reason != "" {
		problem.Reason = fault.Reason
	}
	problem.RetryAfterMilliseconds = float64(fault.RetryAfter.Milliseconds())
	return problem
}

// outcomeProblem converts the outcome of a rejected or failed request to a problem document.
func outcomeProblem(requestID string, outcome dispatch.Outcome) Problem {
	problem := Problem{
		Status:    httpStatus(outcome),
		Execution: ExecutionName(outcome.Execution),
		Reason:    string(outcome.Reason),
		RequestID: requestID,
	}
	switch outcome.Execution {
	case dispatch.ExecutionNotRun:
		problem.Title = "The request was refused and ran nowhere"
	case dispatch.ExecutionPartial:
		problem.Title = "Too little of the request ran for an answer"
		problem.Coverage = &outcome.Coverage
	default:
		problem.Title = "The request may have run, and no answer came"
	}
	problem.RetryAfterMilliseconds = float64(outcome.RetryAfter) / float64(time.Millisecond)
	return problem
}

func httpStatus(outcome dispatch.Outcome) int {
	switch outcome.Reason {
	case dispatch.ReasonUnknownClass:
		return http.StatusBadRequest
	case dispatch.ReasonQueueFull, dispatch.ReasonQueueWait, dispatch.ReasonOverload:
		return http.StatusTooManyRequests
	case dispatch.ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonHeldElsewhere, ReasonResultEvicted:
		return http.StatusConflict
	case dispatch.ReasonOutcomeUnknown, dispatch.ReasonServerError:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// writeProblem writes a problem document as the response, with a Retry-After header if the
// problem has a retry time.
func writeProblem(writer http.ResponseWriter, problem Problem) {
	if problem.Type == "" {
		problem.Type = problemTypePrefix + problem.Reason
	}
	document, err := json.Marshal(problem)
	if err != nil {
		http.Error(writer, "encoding failed", http.StatusInternalServerError)
		return
	}
	header := writer.Header()
	header.Set("Content-Type", ProblemMediaType)
	setWriteDeadline(writer)
	if problem.RetryAfterMilliseconds > 0 {
		header.Set("Retry-After", formatSeconds(problem.RetryAfterMilliseconds))
	}
	writer.WriteHeader(problem.Status)
	_, _ = writer.Write(document)
}

// setWriteDeadline bounds the time to write the response, so that a caller that does not read it
// cannot delay a graceful shutdown.
func setWriteDeadline(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// formatSeconds returns a time in seconds, rounded up because Retry-After has no fractions.
func formatSeconds(milliseconds float64) string {
	return strconv.Itoa(int(math.Ceil(milliseconds / float64(time.Second/time.Millisecond))))
}
