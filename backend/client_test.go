package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
)

func newQuery(attempt string) *backend.Request {
	return &backend.Request{
		AttemptID: attempt, RequestID: "request-1", Service: "catalog", Class: "urgent", Snapshot: 7,
		Range: coverage.Range{Start: 0, End: 10}, RemainingMilliseconds: 1000, Body: json.RawMessage(`{}`),
	}
}

const doneReply = `{"attempt_id":"a1","status":"done","snapshot":7,"range":{"start":0,"end":10},"body":{}}`

func startHTTP(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newClient(t *testing.T, options backend.ClientOptions) *backend.Client {
	t.Helper()
	client := backend.NewClient(options)
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func TestQueryReplies(t *testing.T) {
	cases := []struct {
		name    string
		code    int
		body    string
		want    backend.Status
		wantErr error
	}{
		{name: "done", code: 200, body: doneReply, want: backend.StatusDone},
		{name: "shed", code: 503, body: `{"attempt_id":"a1","status":"shed","retry_after_ms":20}`, want: backend.StatusShed},
		{name: "draining", code: 503, body: `{"attempt_id":"a1","status":"draining"}`, want: backend.StatusDraining},
		{name: "unknown snapshot", code: 409, body: `{"attempt_id":"a1","status":"unknown_snapshot","snapshots":[8]}`, want: backend.StatusUnknownSnapshot},
		{name: "not owner", code: 409, body: `{"attempt_id":"a1","status":"not_owner"}`, want: backend.StatusNotOwner},
		{name: "error", code: 500, body: `{"attempt_id":"a1","status":"error"}`, want: backend.StatusError},
		{name: "missing snapshot", code: 200, body: strings.Replace(doneReply, `"snapshot":7,`, ``, 1), wantErr: backend.ErrMalformed},
		{name: "missing range", code: 200, body: strings.Replace(doneReply, `"range":{"start":0,"end":10},`, ``, 1), wantErr: backend.ErrMalformed},
		{name: "range without end", code: 200, body: strings.Replace(doneReply, `,"end":10`, ``, 1), wantErr: backend.ErrMalformed},
		{name: "missing body", code: 200, body: strings.Replace(doneReply, `,"body":{}`, ``, 1), wantErr: backend.ErrMalformed},
		{name: "missing attempt", code: 200, body: strings.Replace(doneReply, `"attempt_id":"a1",`, ``, 1), wantErr: backend.ErrMalformed},
		{name: "another attempt", code: 200, body: strings.Replace(doneReply, `a1`, `a2`, 1), wantErr: backend.ErrMalformed},
		{name: "shed of another attempt", code: 503, body: `{"attempt_id":"a2","status":"shed"}`, wantErr: backend.ErrMalformed},
		{name: "another snapshot", code: 200, body: strings.Replace(doneReply, `:7`, `:8`, 1), wantErr: backend.ErrMalformed},
		{name: "another range", code: 200, body: strings.Replace(doneReply, `:10`, `:11`, 1), wantErr: backend.ErrMalformed},
		{name: "status under another code", code: 200, body: `{"attempt_id":"a1","status":"shed"}`, wantErr: backend.ErrMalformed},
		{name: "done under an error code", code: 500, body: doneReply, wantErr: backend.ErrMalformed},
		{name: "unknown status", code: 200, body: strings.Replace(doneReply, `done`, `fine`, 1), wantErr: backend.ErrMalformed},
		{name: "unknown field", code: 200, body: strings.Replace(doneReply, `"body"`, `"bodies":1,"body"`, 1), wantErr: backend.ErrMalformed},
		{name: "field in another case", code: 200, body: strings.Replace(doneReply, `"status"`, `"Status"`, 1), wantErr: backend.ErrMalformed},
		{name: "field given twice", code: 200, body: strings.Replace(doneReply, `"body"`, `"status":"done","body"`, 1), wantErr: backend.ErrMalformed},
		{name: "load without queued", code: 200, body: strings.Replace(doneReply, `"body"`, `"load":{"in_flight":1},"body"`, 1), wantErr: backend.ErrMalformed},
		{name: "trailing data", code: 200, body: doneReply + `{}`, wantErr: backend.ErrMalformed},
		{name: "no JSON", code: 503, body: `Service Unavailable`, wantErr: backend.ErrMalformed},
		{name: "empty", code: 200, body: ``, wantErr: backend.ErrMalformed},
		{name: "redirect", code: 307, body: ``, wantErr: backend.ErrMalformed},
		{name: "too large", code: 200, body: strings.Repeat(" ", backend.MaximumReplyBytes+1), wantErr: backend.ErrMalformed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			requests := atomic.Int64{}
			address := startHTTP(t, func(writer http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				writer.Header().Set("Location", backend.QueryPath)
				writer.WriteHeader(test.code)
				_, _ = io.WriteString(writer, test.body)
			})
			reply, err := newClient(t, backend.ClientOptions{}).Query(t.Context(), address, newQuery("a1"))
			if !errors.Is(err, test.wantErr) {
				t.Fatalf("error is %v, want %v", err, test.wantErr)
			}
			if test.wantErr == nil && reply.Status != test.want {
				t.Errorf("status is %q, want %q", reply.Status, test.want)
			}
			if requests.Load() != 1 {
				t.Errorf("the server received %d requests, want 1", requests.Load())
			}
		})
	}
}

// scriptedServer records the attempt ID of each request that it reads. It
// closes the connection, without a reply, after reading the attempt in
// closeAfterAttempt.
type scriptedServer struct {
	address           string
	closeAfterAttempt string

	mutex    sync.Mutex
	attempts []string
}

func startScripted(t *testing.T, closeAfterAttempt string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	server := &scriptedServer{address: listener.Addr().String(), closeAfterAttempt: closeAfterAttempt}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		query := backend.Request{}
		if json.NewDecoder(request.Body).Decode(&query) != nil {
			return
		}
		s.mutex.Lock()
		s.attempts = append(s.attempts, query.AttemptID)
		s.mutex.Unlock()
		if query.AttemptID == s.closeAfterAttempt {
			return
		}
		body := strings.Replace(doneReply, "a1", query.AttemptID, 1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func (s *scriptedServer) readAttempts() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strings.Join(s.attempts, " ")
}

func TestQueryIsNotResentAfterConnectionCloses(t *testing.T) {
	server := startScripted(t, "a2")
	client := newClient(t, backend.ClientOptions{
		ConnectionLimit: func(string) int { return 1 },
	})
	if _, err := client.Query(t.Context(), server.address, newQuery("a1")); err != nil {
		t.Fatal(err)
	}
	_, err := client.Query(t.Context(), server.address, newQuery("a2"))
	if !errors.Is(err, backend.ErrOutcomeUnknown) {
		t.Errorf("error is %v, want ErrOutcomeUnknown", err)
	}
	if _, err := client.Query(t.Context(), server.address, newQuery("a3")); err != nil {
		t.Fatal(err)
	}
	if seen := server.readAttempts(); seen != "a1 a2 a3" {
		t.Errorf("the server received %q, want each attempt once", seen)
	}
}

func TestQueryToRefusedAddressIsNotDelivered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	_, err = newClient(t, backend.ClientOptions{}).Query(t.Context(), address, newQuery("a1"))
	if !errors.Is(err, backend.ErrNotDelivered) {
		t.Errorf("error is %v, want ErrNotDelivered", err)
	}
}

// limitedWriteConn writes up to the given number of bytes and then fails with
// net.ErrClosed.
type limitedWriteConn struct {
	net.Conn
	accepts int
}

func (c *limitedWriteConn) Write(data []byte) (int, error) {
	count := min(c.accepts, len(data))
	c.accepts -= count
	if count == len(data) {
		return count, nil
	}
	return count, net.ErrClosed
}

func TestWriteFailureOutcome(t *testing.T) {
	cases := []struct {
		name    string
		accepts int
		want    error
	}{
		{name: "before the first byte", accepts: 0, want: backend.ErrNotDelivered},
		{name: "after the first byte", accepts: 1, want: backend.ErrOutcomeUnknown},
		{name: "within the body", accepts: 250, want: backend.ErrOutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			dials := 0
			client := newClient(t, backend.ClientOptions{
				SpareConnectionsPerServer: -1,
				Dial: func(context.Context, string, string) (net.Conn, error) {
					dials++
					near, far := net.Pipe()
					t.Cleanup(func() { far.Close() })
					return &limitedWriteConn{Conn: near, accepts: test.accepts}, nil
				},
			})
			_, err := client.Query(t.Context(), "10.0.0.1:1", newQuery("a1"))
			if !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
			if dials != 1 {
				t.Errorf("%d connections were opened, want 1", dials)
			}
		})
	}
}

// failingWriteConn fails every write once failWrites is set, like a connection
// whose loss has not been noticed yet.
type failingWriteConn struct {
	net.Conn
	failWrites *atomic.Bool
}

func (c *failingWriteConn) Write(data []byte) (int, error) {
	if c.failWrites.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

func TestQueryRetriesOnNewConnectionAfterUnwrittenRequest(t *testing.T) {
	server := startScripted(t, "")
	var failFirst atomic.Bool
	dials := 0
	client := newClient(t, backend.ClientOptions{
		SpareConnectionsPerServer: -1,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			failWrites := &failFirst
			if dials++; dials > 1 {
				failWrites = &atomic.Bool{}
			}
			return &failingWriteConn{Conn: conn, failWrites: failWrites}, err
		},
	})
	if _, err := client.Query(t.Context(), server.address, newQuery("a1")); err != nil {
		t.Fatal(err)
	}
	failFirst.Store(true)
	if _, err := client.Query(t.Context(), server.address, newQuery("a2")); err != nil {
		t.Fatal(err)
	}
	if seen := server.readAttempts(); seen != "a1 a2" || dials != 2 {
		t.Errorf("the server received %q over %d connections, want each attempt once over 2", seen, dials)
	}
}

func TestCancelledQueryClosesConnection(t *testing.T) {
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	address := startHTTP(t, func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		close(arrived)
		<-request.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := newClient(t, backend.ClientOptions{}).Query(ctx, address, newQuery("a1"))
	if !errors.Is(err, backend.ErrOutcomeUnknown) || !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want ErrOutcomeUnknown and context.Canceled", err)
	}
	<-cancelled
}

func TestQueryCancelledWhileWaitingForConnectionIsNotDelivered(t *testing.T) {
	arrived := make(chan struct{}, 1)
	release := make(chan struct{})
	address := startHTTP(t, func(writer http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, doneReply)
	})
	client := newClient(t, backend.ClientOptions{ConnectionLimit: func(string) int { return 1 }})
	first := make(chan error, 1)
	go func() {
		_, err := client.Query(t.Context(), address, newQuery("a1"))
		first <- err
	}()
	<-arrived
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Query(ctx, address, newQuery("a1")); !errors.Is(err, backend.ErrNotDelivered) {
		t.Errorf("error is %v, want ErrNotDelivered", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
}

func TestHealthAndLoad(t *testing.T) {
	address := startHTTP(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == backend.HealthPath {
			_, _ = io.WriteString(writer, `{"state":"draining","incarnation":"i2"}`)
			return
		}
		_, _ = io.WriteString(writer, `{"in_flight":-1,"queued":0}`)
	})
	client := newClient(t, backend.ClientOptions{})
	health, err := client.Health(t.Context(), address)
	if err != nil || health.State != backend.HealthDraining || health.Incarnation != "i2" {
		t.Errorf("health is %+v, %v", health, err)
	}
	if load, err := client.Load(t.Context(), address); !errors.Is(err, backend.ErrMalformed) || load != nil {
		t.Errorf("load is %+v, %v, want ErrMalformed", load, err)
	}
}
