package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/spread"
	"github.com/banksail/banksail/store"
)

type fixedNodes []Node

func (n fixedNodes) Nodes(context.Context, policy.Revision) []Node { return append([]Node{}, n...) }

type fixedExplanations map[string]string

func (e fixedExplanations) FindExplanation(id string) (json.RawMessage, bool) {
	document, found := e[id]
	return json.RawMessage(document), found
}

// harness is a node's operator API on a replicator and an in-memory store.
type harness struct {
	store      *store.Memory
	replicator *spread.Replicator
	server     *httptest.Server
	client     *Client
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWithTimeout(t, spread.DefaultConfirmTimeout)
}

// newHarnessWithTimeout returns a harness with the given timeout of confirmations.
func newHarnessWithTimeout(t *testing.T, confirmTimeout time.Duration) *harness {
	t.Helper()
	h := &harness{store: store.NewMemory(store.MemoryOptions{})}
	h.replicator = spread.NewReplicator(spread.ReplicatorOptions{
		Core:           spread.CoreOptions{Self: "node-a"},
		Store:          h.store,
		Logger:         zerolog.Nop(),
		ConfirmTimeout: confirmTimeout,
	})
	service := NewService(Options{
		Self:           "node-a",
		Configurations: h.replicator,
		Nodes: fixedNodes{
			{ID: "node-a", Zone: "z1", State: StateLive},
			{ID: "node-b", Zone: "z2", State: StateLive, Revision: 1},
			{ID: "node-c", Zone: "z2", State: StateLive},
			{ID: "node-d", Zone: "z2", State: "leaving"},
		},
		Explanations: fixedExplanations{"r1": `{"request_id":"r1"}`},
		Logger:       zerolog.Nop(),
	})
	h.server = httptest.NewServer(service.Handler())
	t.Cleanup(h.server.Close)
	h.client = NewClient(strings.TrimPrefix(h.server.URL, "http://"), DefaultClientTimeout)
	return h
}

func classIntent(deadline policy.Milliseconds) policy.Intent {
	class := policy.Class{Name: "urgent", Deadline: deadline, MinimumCoverage: 0.5}
	return policy.Intent{Author: "ann", Changes: []policy.Change{{SetClass: &class}}}
}

func (h *harness) mustPlan(t *testing.T, deadline policy.Milliseconds) policy.Plan {
	t.Helper()
	plan, err := h.client.Plan(t.Context(), classIntent(deadline))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func requireProblem(t *testing.T, err error, kind string, status int) Problem {
	t.Helper()
	var problemErr *ProblemError
	if !errors.As(err, &problemErr) {
		t.Fatalf("got %v", err)
	}
	if problemErr.Problem.Type != problemType(kind) || problemErr.Problem.Status != status {
		t.Fatalf("got %+v", problemErr.Problem)
	}
	return problemErr.Problem
}

func TestPlanConfirmAndReadConfiguration(t *testing.T) {
	h := newHarness(t)
	ctx := t.Context()
	_, err := h.client.Configuration(ctx)
	requireProblem(t, err, TypeNoConfiguration, http.StatusNotFound)

	plan := h.mustPlan(t, 100)
	receipt, err := h.client.Confirm(ctx, plan)
	if err != nil || receipt.Outcome != policy.OutcomeApplied || receipt.Revision != 1 {
		t.Fatalf("got %+v, %v", receipt, err)
	}
	receipt, err = h.client.Confirm(ctx, plan)
	if err != nil || !receipt.AlreadyApplied || receipt.Revision != 1 {
		t.Fatalf("confirmed again: %+v, %v", receipt, err)
	}
	configuration, err := h.client.Configuration(ctx)
	if err != nil || configuration.Revision != 1 || len(configuration.Config.Classes) != 1 {
		t.Fatalf("got %+v, %v", configuration, err)
	}
	history, err := h.client.History(ctx)
	if err != nil || len(history.Entries) != 1 || history.Entries[0].Author != "ann" {
		t.Fatalf("got %+v, %v", history, err)
	}
	outcome, err := h.client.Outcome(ctx, plan.ID, plan.BaseRevision)
	if err != nil || outcome.Outcome != policy.OutcomeApplied {
		t.Fatalf("got %+v, %v", outcome, err)
	}
	outcome, err = h.client.Outcome(ctx, "another", 0)
	if err != nil || outcome.Outcome != policy.OutcomeNotApplied {
		t.Fatalf("got %+v, %v", outcome, err)
	}
}

func TestStatusListsNodesBehind(t *testing.T) {
	h := newHarness(t)
	if _, err := h.client.Confirm(t.Context(), h.mustPlan(t, 100)); err != nil {
		t.Fatal(err)
	}
	status, err := h.client.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if status.Revision != 1 || status.Live != 3 || status.InForce != 2 || strings.Join(status.Behind, ",") != "node-c" {
		t.Fatalf("got %+v", status)
	}
}

func TestConflictListsInterveningChanges(t *testing.T) {
	h := newHarness(t)
	first, second := h.mustPlan(t, 100), h.mustPlan(t, 200)
	if _, err := h.client.Confirm(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	_, err := h.client.Confirm(t.Context(), second)
	problem := requireProblem(t, err, TypeConflict, http.StatusConflict)
	if problem.Conflict == nil || len(problem.Conflict.Between) != 1 || problem.Conflict.Between[0].PlanID != first.ID {
		t.Fatalf("got %+v", problem)
	}
	if problem.Receipt == nil || problem.Receipt.Outcome != policy.OutcomeNotApplied {
		t.Fatalf("got %+v", problem.Receipt)
	}
}

func TestStoreOutageIsReportedAsProblem(t *testing.T) {
	h := newHarnessWithTimeout(t, time.Millisecond)
	plan := h.mustPlan(t, 100)
	h.store.SetFaults(store.MemoryFaults{Down: true})
	_, err := h.client.Confirm(t.Context(), plan)
	requireProblem(t, err, TypeStoreUnavailable, http.StatusServiceUnavailable)
	_, err = h.client.Plan(t.Context(), classIntent(50))
	requireProblem(t, err, TypeStoreUnavailable, http.StatusServiceUnavailable)
}

// unknownConfigurations returns an unknown outcome for every confirmation.
type unknownConfigurations struct{ ConfigurationManager }

func (unknownConfigurations) Confirm(_ context.Context, plan policy.Plan) (policy.Receipt, error) {
	return policy.Receipt{PlanID: plan.ID, Outcome: policy.OutcomeUnknown}, spread.ErrOutcomeUnknown
}

func TestUnknownOutcomeNamesOutcomeCommand(t *testing.T) {
	h := newHarness(t)
	plan := h.mustPlan(t, 100)
	server := httptest.NewServer(NewService(Options{Configurations: unknownConfigurations{}, Logger: zerolog.Nop()}).Handler())
	defer server.Close()
	_, err := NewClient(strings.TrimPrefix(server.URL, "http://"), DefaultClientTimeout).Confirm(t.Context(), plan)
	problem := requireProblem(t, err, TypeOutcomeUnknown, http.StatusGatewayTimeout)
	if problem.OutcomeCommand != "banksailctl status --plan "+plan.ID+" --base 0" {
		t.Fatalf("got %q", problem.OutcomeCommand)
	}
}

func TestInvalidRequestsNameField(t *testing.T) {
	class := `{"name":"a","order":0,"longest_wait_ms":0,"deadline_ms":1,"minimum_coverage":0,"hedge_share":0,"headroom":0}`
	cases := map[string]struct {
		method, path, body string
		status             int
		field              string
	}{
		"unknown field":       {"POST", "/plans", `{"author":"a","changes":[{"set_klass":1}]}`, 400, "changes[0].set_klass"},
		"missing field":       {"POST", "/plans", `{"author":"a","changes":[{"set_class":{"name":"a"}}]}`, 400, "changes[0].set_class.order"},
		"wrong type":          {"POST", "/plans", `{"author":1,"changes":[]}`, 400, "author"},
		"out of range":        {"POST", "/plans", strings.Replace(`{"author":"a","changes":[{"set_class":`+class+`}]}`, `"headroom":0`, `"headroom":2`, 1), 400, "changes[0].set_class.headroom"},
		"no author":           {"POST", "/plans", `{"changes":[{"set_class":` + class + `}]}`, 400, "author"},
		"no JSON":             {"POST", "/plans", `hello`, 400, ""},
		"too large":           {"POST", "/plans", `"` + strings.Repeat("a", policy.MaximumIntentBytes) + `"`, 413, ""},
		"plan without digest": {"POST", "/confirmations", `{}`, 400, "format"},
		"no base":             {"GET", "/plans/p", ``, 400, "base"},
		"base no number":      {"GET", "/plans/p?base=x", ``, 400, "base"},
		"unknown request":     {"GET", "/explanations/r2", ``, 404, "request"},
	}
	h := newHarness(t)
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), test.method, h.server.URL+RootPath+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			data, _ := io.ReadAll(response.Body)
			var problem Problem
			if err := json.Unmarshal(data, &problem); err != nil {
				t.Fatalf("%s: %v", data, err)
			}
			if response.StatusCode != test.status || problem.Field != test.field || response.Header.Get("Content-Type") != ProblemContentType {
				t.Fatalf("status %d, %s: %s", response.StatusCode, response.Header.Get("Content-Type"), data)
			}
		})
	}
}

func TestExplanation(t *testing.T) {
	h := newHarness(t)
	document, err := h.client.Explanation(t.Context(), "r1")
	if err != nil || !strings.Contains(string(document), `"r1"`) {
		t.Fatalf("got %s, %v", document, err)
	}
}

func TestClientDistinguishesUnreachableFromNoAnswer(t *testing.T) {
	h := newHarness(t)
	plan := h.mustPlan(t, 100)
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	if _, err := NewClient(strings.TrimPrefix(aborting.URL, "http://"), DefaultClientTimeout).Confirm(t.Context(), plan); !errors.Is(err, ErrNoAnswer) {
		t.Fatalf("got %v", err)
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	if _, err := NewClient(strings.TrimPrefix(closed.URL, "http://"), DefaultClientTimeout).Confirm(t.Context(), plan); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got %v", err)
	}
}
