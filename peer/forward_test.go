package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
)

// fakeTarget is a ForwardTarget whose forwards are handled by a function.
type fakeTarget struct {
	forward func(ctx context.Context, server string, request *backend.Request) ForwardResult
	health  *backend.Health
}

func (f fakeTarget) ForwardQuery(ctx context.Context, server string, request *backend.Request) ForwardResult {
	return f.forward(ctx, server, request)
}

func (f fakeTarget) ServerHealth(string) (*backend.Health, bool) { return f.health, f.health != nil }

// echoForward replies like a server that executes the request and returns its
// body.
func echoForward(_ context.Context, _ string, request *backend.Request) ForwardResult {
	return ForwardResult{Outcome: ForwardReplied, Reply: &backend.Reply{
		AttemptID: request.AttemptID, Status: backend.StatusDone, Snapshot: &request.Snapshot, Range: &request.Range,
		Body: request.Body, Load: &backend.Load{InFlight: 3, Queued: 2, Snapshots: []uint64{1, 2}},
	}}
}

func ownerHandler(target ForwardTarget) http.Handler {
	return NewAgent(AgentOptions{Self: member("owner"), ForwardTarget: target, Seed: 1}).Handler()
}

func startOwner(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newTestForwarder(t testing.TB) *Forwarder {
	t.Helper()
	forwarder := NewForwarder((&net.Dialer{}).DialContext)
	t.Cleanup(forwarder.CloseIdleConnections)
	return forwarder
}

func testRequest() *backend.Request {
	return &backend.Request{
		AttemptID: "attempt-1", RequestID: "request-1", Service: "catalog", Class: "normal", Snapshot: 7,
		Range: coverage.Range{Start: 10, End: 20}, RemainingMilliseconds: 5000, Body: json.RawMessage(`{"find":"orders"}`),
	}
}

func wantOutcome(t *testing.T, got ForwardResult, want ForwardOutcome) {
	t.Helper()
	if got.Outcome != want {
		t.Fatalf("outcome %v (%v), want %v", got.Outcome, got.Err, want)
	}
}

func TestForwardCarriesRequestAndReply(t *testing.T) {
	var received backend.Request
	target := fakeTarget{forward: func(ctx context.Context, server string, request *backend.Request) ForwardResult {
		received = *request
		if server != "server-1" {
			t.Errorf("server %q, want server-1", server)
		}
		return echoForward(ctx, server, request)
	}}
	request := testRequest()
	result := newTestForwarder(t).Forward(t.Context(), startOwner(t, ownerHandler(target)), "server-1", request)
	wantOutcome(t, result, ForwardReplied)
	if received.RemainingMilliseconds <= 0 || received.RemainingMilliseconds > request.RemainingMilliseconds {
		t.Errorf("remaining time at the owner is %g ms, want more than 0 and at most the request's", received.RemainingMilliseconds)
	}
	if string(result.Reply.Body) != string(request.Body) || result.Reply.Load.Queued != 2 {
		t.Errorf("reply %+v does not match the server's", result.Reply)
	}
}

func TestForwardReturnsTheOwnersOutcome(t *testing.T) {
	for _, outcome := range ForwardOutcomes() {
		if outcome == ForwardReplied || outcome == ForwardNotSent {
			continue
		}
		t.Run(outcome.String(), func(t *testing.T) {
			target := fakeTarget{forward: func(context.Context, string, *backend.Request) ForwardResult {
				return ForwardResult{Outcome: outcome}
			}}
			wantOutcome(t, newTestForwarder(t).Forward(t.Context(), startOwner(t, ownerHandler(target)), "server-1", testRequest()), outcome)
		})
	}
}

func TestForwardToNodeWithoutForwardTarget(t *testing.T) {
	wantOutcome(t, newTestForwarder(t).Forward(t.Context(), startOwner(t, ownerHandler(nil)), "server-1", testRequest()), ForwardNotOwner)
}

func TestForwardToUnreachableOwnerIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	wantOutcome(t, newTestForwarder(t).Forward(t.Context(), address, "server-1", testRequest()), ForwardNotSent)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	wantOutcome(t, newTestForwarder(t).Forward(ctx, startOwner(t, ownerHandler(nil)), "server-1", testRequest()), ForwardNotSent)
}

// closingOwner returns a handler that answers the first request and, for every
// later one, reads the whole request and closes the connection. It counts the
// requests.
func closingOwner(t *testing.T, requests *atomic.Int32) http.Handler {
	t.Helper()
	inner := ownerHandler(fakeTarget{forward: echoForward})
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if requests.Add(1) == 1 {
			inner.ServeHTTP(writer, request)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_ = conn.Close()
	})
}

// TestForwardReadByOwnerIsNotRetried: an owner reads a request on a reused
// connection and crashes. It may have sent the request to the server, so the
// outcome is unknown and the request is not sent again.
func TestForwardReadByOwnerIsNotRetried(t *testing.T) {
	var requests atomic.Int32
	owner := startOwner(t, closingOwner(t, &requests))
	forwarder := newTestForwarder(t)
	wantOutcome(t, forwarder.Forward(t.Context(), owner, "server-1", testRequest()), ForwardReplied)
	wantOutcome(t, forwarder.Forward(t.Context(), owner, "server-1", testRequest()), ForwardUnknown)
	if got := requests.Load(); got != 2 {
		t.Errorf("the owner read %d requests, want 2", got)
	}
}

// idempotencyKeyTransport adds the header by which net/http considers a POST
// request idempotent, so that it may be retried.
type idempotencyKeyTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (k idempotencyKeyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	marked := request.Clone(request.Context())
	marked.Header.Set("Idempotency-Key", "key")
	return k.next.RoundTrip(marked)
}

// TestTransportRetriesRewindableRequests pins the behaviour of net/http: an owner
// that closes the connection reads a request of twirp's client once, but one that
// looks idempotent twice, as its body can be rewound. noRetryTransport prevents
// that.
func TestTransportRetriesRewindableRequests(t *testing.T) {
	tests := []struct {
		name string
		wrap func(http.RoundTripper) http.RoundTripper
		want int32
	}{
		{"twirp's own", func(bare http.RoundTripper) http.RoundTripper { return bare }, 2},
		{"looks idempotent", func(bare http.RoundTripper) http.RoundTripper { return idempotencyKeyTransport{next: bare} }, 3},
		{"sent once", func(bare http.RoundTripper) http.RoundTripper {
			return idempotencyKeyTransport{next: noRetryTransport{next: bare}}
		}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var requests atomic.Int32
			owner := startOwner(t, closingOwner(t, &requests))
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			stub := NewPeerProtobufClient("http://"+owner, &http.Client{Transport: test.wrap(transport)})
			message := forwardToWire("server-1", testRequest())
			message.RemainingMs = 5000
			if _, err := stub.ForwardQuery(t.Context(), message); err != nil {
				t.Fatal(err)
			}
			if _, err := stub.ForwardQuery(t.Context(), message); err == nil {
				t.Error("got no error although the owner closed the connection")
			}
			if got := requests.Load(); got != test.want {
				t.Errorf("the owner read %d requests, want %d", got, test.want)
			}
		})
	}
}

func TestForwardOverClosedConnectionIsSentOnce(t *testing.T) {
	var requests atomic.Int32
	inner := ownerHandler(fakeTarget{forward: echoForward})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		inner.ServeHTTP(writer, request)
	}))
	defer server.Close()
	forwarder := newTestForwarder(t)
	for range 20 {
		result := forwarder.Forward(t.Context(), server.Listener.Addr().String(), "server-1", testRequest())
		if result.Outcome != ForwardReplied && result.Outcome != ForwardUnknown {
			t.Fatalf("outcome %v (%v)", result.Outcome, result.Err)
		}
		server.CloseClientConnections()
	}
	if got := requests.Load(); got > 20 {
		t.Errorf("the owner read %d requests for 20 forwards", got)
	}
}

func TestReplyToAnotherForwardIsMalformed(t *testing.T) {
	target := fakeTarget{forward: func(ctx context.Context, server string, request *backend.Request) ForwardResult {
		other := *request
		other.AttemptID = "attempt-2"
		return echoForward(ctx, server, &other)
	}}
	wantOutcome(t, newTestForwarder(t).Forward(t.Context(), startOwner(t, ownerHandler(target)), "server-1", testRequest()), ForwardMalformed)
}

func TestCancelledForwardEndsAtTheOwner(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	target := fakeTarget{forward: func(ctx context.Context, _ string, _ *backend.Request) ForwardResult {
		close(began)
		<-ctx.Done()
		close(ended)
		return ForwardResult{Outcome: ForwardUnknown}
	}}
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan ForwardResult, 1)
	owner, forwarder := startOwner(t, ownerHandler(target)), newTestForwarder(t)
	go func() { result <- forwarder.Forward(ctx, owner, "server-1", testRequest()) }()
	<-began
	cancel()
	<-ended
	wantOutcome(t, <-result, ForwardUnknown)
}

func TestOwnerCancelsForwardAfterRemainingTime(t *testing.T) {
	target := fakeTarget{forward: func(ctx context.Context, _ string, _ *backend.Request) ForwardResult {
		<-ctx.Done()
		return ForwardResult{Outcome: ForwardUnknown}
	}}
	message := forwardToWire("server-1", testRequest())
	message.RemainingMs = 20
	stub := NewPeerProtobufClient("http://"+startOwner(t, ownerHandler(target)), &http.Client{Timeout: time.Minute})
	answer, err := stub.ForwardQuery(t.Context(), message)
	if err != nil || answer.GetOutcome() != ForwardQueryResponse_OUTCOME_UNKNOWN {
		t.Errorf("got %v, %v", answer, err)
	}
}

func TestOwnerRejectsForwardsOutOfBounds(t *testing.T) {
	called := false
	target := fakeTarget{forward: func(ctx context.Context, server string, request *backend.Request) ForwardResult {
		called = true
		return echoForward(ctx, server, request)
	}}
	owner := startOwner(t, ownerHandler(target))
	oversized := testRequest()
	oversized.Body = json.RawMessage(`"` + strings.Repeat("x", 2*DefaultForwardBodyBytes) + `"`)
	if got := newTestForwarder(t).Forward(t.Context(), owner, "server-1", oversized); got.Outcome == ForwardReplied || called {
		t.Errorf("an oversized body got outcome %v, or was passed to the target", got.Outcome)
	}
	message := forwardToWire("server-1", testRequest())
	message.RemainingMs = 1e12
	stub := NewPeerProtobufClient("http://"+owner, http.DefaultClient)
	if _, err := stub.ForwardQuery(t.Context(), message); err == nil || called {
		t.Errorf("a remaining time over the limit was accepted: %v", err)
	}
}

func TestOwnerOverForwardLimitIsBusy(t *testing.T) {
	const waiting = maximumForwards
	began, release := make(chan struct{}, waiting), make(chan struct{})
	handler := limitForwards(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began <- struct{}{}
		<-release
	}), 1)
	ended := make(chan struct{}, waiting)
	for range waiting {
		go func() {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
			ended <- struct{}{}
		}()
	}
	for range waiting {
		<-began
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", nil))
	answer := &ForwardQueryResponse{}
	if err := proto.Unmarshal(recorder.Body.Bytes(), answer); err != nil || answer.GetOutcome() != ForwardQueryResponse_OUTCOME_BUSY {
		t.Errorf("got %v, %v", answer, err)
	}
	close(release)
	for range waiting {
		<-ended
	}
}

func TestServerHealthIsReadFromOwner(t *testing.T) {
	health := &backend.Health{State: backend.HealthDraining, Incarnation: "5", Snapshots: []uint64{1, 2}}
	forwarder := newTestForwarder(t)
	got, known, err := forwarder.ServerHealth(t.Context(), startOwner(t, ownerHandler(fakeTarget{health: health})), "server-1")
	if err != nil || !known || got.State != health.State || got.Incarnation != "5" || len(got.Snapshots) != 2 {
		t.Errorf("got health %+v, known %t, error %v", got, known, err)
	}
	if _, known, err := forwarder.ServerHealth(t.Context(), startOwner(t, ownerHandler(fakeTarget{})), "server-1"); known || err != nil {
		t.Errorf("server without a reading: known %t, error %v; want false, nil", known, err)
	}
}
