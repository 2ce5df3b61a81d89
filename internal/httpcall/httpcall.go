// Package httpcall sends single HTTP requests and reads their complete replies.
//
// Redirects are not followed, and a request with a body is never sent twice:
// net/http's transport resends a request if a reused connection closes and the
// body can be rewound, so the body is made non-rewindable. The transport may
// still resend a GET.
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

// Limits of the transports.
const (
	// MaximumHeaderBytes is the maximum size of a reply's header.
	MaximumHeaderBytes = 64 << 10

	idleTimeout = 90 * time.Second
)

// JSON is the media type of JSON documents.
const JSON = "application/json"

// DialFunc opens a connection to an IP address and port.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that opens at most the given number of
// connections per address. A nil dial uses TCP through net.Dialer.
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

// Call describes one request.
type Call struct {
	// Method is the HTTP method; empty means GET.
	Method string
	// Address is the server's host and port.
	Address string
	// Path is the URL path in its escaped form.
	Path  string
	Query url.Values
	// Header may be nil. Send does not modify it.
	Header http.Header
	// Body is the request body; nil means none.
	Body []byte
	// MaxBodyBytes is the maximum size of the reply's body.
	MaxBodyBytes int64
	// HeaderTimeout limits the time until the reply's header is received. With
	// zero, only the context limits it.
	HeaderTimeout time.Duration
}

// Reply is the complete reply to a Call.
type Reply struct {
	// Code is the HTTP status code.
	Code   int
	Header http.Header
	Body   []byte
}

// ErrHeaderTimeout is returned by Send if no header was received within
// HeaderTimeout.
var ErrHeaderTimeout = errors.New("httpcall: no response header within the time limit")

// Send sends the request and reads the complete reply; the context limits both.
// It returns the transport's error, ErrHeaderTimeout, or strictjson.ErrTooLarge
// if the body exceeds MaxBodyBytes.
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

// headerTimeoutTransport stops headerTimer when the reply's header has been
// received or the request has failed.
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

// newRequest builds the HTTP request. GetBody is cleared so that the transport
// cannot resend a body.
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
