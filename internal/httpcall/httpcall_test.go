package httpcall

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/internal/strictjson"
)

// send sends the call to a test server that runs the handler.
func send(t *testing.T, handler http.HandlerFunc, call Call) (Reply, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	transport := NewTransport(nil, 1)
	t.Cleanup(transport.CloseIdleConnections)
	call.Address = server.Listener.Addr().String()
	return Send(t.Context(), transport, call)
}

func TestSendTransmitsCall(t *testing.T) {
	call := Call{
		Method: http.MethodPut, Path: "/a%2Fb", Query: url.Values{"after": {"7"}},
		Header: http.Header{"If-Match": {`"3"`}}, Body: []byte("value"), MaxBodyBytes: 2,
	}
	reply, err := send(t, func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if request.Method != call.Method || request.RequestURI != "/a%2Fb?after=7" || string(body) != "value" {
			t.Errorf("received %s %s with %q", request.Method, request.RequestURI, body)
		}
		if request.Header.Get("If-Match") != `"3"` {
			t.Errorf("header is %v", request.Header)
		}
		writer.Header().Set("ETag", `"4"`)
		writer.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(writer, "ok")
	}, call)
	if err != nil || reply.Code != http.StatusCreated || string(reply.Body) != "ok" || reply.Header.Get("ETag") != `"4"` {
		t.Errorf("reply is %+v, %v", reply, err)
	}
}

func TestSendLimitsReplyBody(t *testing.T) {
	_, err := send(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "long")
	}, Call{MaxBodyBytes: 3})
	if !errors.Is(err, strictjson.ErrTooLarge) {
		t.Errorf("error is %v, want ErrTooLarge", err)
	}
}

func TestSendDoesNotFollowRedirects(t *testing.T) {
	var requests atomic.Int64
	reply, err := send(t, func(writer http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		http.Redirect(writer, request, "/elsewhere", http.StatusTemporaryRedirect)
	}, Call{MaxBodyBytes: 1000})
	if err != nil || reply.Code != http.StatusTemporaryRedirect || requests.Load() != 1 {
		t.Errorf("reply is %+v, %v after %d requests", reply, err, requests.Load())
	}
}

func TestSendDoesNotResendBody(t *testing.T) {
	var requests atomic.Int64
	handler := func(writer http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		_, _ = io.ReadAll(request.Body)
		if requests.Load() > 1 {
			panic(http.ErrAbortHandler)
		}
	}
	server := httptest.NewServer(http.HandlerFunc(handler))
	defer server.Close()
	transport := NewTransport(nil, 1)
	defer transport.CloseIdleConnections()
	call := Call{Method: http.MethodPost, Address: server.Listener.Addr().String(), Path: "/", Body: []byte("{}"), MaxBodyBytes: 1}
	if _, err := Send(t.Context(), transport, call); err != nil {
		t.Fatal(err)
	}
	// The server closes the reused connection after it has read the second request.
	if _, err := Send(t.Context(), transport, call); err == nil || requests.Load() != 2 {
		t.Errorf("error %v after %d requests, want an error after 2", err, requests.Load())
	}
}

// slowTransport returns the header and the body after the given delays.
type slowTransport struct{ header, body time.Duration }

// RoundTrip implements http.RoundTripper.
func (s slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(s.header):
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(slowBody(s))}, nil
}

type slowBody struct{ header, body time.Duration }

// Read implements io.Reader.
func (s slowBody) Read([]byte) (int, error) {
	time.Sleep(s.body)
	return 0, io.EOF
}

// HeaderTimeout cancels a request whose header is late, but does not limit the
// time for reading the body.
func TestHeaderTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := Call{Address: "x", Path: "/", MaxBodyBytes: 10, HeaderTimeout: time.Second}
		began := time.Now()
		if _, err := Send(t.Context(), slowTransport{header: time.Minute}, call); !errors.Is(err, ErrHeaderTimeout) || time.Since(began) != time.Second {
			t.Errorf("got %v after %s, want ErrHeaderTimeout", err, time.Since(began))
		}
		if _, err := Send(t.Context(), slowTransport{header: time.Second / 2, body: time.Minute}, call); err != nil {
			t.Errorf("slow body: got error %v, want none", err)
		}
	})
}
