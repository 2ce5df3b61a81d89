// Package httpcall sends single HTTP requests and reads their whole replies.
//
// No redirect is followed, and a request with a body is never sent twice:
// net/http's transport would send it again on a kept connection that closed if
// the body could be rewound, so it can't. The transport may repeat a GET.
package httpcall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/banksail/banksail/internal/strictjson"
)

// Bounds of transports.
const (
	// MaximumHeaderBytes bounds the header of a reply.
	MaximumHeaderBytes = 64 << 10

	idleTimeout = 90 * time.Second
)

// JSON is the media type of JSON documents.
const JSON = "application/json"

// DialFunc opens a connection to an IP number and port.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport with a bounded number of connections per
// address. A nil dial means the operating system's TCP.
func NewTransport(dial DialFunc, connections int) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaximumHeaderBytes,
		DisableCompression:     true,
	}
}

// Call is one request.
type Call struct {
	// Method is the HTTP method; empty means GET.
	Method string
	// Address is the server's host and port.
	Address string
	// Path is the path as it stands in the URL, with its escapes.
	Path  string
	Query url.Values
	// Header may be nil. The call does not change it.
	Header http.Header
	// Body is sent unless it is nil.
	Body []byte
	// MaxBodyBytes bounds the bytes of the reply's body.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time until the reply's header has come; zero leaves
	// it to the context.
	HeaderTimeout time.Duration
}

// Reply is the whole reply to a Call.
type Reply struct {
	// Code is the HTTP status code.
	Code   int
	Header http.Header
	Body   []byte
}

// ErrHeaderTimeout is Send's error when no header came within HeaderTimeout.
var ErrHeaderTimeout = errors.New("httpcall: no answer")

// Send sends the request and reads its reply until the context ends. Its error
// is the transport's, ErrHeaderTimeout, or strictjson.ErrTooLarge for a body over the
// limit.
func Send(ctx context.Context, transport http.RoundTripper, call Call) (Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := newRequest(ctx, call)
	if err != nil {
		return Reply{}, err
	}
	if call.HeaderTimeout > 0 {
		headerTimer := time.AfterFunc(call.HeaderTimeout, func() { cancel(ErrHeaderTimeout) })
		defer headerTimer.Stop()
		transport = headerTimeoutTransport{transport, headerTimer}
	}
	response, err := transport.RoundTrip(request)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), ErrHeaderTimeout):
		return Reply{}, ErrHeaderTimeout
	case err != nil:
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := strictjson.Read(response.Body, call.MaxBodyBytes)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Code: response.StatusCode, Header: response.Header, Body: body}, nil
}

// headerTimeoutTransport stops a timer once a header has come.
type headerTimeoutTransport struct {
	http.RoundTripper
	headerTimer *time.Timer
}

// RoundTrip implements http.RoundTripper.
func (t headerTimeoutTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	t.headerTimer.Stop()
	return response, err
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	target := "http://" + call.Address + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	var body io.Reader
	if call.Body != nil {
		body = bytes.NewReader(call.Body)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if call.Header != nil {
		request.Header = call.Header
	}
	return request, nil
}
