package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// ProblemMediaType is the media type of RFC 9457.
const ProblemMediaType = "application/problem+json"

// Reasons of outcomes that a node gives to not-repeatable requests by itself.
const (
	// ReasonHeldElsewhere means that another node has claimed the request ID,
	// and may have run the request.
	ReasonHeldElsewhere dispatch.Reason = "held_elsewhere"
	// ReasonResultEvicted means that the request ran to its end, but its
	// result is no longer kept.
	ReasonResultEvicted dispatch.Reason = "result_forgotten"
	// ReasonNoQuorum means that too few other nodes could record the claim of
	// the request ID.
	ReasonNoQuorum dispatch.Reason = "no_quorum"
)

// problemTypePrefix starts the type of every problem; the reason follows it.
const problemTypePrefix = "https://banksail.dev/problems/"

// writeTimeout bounds the writing of one response.
const writeTimeout = 30 * time.Second

// Names of executions in problem documents.
const (
	executionNotRun  = "not_run"
	executionUnknown = "unknown"
	executionPartial = "partial"
	executionDone    = "done"
)

// Reasons of problems that never reach a dispatcher.
const (
	reasonInvalidRequest = "invalid_request"
	reasonBodyTooLarge   = "body_too_large"
	reasonUnknownService = "unknown_service"
	reasonIDReused       = "request_id_reused"
	reasonNotFound       = "not_found"
)

// Problem is a refusal or failure, in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Field names the faulty field of the request.
	Field string `json:"field,omitempty"`
	// Execution is not_run, unknown or partial.
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMilliseconds is when to come back; the Retry-After header says
	// the same in whole seconds.
	RetryAfterMilliseconds float64 `json:"retry_after_ms,omitempty"`
	// Coverage is the coverage reached, when the execution is partial.
	Coverage *float64 `json:"coverage,omitempty"`
}

// FieldError says that a field of the request is at fault; nothing was sent.
type FieldError struct {
	// Field is the name in the JSON document, or service.
	Field string
	// Detail is one sentence for the caller.
	Detail string
	// Status is the HTTP status; zero stands for 400.
	Status int
	// Reason is a short name; empty stands for invalid_request.
	Reason string
}

// Error formats the fault.
func (e *FieldError) Error() string { return "caller: " + e.Field + ": " + e.Detail }

// NewUnknownServiceError says that the configuration in force has no such service.
func NewUnknownServiceError() *FieldError {
	return &FieldError{
		Field: "service", Detail: "the configuration has no such service",
		Status: http.StatusNotFound, Reason: reasonUnknownService,
	}
}

// NewUnknownClassError says that the configuration in force has no such class.
func NewUnknownClassError() *FieldError {
	return &FieldError{
		Field: "class", Detail: "the configuration has no such class",
		Reason: string(dispatch.ReasonUnknownClass),
	}
}

// NewReusedIDError says that a not-repeatable request has the ID of another one
// with other content.
func NewReusedIDError() *FieldError {
	return &FieldError{
		Field: "request_id", Detail: "another request with this ID and other content ran within the window",
		Status: http.StatusConflict, Reason: reasonIDReused,
	}
}

// ExecutionName is the name of an execution in documents and logs.
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

// fieldProblem turns a faulty field into a problem document.
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
	return problem
}

// outcomeProblem turns a refusal or failure into a problem document.
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

// writeProblem writes the document with its Retry-After header.
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

// setWriteDeadline cuts a caller that does not read its response in time: it must
// not hold up a planned stop.
func setWriteDeadline(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// formatSeconds rounds up, because Retry-After has no fractions.
func formatSeconds(milliseconds float64) string {
	return strconv.Itoa(int(math.Ceil(milliseconds / float64(time.Second/time.Millisecond))))
}
