package operator

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/spread"
)

// ProblemContentType is the media type of problem documents (RFC 9457).
const ProblemContentType = "application/problem+json"

// retryAfterSeconds is the Retry-After time of responses with HTTP status 503 or 504, which are
// sent when the store is unavailable or an outcome is unknown.
const retryAfterSeconds = 2

// Problem is a problem document (RFC 9457), the body of error responses.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Field is the name of the first invalid field.
	Field string `json:"field,omitempty"`
	// Faults lists all invalid fields.
	Faults []policy.Fault `json:"faults,omitempty"`
	// Receipt is the receipt of the plan that was to be confirmed.
	Receipt *policy.Receipt `json:"receipt,omitempty"`
	// Conflict describes the changes since the plan was made.
	Conflict *Conflict `json:"conflict,omitempty"`
	// OutcomeCommand is the command line that looks up the plan's outcome.
	OutcomeCommand string `json:"ask_again,omitempty"`
}

// Conflict describes the changes of the configuration since a plan was made.
type Conflict struct {
	Base      policy.Revision       `json:"base_revision"`
	Current   policy.Revision       `json:"current_revision"`
	Between   []policy.HistoryEntry `json:"between"`
	Truncated bool                  `json:"truncated,omitempty"`
}

// Types of problems. Each is the last part of Problem.Type.
const (
	TypeInvalid          = "invalid"
	TypeMalformed        = "malformed"
	TypeTooLarge         = "too_large"
	TypePlanAltered      = "plan_altered"
	TypeConflict         = "conflict"
	TypeOutcomeUnknown   = "outcome_unknown"
	TypeStoreUnavailable = "store_unavailable"
	TypeNoConfiguration  = "no_configuration"
	TypeInternal         = "internal"
)

func problemType(name string) string { return "urn:banksail:problem:" + name }

// problemFor converts an error of packages policy or spread to a problem document.
func problemFor(err error) Problem {
	problem := Problem{Detail: err.Error()}
	var invalid *policy.ValidationError
	var conflict *policy.ConflictError
	switch {
	case errors.As(err, &conflict):
		problem.setType(TypeConflict, "The configuration changed since the plan was made", http.StatusConflict)
		problem.Conflict = &Conflict{Base: conflict.Base, Current: conflict.Current, Between: conflict.Between, Truncated: conflict.Truncated}
	case errors.As(err, &invalid):
		problem.setType(TypeInvalid, "A field is not valid", http.StatusBadRequest)
		problem.Field = invalid.Faults[0].Field
		problem.Faults = invalid.Faults
	case errors.Is(err, policy.ErrTooLarge):
		problem.setType(TypeTooLarge, "The document is too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, policy.ErrPlanAltered):
		problem.setType(TypePlanAltered, "The plan was altered", http.StatusBadRequest)
		problem.Field = "digest"
	case errors.Is(err, policy.ErrMalformed), errors.Is(err, policy.ErrUnsupportedFormat):
		problem.setType(TypeMalformed, "The document can't be read", http.StatusBadRequest)
	case errors.Is(err, spread.ErrOutcomeUnknown):
		problem.setType(TypeOutcomeUnknown, "The plan may be in effect", http.StatusGatewayTimeout)
	case errors.Is(err, spread.ErrStoreUnavailable), errors.Is(err, spread.ErrStoreBehind):
		problem.setType(TypeStoreUnavailable, "The store can't be used now; nothing changed", http.StatusServiceUnavailable)
	default:
		problem.setType(TypeInternal, "The request failed; nothing changed", http.StatusInternalServerError)
	}
	return problem
}

func (p *Problem) setType(kind, title string, status int) {
	p.Type = problemType(kind)
	p.Title = title
	p.Status = status
}

func noConfigurationProblem() Problem {
	problem := Problem{Detail: "this node knows no configuration yet"}
	problem.setType(TypeNoConfiguration, "No configuration", http.StatusNotFound)
	return problem
}

func (s *Service) writeError(response *restful.Response, err error) {
	s.writeProblem(response, problemFor(err))
}

// OutcomeCommandFor returns the command line that looks up whether a plan was applied.
func OutcomeCommandFor(plan policy.Plan) string {
	return fmt.Sprintf("banksailctl status --plan %s --base %d", plan.ID, plan.BaseRevision)
}

// writeConfirmError responds to a confirmation that was not applied or whose outcome is unknown.
func (s *Service) writeConfirmError(response *restful.Response, receipt policy.Receipt, plan policy.Plan, err error) {
	problem := problemFor(err)
	problem.Receipt = &receipt
	if errors.Is(err, spread.ErrOutcomeUnknown) {
		problem.OutcomeCommand = OutcomeCommandFor(plan)
	}
	s.writeProblem(response, problem)
}

func (s *Service) writeProblem(response *restful.Response, problem Problem) {
	if problem.Status == http.StatusServiceUnavailable || problem.Status == http.StatusGatewayTimeout {
		response.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	s.writeDocument(response, problem.Status, ProblemContentType, problem)
}
