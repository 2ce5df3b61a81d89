package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/telemetry"
)

// scriptedOwner ends every forward with the same outcome and counts the
// forwards.
type scriptedOwner struct {
	outcome peer.ForwardOutcome
	calls   atomic.Int32
}

func (s *scriptedOwner) ForwardQuery(_ context.Context, _ string, request *backend.Request) peer.ForwardResult {
	s.calls.Add(1)
	if s.outcome != peer.ForwardReplied {
		return peer.ForwardResult{Outcome: s.outcome}
	}
	return peer.ForwardResult{Outcome: peer.ForwardReplied, Reply: &backend.Reply{
		AttemptID: request.AttemptID, Status: backend.StatusDone,
		Snapshot: &request.Snapshot, Range: &request.Range, Body: request.Body,
	}}
}

func (*scriptedOwner) ServerHealth(string) (*backend.Health, bool) { return nil, false }

func forwardedRequest() *backend.Request {
	return &backend.Request{
		AttemptID: "attempt-1", RequestID: "request-1", Service: "catalog", Class: "normal", Snapshot: 1,
		Range: coverage.Range{End: 10}, RemainingMilliseconds: 5000, Body: json.RawMessage(`"orders"`),
	}
}

// noDirectClient fails the test if a server is queried directly.
type noDirectClient struct {
	backendClient
	t testing.TB
}

func (n noDirectClient) Query(context.Context, string, *backend.Request) (*backend.Reply, error) {
	n.t.Error("a server was queried directly")
	return nil, backend.ErrNotDelivered
}

func TestNextOwnerIsTriedOnlyAfterNonDelivery(t *testing.T) {
	type outcomes []peer.ForwardOutcome
	tests := []struct {
		name   string
		owners outcomes
		want   error
		calls  []int32
	}{
		{"crossed views", outcomes{peer.ForwardNotOwner, peer.ForwardReplied}, nil, []int32{1, 1}},
		{"leaving and busy", outcomes{peer.ForwardLeaving, peer.ForwardBusy, peer.ForwardReplied}, nil, []int32{1, 1, 1}},
		{"server not reached", outcomes{peer.ForwardNotDelivered, peer.ForwardReplied}, nil, []int32{1, 1}},
		{"owner not reached", outcomes{peer.ForwardNotSent, peer.ForwardReplied}, nil, []int32{0, 1}},
		{"outcome unknown", outcomes{peer.ForwardUnknown, peer.ForwardReplied}, backend.ErrOutcomeUnknown, []int32{1, 0}},
		{"reply malformed", outcomes{peer.ForwardMalformed, peer.ForwardReplied}, backend.ErrMalformed, []int32{1, 0}},
		{"all busy", outcomes{peer.ForwardBusy, peer.ForwardBusy}, errOwnersBusy, []int32{1, 1}},
		{"none owns", outcomes{peer.ForwardNotOwner}, errNoOwner, []int32{1}},
		{"no owner known", nil, errNoOwner, nil},
		{"bounded", outcomes{peer.ForwardBusy, peer.ForwardBusy, peer.ForwardBusy, peer.ForwardReplied}, errOwnersBusy, []int32{1, 1, 1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			owners, scripted := startScriptedOwners(t, test.owners)
			router := newTestRouter(t, owners)
			reply, err := router.Query(t.Context(), "10.0.0.9:9000", forwardedRequest())
			if !errors.Is(err, test.want) || (err == nil) != (reply != nil) {
				t.Errorf("got %+v, %v, want %v", reply, err, test.want)
			}
			for index, owner := range scripted {
				if got := owner.calls.Load(); got != test.calls[index] {
					t.Errorf("owner %d got %d forwards, want %d", index, got, test.calls[index])
				}
			}
		})
	}
}

// startScriptedOwners starts one owner per outcome; an owner with the outcome
// ForwardNotSent is unreachable.
func startScriptedOwners(t *testing.T, outcomes []peer.ForwardOutcome) ([]membership.Member, []*scriptedOwner) {
	t.Helper()
	var members []membership.Member
	var scripted []*scriptedOwner
	for _, outcome := range outcomes {
		owner := &scriptedOwner{outcome: outcome}
		agent := peer.NewAgent(peer.AgentOptions{Self: membership.Member{ID: "owner"}, ForwardTarget: owner, Seed: 1})
		server := httptest.NewServer(agent.Handler())
		t.Cleanup(server.Close)
		if outcome == peer.ForwardNotSent {
			server.Close()
		}
		members = append(members, membership.Member{ID: "owner", Address: server.Listener.Addr().String()})
		scripted = append(scripted, owner)
	}
	return members, scripted
}

func newTestRouter(t testing.TB, owners []membership.Member) *router {
	t.Helper()
	forwarder := peer.NewForwarder((&net.Dialer{}).DialContext)
	t.Cleanup(forwarder.CloseIdleConnections)
	return &router{
		direct:       noDirectClient{t: t},
		route:        func(string) route { return route{spec: membership.ServerSpec{ID: "server-1"}} },
		owners:       func(membership.ServerSpec) []membership.Member { return owners },
		forwarder:    forwarder,
		counters:     newForwardCounters(telemetry.NewMetrics().Forwards),
		recentHealth: newHealthCache(0),
		log:          zerolog.Nop(),
	}
}

// blockingClient blocks every query until its context ends.
type blockingClient struct {
	backendClient
	started chan struct{}
}

func (w blockingClient) Query(ctx context.Context, _ string, _ *backend.Request) (*backend.Reply, error) {
	w.started <- struct{}{}
	<-ctx.Done()
	return nil, backend.ErrOutcomeUnknown
}

func newTestForwardServer(direct backendClient, connections int, background context.Context) *forwardServer {
	return &forwardServer{
		direct:       direct,
		lookUpServer: func(string) (string, int) { return "10.0.0.9:9000", connections },
		background:   background,
		counters:     newForwardCounters(telemetry.NewMetrics().ForwardsServed),
		recentHealth: newHealthCache(0),
		inFlight:     make(map[string]int),
	}
}

func TestNodeWithoutConnectionsRejectsForwards(t *testing.T) {
	server := newTestForwardServer(noDirectClient{t: t}, 0, t.Context())
	if got := server.ForwardQuery(t.Context(), "server-1", forwardedRequest()); got.Outcome != peer.ForwardNotOwner {
		t.Errorf("outcome %v", got.Outcome)
	}
}

func TestOwnerLimitsForwardsAndFinishesThemOnStop(t *testing.T) {
	const connections = 2
	direct := blockingClient{started: make(chan struct{})}
	server := newTestForwardServer(direct, connections, t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan peer.ForwardOutcome)
	for range connections * maxForwardsPerConnection {
		go func() { results <- server.ForwardQuery(ctx, "server-1", forwardedRequest()).Outcome }()
		<-direct.started
	}
	if got := server.ForwardQuery(ctx, "server-1", forwardedRequest()); got.Outcome != peer.ForwardBusy {
		t.Errorf("above the forward limit: outcome %v, want busy", got.Outcome)
	}
	server.close()
	if got := server.ForwardQuery(ctx, "server-2", forwardedRequest()); got.Outcome != peer.ForwardLeaving {
		t.Errorf("while stopping: outcome %v, want leaving", got.Outcome)
	}
	done := make(chan struct{})
	go func() {
		server.wait()
		close(done)
	}()
	select {
	case <-done:
		t.Error("wait returned before the forwards ended")
	default:
	}
	cancel()
	for range connections * maxForwardsPerConnection {
		if got := <-results; got != peer.ForwardUnknown {
			t.Errorf("cancelled forward: outcome %v, want unknown", got)
		}
	}
	<-done
}

// queuedClient has no free connection before the context ends.
type queuedClient struct{ backendClient }

func (queuedClient) Query(ctx context.Context, _ string, _ *backend.Request) (*backend.Reply, error) {
	<-ctx.Done()
	return nil, backend.ErrNotDelivered
}

func TestOwnerQueueTimeoutIsNotServerFailure(t *testing.T) {
	server := newTestForwardServer(queuedClient{}, 1, t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := server.ForwardQuery(ctx, "server-1", forwardedRequest()); got.Outcome != peer.ForwardBusy {
		t.Errorf("outcome %v", got.Outcome)
	}
}

func TestShareLostDuringQueryClosesConnections(t *testing.T) {
	router := newTestRouter(t, nil)
	routes := []route{{connections: 1}, {}}
	router.direct = instantClient{}
	router.route = func(string) route {
		serverRoute := routes[0]
		routes = routes[1:]
		return serverRoute
	}
	closedAddress := ""
	router.closeConnections = func(address string) { closedAddress = address }
	if _, err := router.Query(t.Context(), "10.0.0.9:9000", forwardedRequest()); err != nil || closedAddress != "10.0.0.9:9000" {
		t.Errorf("closed connections to %q, error %v", closedAddress, err)
	}
}

// instantClient replies immediately.
type instantClient struct{ backendClient }

func (instantClient) Query(context.Context, string, *backend.Request) (*backend.Reply, error) {
	return &backend.Reply{}, nil
}

func TestAbortCancelsForwards(t *testing.T) {
	direct := blockingClient{started: make(chan struct{}, 1)}
	background, abort := context.WithCancel(t.Context())
	server := newTestForwardServer(direct, 1, background)
	result := make(chan peer.ForwardOutcome)
	go func() { result <- server.ForwardQuery(t.Context(), "server-1", forwardedRequest()).Outcome }()
	<-direct.started
	abort()
	if got := <-result; got != peer.ForwardUnknown {
		t.Errorf("outcome %v", got)
	}
}
