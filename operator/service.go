// Package operator is the HTTP API towards operators: plans, confirmations,
// the configuration in force, its history, and the state of the nodes.
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

// RootPath is the path under which the API stands.
const RootPath = "/v1/operator"

// ConfigurationManager plans and confirms; spread.Replicator implements it.
type ConfigurationManager interface {
	// Plan works out what an intent would change.
	Plan(ctx context.Context, intent policy.Intent) (policy.Plan, error)
	// Confirm puts a plan into effect.
	Confirm(ctx context.Context, plan policy.Plan) (policy.Receipt, error)
	// Outcome looks up whether a plan made for a base revision is in effect.
	Outcome(ctx context.Context, planID string, base policy.Revision) (policy.Receipt, error)
	// Current is the configuration in force at this node.
	Current() (policy.Revision, policy.Config, bool)
	// History lists the latest changes, oldest first.
	History() []policy.HistoryEntry
}

// Nodes tells the state of the nodes.
type Nodes interface {
	// Nodes lists all nodes that membership knows, this one among them. Those
	// that are not known to have the revision in force are asked first, within
	// bounds, as gossip of revisions lags.
	Nodes(ctx context.Context, revision policy.Revision) []Node
}

// ExplanationFinder looks up why a request was answered as it was.
type ExplanationFinder interface {
	// FindExplanation returns a JSON document; found is false when this node does
	// not know the request, or no longer.
	FindExplanation(requestID string) (document json.RawMessage, found bool)
}

// Node is one node's state.
type Node struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is live, suspect, leaving or gone.
	State string `json:"state"`
	// Revision is the configuration in force at the node, as last heard.
	Revision policy.Revision `json:"revision"`
}

// StateLive is the state of nodes that count in Status.
const StateLive = "live"

// Options sets up the service. Nodes and Explanations may be nil.
type Options struct {
	// Self is the ID of the node that answers.
	Self           string
	Configurations ConfigurationManager
	Nodes          Nodes
	Explanations   ExplanationFinder
	Logger         zerolog.Logger
}

// Service is the API; its state is in the parts that Options names.
type Service struct{ options Options }

// NewService makes the API.
func NewService(options Options) *Service { return &Service{options: options} }

// WebService returns the routes for a container.
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

// Handler serves the API alone.
func (s *Service) Handler() http.Handler {
	container := restful.NewContainer()
	container.Add(s.WebService())
	return container
}

// Configuration is the answer to a GET of the configuration.
type Configuration struct {
	Revision policy.Revision `json:"revision"`
	Config   policy.Config   `json:"config"`
}

// History is the answer to a GET of the history.
type History struct {
	Revision policy.Revision       `json:"revision"`
	Entries  []policy.HistoryEntry `json:"entries"`
}

// Status tells where the newest revision is in force.
type Status struct {
	// Node is the node that answers.
	Node string `json:"node"`
	// Revision is the highest revision in force at any live node, as far as known.
	Revision policy.Revision `json:"revision"`
	// Live counts the live nodes; InForce counts those at Revision.
	Live    int `json:"live"`
	InForce int `json:"in_force"`
	// Behind lists the IDs of the live nodes below Revision.
	Behind []string `json:"behind"`
	// Nodes lists all known nodes.
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

// setNodeRevision corrects a node's revision, of which membership learns with a delay.
func (s *Status) setNodeRevision(id string, revision policy.Revision) {
	for index := range s.Nodes {
		if s.Nodes[index].ID == id {
			s.Nodes[index].Revision = revision
		}
	}
}

// updateTotals works out the totals from Nodes.
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

// readBody reads a request's body; it answers itself when the body is too large.
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
		s.options.Logger.Debug().Err(err).Msg("operator's answer was cut")
	}
}
