package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"github.com/emicklei/go-restful/v3"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/telemetry"
)

// Node executes the requests of the API.
type Node interface {
	// Query executes a request and returns its final result. It is cancelled with ctx. An error
	// is a *FieldError and means that nothing was sent to servers.
	Query(ctx context.Context, request Request) (Result, error)
	// FindExplanation returns the explanation of a finished request, if it is still kept.
	FindExplanation(requestID string) (telemetry.Explanation, bool)
	// IsStopping reports whether the node is shutting down, so that connections should be closed.
	IsStopping() bool
}

// Options configures the API.
type Options struct {
	Node Node
	// BodyBytes is the maximum size of a request's document in bytes.
	BodyBytes int64
}

type apiHandler struct{ options Options }

// NewHandler returns the HTTP handler of the API.
func NewHandler(options Options) http.Handler {
	api := &apiHandler{options: options}
	web := new(restful.WebService)
	web.Path("/")
	web.Route(web.POST("/v1/services/{service}/queries").To(api.handleQuery))
	web.Route(web.GET("/v1/requests/{id}/explanation").To(api.handleExplanation))
	container := restful.NewContainer()
	container.Add(web)
	container.ServiceErrorHandler(writeNotFound)
	return container
}

// writeNotFound responds to requests for unknown paths and unsupported methods.
func writeNotFound(fault restful.ServiceError, _ *restful.Request, response *restful.Response) {
	writeProblem(response.ResponseWriter, Problem{
		Title: "The API has no such path or method", Status: fault.Code,
		Execution: executionNotRun, Reason: reasonNotFound,
	})
}

func (s *apiHandler) handleQuery(request *restful.Request, response *restful.Response) {
	writer := response.ResponseWriter
	parsed, err := parseRequest(request.PathParameter("service"), request.Request.Body, s.options.BodyBytes)
	if err != nil {
		s.rejectRequest(writer, parsed.RequestID, err)
		return
	}
	result, err := s.options.Node.Query(request.Request.Context(), parsed)
	if err != nil {
		s.rejectRequest(writer, parsed.RequestID, err)
		return
	}
	s.closeConnectionIfStopping(writer)
	if result.Outcome.Execution != dispatch.ExecutionDone {
		writeProblem(writer, outcomeProblem(parsed.RequestID, result.Outcome))
		return
	}
	writeAnswer(writer, newAnswer(parsed, result))
}

func (s *apiHandler) rejectRequest(writer http.ResponseWriter, requestID string, err error) {
	s.closeConnectionIfStopping(writer)
	var fault *FieldError
	if !errors.As(err, &fault) {
		fault = &FieldError{Field: documentField, Detail: "the request can't be carried", Status: http.StatusInternalServerError}
	}
	writeProblem(writer, fieldProblem(requestID, fault))
}

// closeConnectionIfStopping makes the server close the connection after the response if the node
// is shutting down.
func (s *apiHandler) closeConnectionIfStopping(writer http.ResponseWriter) {
	if s.options.Node.IsStopping() {
		writer.Header().Set("Connection", "close")
	}
}

func newAnswer(request Request, result Result) Answer {
	outcome := result.Outcome
	answer := Answer{
		RequestID: request.RequestID,
		Snapshot:  uint64(outcome.Snapshot),
		Coverage:  outcome.Coverage,
		Complete:  outcome.Complete,
		Reason:    string(outcome.Reason),
		Missing:   missingRanges(result.KeySpace, outcome.Parts),
		Parts:     make([]Part, 0, len(outcome.Parts)),
		Warnings:  []string{},
	}
	for _, part := range outcome.Parts {
		body, _ := part.Body.(json.RawMessage)
		answer.Parts = append(answer.Parts, Part{Range: part.Range, Body: body})
	}
	if !outcome.Complete {
		answer.Warnings = append(answer.Warnings, "the answer is partial: see coverage and missing")
	}
	if result.Duplicate {
		answer.Warnings = append(answer.Warnings, "the answer is that of an earlier request with the same request_id")
	}
	return answer
}

// missingRanges returns the ranges of the key space that no part covers, in order. The parts must
// be disjoint.
func missingRanges(keySpace coverage.Range, parts []dispatch.Part) []coverage.Range {
	covered := make([]coverage.Range, 0, len(parts))
	for _, part := range parts {
		covered = append(covered, part.Range)
	}
	slices.SortFunc(covered, func(a, b coverage.Range) int {
		if a.Start < b.Start {
			return -1
		}
		return 1
	})
	gaps := []coverage.Range{}
	next := keySpace.Start
	for _, part := range covered {
		if part.Start > next {
			gaps = append(gaps, coverage.Range{Start: next, End: part.Start})
		}
		next = max(next, part.End)
	}
	if next < keySpace.End {
		gaps = append(gaps, coverage.Range{Start: next, End: keySpace.End})
	}
	return gaps
}

func writeAnswer(writer http.ResponseWriter, answer Answer) {
	document, err := answer.encode()
	if err != nil {
		http.Error(writer, "encoding failed", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	setWriteDeadline(writer)
	_, _ = writer.Write(document)
}

func (s *apiHandler) handleExplanation(request *restful.Request, response *restful.Response) {
	writer := response.ResponseWriter
	explanation, found := s.options.Node.FindExplanation(request.PathParameter("id"))
	if !found {
		writeProblem(writer, Problem{
			Title: "No explanation of this request is kept here", Status: http.StatusNotFound,
			Execution: executionUnknown, Reason: reasonNotFound,
		})
		return
	}
	document, err := json.Marshal(explanation)
	if err != nil {
		http.Error(writer, "encoding failed", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	setWriteDeadline(writer)
	_, _ = writer.Write(document)
}
