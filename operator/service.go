// Package operator implements the HTTP API for operators: plans, confirmations, the active
// configuration, its history, the state of the nodes and explanations of requests.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	restful "github.com/emicklei/go-restful/v3"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/policy"
)

// RootPath is the path prefix of the API.
const RootPath = "/v1/operator"

// ConfigurationManager plans and applies changes of the configuration. It is implemented by
// spread.Replicator.
type ConfigurationManager interface {
	// Plan computes the changes that an intent would make.
	Plan(ctx context.Context, intent policy.Intent) (policy.Plan, error)
	// Confirm applies a plan.
	Confirm(ctx context.Context, plan policy.Plan) (policy.Receipt, error)
	// Outcome reports whether a plan, made for a base revision, was applied.
	Outcome(ctx context.Context, planID string, base policy.Revision) (policy.Receipt, error)
	// Current returns the active configuration of this node. It returns false if there is none.
	Current() (policy.Revision, policy.Config, bool)
	// History returns the latest changes, oldest first.
	History() []policy.HistoryEntry
}

// Nodes provides the state of the nodes.
type Nodes interface {
	// Nodes returns all nodes in the membership view, including this one. Because gossip of
	// revisions lags, it first queries the nodes that are not known to have the given revision,
	// within limits.
	Nodes(ctx context.Context, revision policy.Revision) []Node
}

// ExplanationFinder looks up explanations of finished requests.
type ExplanationFinder interface {
	// FindExplanation returns the explanation as a JSON document. Found is false if this node has
	// no explanation of the request or no longer keeps it.
	FindExplanation(requestID string) (document json.RawMessage, found bool)
}

// Node is the state of one node.
type Node struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is live, suspect, leaving or gone.
	State string `json:"state"`
	// Revision is the last known revision of the node's active configuration.
	Revision policy.Revision `json:"revision"`
}

// StateLive is the state of nodes that are counted in Status.
const StateLive = "live"

// Options configures a Service. Nodes and Explanations may be nil.
type Options struct {
	// Self is the ID of this node.
	Self           string
	Configurations ConfigurationManager
	Nodes          Nodes
	Explanations   ExplanationFinder
	Logger         zerolog.Logger
}

// Service implements the API. It has no state besides that of the components in Options.
type Service struct{ options Options }

// NewService returns a service with the given options.
func NewService(options Options) *Service { return &Service{options: options} }

// WebService returns the API's routes, to be added to a container.
func (s *Service) WebService() *restful.WebService {
	service := new(restful.WebService)
	service.Path(RootPath).Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Route(service.POST("/plans").To(s.handlePlan))
	service.Route(service.GET("/plans/{plan}").To(s.handleOutcome))
	service.Route(service.POST("/confirmations").To(s.handleConfirm))
	service.Route(service.GET("/configuration").To(s.handleConfiguration))
	service.Route(service.GET("/history").To(s.handleHistory))
	service.Route(service.GET("/status").To(s.handleStatus))
	service.Route(service.GET("/explanations/{request}").To(s.handleExplanation))
	return service
}

// Handler returns an HTTP handler that serves only the API.
func (s *Service) Handler() http.Handler {
	container := restful.NewContainer()
	container.Add(s.WebService())
	return container
}

// Configuration is the response body of GET /configuration.
type Configuration struct {
	Revision policy.Revision `json:"revision"`
	Config   policy.Config   `json:"config"`
}

// History is the response body of GET /history.
type History struct {
	Revision policy.Revision       `json:"revision"`
	Entries  []policy.HistoryEntry `json:"entries"`
}

// Status is the response body of GET /status. It shows on which nodes the newest revision is
// active.
type Status struct {
	// Node is the ID of the responding node.
	Node string `json:"node"`
	// Revision is the highest known revision that is active on a live node.
	Revision policy.Revision `json:"revision"`
	// Live is the number of live nodes, and InForce the number of those on which Revision is
	// active.
	Live    int `json:"live"`
	InForce int `json:"in_force"`
	// Behind lists the IDs of the live nodes with a lower revision.
	Behind []string `json:"behind"`
	// Nodes lists all known nodes, live or not.
	Nodes []Node `json:"nodes"`
}

func (s *Service) handlePlan(request *restful.Request, response *restful.Response) {
	data, ok := s.readBody(request, response, policy.MaximumIntentBytes)
	if !ok {
		return
	}
	intent, err := policy.DecodeIntent(data)
	if err != nil {
		s.writeError(response, err)
		return
	}
	plan, err := s.options.Configurations.Plan(request.Request.Context(), intent)
	if err != nil {
		s.writeError(response, err)
		return
	}
	s.writeJSON(response, plan)
}

func (s *Service) handleConfirm(request *restful.Request, response *restful.Response) {
	data, ok := s.readBody(request, response, policy.MaximumPlanBytes)
	if !ok {
		return
	}
	plan, err := policy.DecodePlan(data)
	if err != nil {
		s.writeError(response, err)
		return
	}
	receipt, err := s.options.Configurations.Confirm(request.Request.Context(), plan)
	if err != nil {
		s.writeConfirmError(response, receipt, plan, err)
		return
	}
	s.writeJSON(response, receipt)
}

func (s *Service) handleOutcome(request *restful.Request, response *restful.Response) {
	base, err := strconv.ParseUint(request.QueryParameter("base"), 10, 64)
	if err != nil {
		s.writeError(response, &policy.ValidationError{Faults: []policy.Fault{{Field: "base", Problem: "must be the plan's base revision"}}})
		return
	}
	receipt, err := s.options.Configurations.Outcome(request.Request.Context(), request.PathParameter("plan"), policy.Revision(base))
	if err != nil {
		s.writeError(response, err)
		return
	}
	s.writeJSON(response, receipt)
}

func (s *Service) handleConfiguration(_ *restful.Request, response *restful.Response) {
	revision, config, ok := s.options.Configurations.Current()
	if !ok {
		s.writeProblem(response, noConfigurationProblem())
		return
	}
	s.writeJSON(response, Configuration{Revision: revision, Config: config})
}

func (s *Service) handleHistory(_ *restful.Request, response *restful.Response) {
	revision, _, _ := s.options.Configurations.Current()
	s.writeJSON(response, History{Revision: revision, Entries: s.options.Configurations.History()})
}

func (s *Service) handleStatus(request *restful.Request, response *restful.Response) {
	revision, _, _ := s.options.Configurations.Current()
	status := Status{Node: s.options.Self, Revision: revision, Behind: []string{}, Nodes: []Node{}}
	if s.options.Nodes != nil {
		status.Nodes = append(status.Nodes, s.options.Nodes.Nodes(request.Request.Context(), revision)...)
	}
	status.setNodeRevision(s.options.Self, revision)
	status.updateTotals()
	s.writeJSON(response, status)
}

// setNodeRevision sets a node's revision, because the membership view of it lags.
func (s *Status) setNodeRevision(id string, revision policy.Revision) {
	for index := range s.Nodes {
		if s.Nodes[index].ID == id {
			s.Nodes[index].Revision = revision
		}
	}
}

// updateTotals computes Revision, Live, InForce and Behind from Nodes.
func (s *Status) updateTotals() {
	for _, node := range s.Nodes {
		if node.State == StateLive {
			s.Revision = max(s.Revision, node.Revision)
		}
	}
	for _, node := range s.Nodes {
		if node.State != StateLive {
			continue
		}
		s.Live++
		if node.Revision == s.Revision {
			s.InForce++
		} else {
			s.Behind = append(s.Behind, node.ID)
		}
	}
}

func (s *Service) handleExplanation(request *restful.Request, response *restful.Response) {
	id := request.PathParameter("request")
	if s.options.Explanations != nil {
		if document, found := s.options.Explanations.FindExplanation(id); found {
			s.writeJSON(response, document)
			return
		}
	}
	s.writeProblem(response, Problem{
		Type:   problemType("not_found"),
		Title:  "The request is not known here",
		Status: http.StatusNotFound,
		Detail: "this node keeps explanations of its own latest requests only",
		Field:  "request",
	})
}

// readBody reads a request's body of at most limit bytes. If that fails, it writes the error
// response and returns false.
func (s *Service) readBody(request *restful.Request, response *restful.Response, limit int64) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(response.ResponseWriter, request.Request.Body, limit))
	if err == nil {
		return data, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		s.writeError(response, policy.ErrTooLarge)
		return nil, false
	}
	s.writeError(response, policy.ErrMalformed)
	return nil, false
}

func (s *Service) writeJSON(response *restful.Response, value any) {
	s.writeDocument(response, http.StatusOK, restful.MIME_JSON, value)
}

func (s *Service) writeDocument(response *restful.Response, status int, contentType string, value any) {
	response.Header().Set(restful.HEADER_ContentType, contentType)
	response.WriteHeader(status)
	encoder := json.NewEncoder(response)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		s.options.Logger.Debug().Err(err).Msg("failed to write operator API response")
	}
}
