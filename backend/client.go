package backend

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/internal/strictjson"
)

// Errors that Client returns; they are wrapped.
var (
	// ErrNotDelivered means that no byte of the request was written to the
	// server, so the request can be sent elsewhere.
	ErrNotDelivered = errors.New("backend: not delivered")
	// ErrOutcomeUnknown means that at least one byte of the request was written
	// but no complete reply was received. The server may have executed the
	// request.
	ErrOutcomeUnknown = errors.New("backend: outcome unknown")
	// ErrMalformed means that the reply violates the protocol or does not match
	// the request. The server may have executed the request.
	ErrMalformed = errors.New("backend: malformed reply")
)

// Default values of ClientOptions.
const (
	DefaultConnectionLimit           = 8
	DefaultSpareConnectionsPerServer = 2
	DefaultDialTimeout               = 2 * time.Second
	DefaultIdleTimeout               = 30 * time.Second
)

// ClientOptions configures a Client. Zero fields are set to their defaults.
type ClientOptions struct {
	// Dial opens connections. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectionLimit returns the maximum number of open connections to the
	// server at the address; values below 1 count as 1. It is called for each
	// request and by UpdateConnectionLimit. After the limit is lowered,
	// connections above it close as soon as they carry no request, and no new
	// ones open until then.
	ConnectionLimit func(address string) int
	// SpareConnectionsPerServer is the number of connections to each server
	// that are opened in advance, at most a quarter of its connection limit. A
	// negative value disables spare connections.
	SpareConnectionsPerServer int
	// DialTimeout limits the time to open one connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which a connection that has carried no
	// request is closed.
	IdleTimeout time.Duration
}

// Client sends sub-requests to back-end servers and reads their health and
// load. It never sends a request twice. It is safe for concurrent use.
type Client struct {
	options ClientOptions

	// mutex guards pools; it is locked before a pool's own mutex. Invariant:
	// all connections to an address belong to its one pool here.
	mutex sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client without open connections.
func NewClient(options ClientOptions) *Client {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.ConnectionLimit == nil {
		options.ConnectionLimit = func(string) int { return DefaultConnectionLimit }
	}
	options.SpareConnectionsPerServer = cmp.Or(options.SpareConnectionsPerServer, DefaultSpareConnectionsPerServer)
	options.DialTimeout = cmp.Or(options.DialTimeout, DefaultDialTimeout)
	options.IdleTimeout = cmp.Or(options.IdleTimeout, DefaultIdleTimeout)
	return &Client{options: options, pools: make(map[string]*pool)}
}

// Query sends one sub-request and returns the server's reply. When the context
// ends, its connection is closed, which signals the server to stop. The reply
// has the attempt ID of the request; a reply with StatusDone also has its
// snapshot and range.
func (c *Client) Query(ctx context.Context, address string, request *Request) (*Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: encoding the request: %w", ErrNotDelivered, err)
	}
	var reply *Reply
	call := httpcall.Call{
		Method: http.MethodPost, Address: address, Path: QueryPath, Body: body,
		Header: http.Header{"Content-Type": {httpcall.JSON}},
	}
	err = c.exchange(ctx, call, func(data []byte, code int) error {
		reply, err = decodeReply(data, code, request)
		return err
	})
	return reply, err
}

// Health fetches the health that a server reports about itself. The report may
// be stale or wrong.
func (c *Client) Health(ctx context.Context, address string) (*Health, error) {
	var health *Health
	err := c.exchange(ctx, httpcall.Call{Address: address, Path: HealthPath}, func(data []byte, code int) (err error) {
		health, err = decodeHealth(data, code)
		return err
	})
	return health, err
}

// Load fetches the load that a server reports about itself. The report may be
// stale or wrong.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	var load *Load
	err := c.exchange(ctx, httpcall.Call{Address: address, Path: LoadPath}, func(data []byte, code int) (err error) {
		load, err = decodeLoad(data, code)
		return err
	})
	return load, err
}

// CloseIdleConnections closes the connections to all servers that carry no
// request. Connections with a request in flight close when the request ends.
func (c *Client) CloseIdleConnections() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, serverPool := range c.pools {
		c.drainPool(address, serverPool)
	}
}

// CloseServerConnections closes the idle connections to one server. Connections
// with a request in flight close when it ends, unless a new request to the
// server begins before that.
func (c *Client) CloseServerConnections(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if serverPool, ok := c.pools[address]; ok {
		c.drainPool(address, serverPool)
	}
}

// drainPool drains a pool and removes it if it has no connection left. The
// caller holds the mutex.
func (c *Client) drainPool(address string, serverPool *pool) {
	serverPool.drain()
	if serverPool.removeIfDrained() {
		delete(c.pools, address)
	}
}

// UpdateConnectionLimit calls ConnectionLimit for a server and applies the
// result without waiting for the next request, which closes idle connections
// above the limit. It opens no connection to a server that has none.
func (c *Client) UpdateConnectionLimit(address string) {
	c.mutex.RLock()
	serverPool := c.pools[address]
	c.mutex.RUnlock()
	if serverPool != nil {
		serverPool.resize(c.connectionLimit(address))
	}
}

// connectionLimit returns the limit for a server, at least 1.
func (c *Client) connectionLimit(address string) int {
	return max(1, c.options.ConnectionLimit(address))
}

// pool returns the server's pool and creates it if necessary.
func (c *Client) pool(address string, connectionLimit int) *pool {
	c.mutex.RLock()
	serverPool := c.pools[address]
	c.mutex.RUnlock()
	if serverPool != nil {
		return serverPool
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if serverPool = c.pools[address]; serverPool == nil {
		serverPool = c.newPool(connectionLimit)
		c.pools[address] = serverPool
	}
	return serverPool
}

// acquire waits for a connection to the server. The caller must release it.
func (c *Client) acquire(ctx context.Context, address string) (*pool, *connection, error) {
	for {
		connectionLimit := c.connectionLimit(address)
		serverPool := c.pool(address, connectionLimit)
		conn, ok, err := serverPool.acquire(ctx, connectionLimit)
		if ok {
			return serverPool, conn, err
		}
	}
}

// release returns a connection to its pool, and removes a drained pool from the
// client.
func (c *Client) release(address string, serverPool *pool, conn *connection, reusable bool) {
	serverPool.release(conn, reusable)
	if !serverPool.isDrained() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pools[address] == serverPool && serverPool.removeIfDrained() {
		delete(c.pools, address)
	}
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.DialTimeout)
	defer cancel()
	return c.options.Dial(ctx, network, address)
}

// exchange sends one request and passes the complete reply to decode. If
// decoding fails, the connection is closed, because later replies on it could
// belong to other requests.
func (c *Client) exchange(ctx context.Context, call httpcall.Call, decode func(data []byte, code int) error) error {
	serverPool, conn, err := c.acquire(ctx, call.Address)
	if err != nil {
		return fmt.Errorf("request to %s: %w", call.Address, err)
	}
	defer func() { c.release(call.Address, serverPool, conn, err == nil) }()
	for {
		trackedCtx, tracker := delivery.Track(ctx)
		var reply httpcall.Reply
		reply, err = conn.roundTrip(trackedCtx, call)
		if err == nil {
			err = decode(reply.Body, reply.Code)
		}
		if err == nil {
			return nil
		}
		err = classifyError(tracker, err)
		if !errors.Is(err, ErrNotDelivered) || !tracker.Reused() || ctx.Err() != nil {
			return fmt.Errorf("request to %s: %w", call.Address, err)
		}
		// The reused connection had been closed before a byte was written. It has
		// been discarded, so the next iteration dials a new one.
	}
}

// roundTrip sends one request and reads the complete reply.
func (c *connection) roundTrip(ctx context.Context, call httpcall.Call) (httpcall.Reply, error) {
	call.MaxBodyBytes = MaximumReplyBytes
	reply, err := httpcall.Send(ctx, c.transport, call)
	if errors.Is(err, strictjson.ErrTooLarge) {
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return reply, err
}

// classifyError wraps err in ErrNotDelivered or ErrOutcomeUnknown, depending on
// whether a byte of the request was written. It keeps ErrMalformed. It also
// closes the request's connection.
func classifyError(tracker *delivery.Tracker, err error) error {
	written := tracker.Seal()
	if errors.Is(err, ErrMalformed) {
		return err
	}
	if written {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrNotDelivered, err)
}
