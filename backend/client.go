package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/strictjson"
)

// Errors that Client returns, wrapped.
var (
	// ErrNotDelivered: no byte of the request was written to the server.
	ErrNotDelivered = errors.New("backend: not delivered")
	// ErrOutcomeUnknown: the server may have executed the request; no whole
	// reply came.
	ErrOutcomeUnknown = errors.New("backend: outcome unknown")
	// ErrMalformed: a reply came that does not follow the protocol or does not
	// belong to the request. The server may have executed the request.
	ErrMalformed = errors.New("backend: malformed reply")
)

// Defaults of ClientOptions.
const (
	DefaultConnectionsPerServer = 8
	DefaultDialTimeout          = 2 * time.Second
	DefaultIdleTimeout          = 30 * time.Second
)

const (
	maximumHeaderBytes = 64 << 10
	contentTypeJSON    = "application/json"
)

// ClientOptions configures a Client. Zero fields get defaults.
type ClientOptions struct {
	// Dial opens connections; the default is the operating system's TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectionsPerServer bounds the open connections to the server at the
	// address. It is asked at each request; the bound may change.
	ConnectionsPerServer func(address string) int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that carried no request for so long.
	IdleTimeout time.Duration
}

// Client asks back ends. It never sends a request twice. Its methods may be
// called from several goroutines.
type Client struct {
	options ClientOptions

	// mutex guards pools. Invariant: at most one pool per address takes new
	// requests; the bound of that pool is the one last asked for.
	mutex sync.Mutex
	pools map[string]*pool
}

// NewClient returns a client with no open connection.
func NewClient(options ClientOptions) *Client {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.ConnectionsPerServer == nil {
		options.ConnectionsPerServer = func(string) int { return DefaultConnectionsPerServer }
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{options: options, pools: make(map[string]*pool)}
}

// Query sends one sub-request. The end of the context closes its connection,
// which tells the server to stop. A returned reply echoes the request's
// attempt ID; a reply with StatusDone also echoes its snapshot and range.
func (c *Client) Query(ctx context.Context, address string, request *Request) (*Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: encoding the request: %w", ErrNotDelivered, err)
	}
	data, status, err := c.roundTrip(ctx, address, http.MethodPost, QueryPath, body)
	if err != nil {
		return nil, err
	}
	reply, err := decodeReply(data, status, request)
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", address, err)
	}
	return reply, nil
}

// Health reads a server's account of its health, which may lag or mislead.
func (c *Client) Health(ctx context.Context, address string) (*Health, error) {
	data, status, err := c.roundTrip(ctx, address, http.MethodGet, HealthPath, nil)
	if err != nil {
		return nil, err
	}
	return decodeHealth(data, status)
}

// Load reads a server's account of its work, which may lag or mislead.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	data, status, err := c.roundTrip(ctx, address, http.MethodGet, LoadPath, nil)
	if err != nil {
		return nil, err
	}
	return decodeLoad(data, status)
}

// CloseIdleConnections closes the connections that carry no request.
func (c *Client) CloseIdleConnections() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, open := range c.pools {
		open.transport.CloseIdleConnections()
	}
}

// Forget closes the idle connections to a server and drops its pool; requests
// in flight end on their own.
func (c *Client) Forget(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if open, ok := c.pools[address]; ok {
		delete(c.pools, address)
		open.retire()
	}
}

// roundTrip sends one request and reads its whole reply.
func (c *Client) roundTrip(ctx context.Context, address, method, path string, body []byte) ([]byte, int, error) {
	open := c.acquire(address)
	defer open.release()
	trackedContext, tracker := delivery.Track(ctx)
	request, err := newRequest(trackedContext, address, method, path, body)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrNotDelivered, err)
	}
	response, err := open.transport.RoundTrip(request)
	if err != nil {
		return nil, 0, failure(tracker, address, err)
	}
	data, err := strictjson.Read(response.Body, MaximumReplyBytes)
	_ = response.Body.Close()
	if errors.Is(err, strictjson.ErrTooLarge) {
		return nil, 0, fmt.Errorf("asking %s: %w: %w", address, ErrMalformed, err)
	}
	if err != nil {
		return nil, 0, failure(tracker, address, err)
	}
	return data, response.StatusCode, nil
}

// failure classes an error without a whole reply by what had been written.
func failure(tracker *delivery.Tracker, address string, err error) error {
	class := ErrNotDelivered
	if tracker.Seal() {
		class = ErrOutcomeUnknown
	}
	return fmt.Errorf("asking %s: %w: %w", address, class, err)
}

// newRequest builds a request that net/http's transport never sends again: a
// POST has neither GetBody nor an idempotency key.
func newRequest(ctx context.Context, address, method, path string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", contentTypeJSON)
	}
	return request, nil
}
