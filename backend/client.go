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
	DefaultConnectionLimit           = 8
	DefaultSpareConnectionsPerServer = 2
	DefaultDialTimeout               = 2 * time.Second
	DefaultIdleTimeout               = 30 * time.Second
)

// ClientOptions configures a Client. Zero fields get defaults.
type ClientOptions struct {
	// Dial opens connections; the default is the operating system's TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectionLimit bounds the open connections to the server at the
	// address; less than 1 counts as 1. It is asked at each request and by
	// UpdateConnectionLimit. When it falls, connections above the bound close as soon as
	// they carry no request; until then no others open.
	ConnectionLimit func(address string) int
	// SpareConnectionsPerServer is the number of connections kept open before they are
	// needed, at most a quarter of the bound; a negative one means none.
	SpareConnectionsPerServer int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout closes a connection that carried no request for so long.
	IdleTimeout time.Duration
}

// Client asks back ends. It never sends a request twice. Its methods may be
// called from several goroutines.
type Client struct {
	options ClientOptions

	// mutex guards pools; it is locked before a pool's own. Invariant: all
	// connections to an address belong to its one pool here.
	mutex sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client with no open connection.
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

// Query sends one sub-request. The end of the context closes its connection,
// which tells the server to stop. A returned reply echoes the request's
// attempt ID; a reply with StatusDone also echoes its snapshot and range.
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

// Health reads a server's account of its health, which may lag or mislead.
func (c *Client) Health(ctx context.Context, address string) (*Health, error) {
	var health *Health
	err := c.exchange(ctx, httpcall.Call{Address: address, Path: HealthPath}, func(data []byte, code int) (err error) {
		health, err = decodeHealth(data, code)
		return err
	})
	return health, err
}

// Load reads a server's account of its work, which may lag or mislead.
func (c *Client) Load(ctx context.Context, address string) (*Load, error) {
	var load *Load
	err := c.exchange(ctx, httpcall.Call{Address: address, Path: LoadPath}, func(data []byte, code int) (err error) {
		load, err = decodeLoad(data, code)
		return err
	})
	return load, err
}

// CloseIdleConnections closes the connections that carry no request. Those of
// requests in flight close with them.
func (c *Client) CloseIdleConnections() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, serverPool := range c.pools {
		c.drainPool(address, serverPool)
	}
}

// CloseServerConnections closes the idle connections to a server; those of requests in flight
// close with them, unless a new request begins before.
func (c *Client) CloseServerConnections(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if serverPool, ok := c.pools[address]; ok {
		c.drainPool(address, serverPool)
	}
}

// drainPool is called with the mutex held.
func (c *Client) drainPool(address string, serverPool *pool) {
	serverPool.drain()
	if serverPool.removeIfDrained() {
		delete(c.pools, address)
	}
}

// UpdateConnectionLimit asks for the bound of the connections to a server and closes idle
// ones above it, without a request. A server without connections stays so.
func (c *Client) UpdateConnectionLimit(address string) {
	c.mutex.RLock()
	serverPool := c.pools[address]
	c.mutex.RUnlock()
	if serverPool != nil {
		serverPool.resize(c.connectionLimit(address))
	}
}

func (c *Client) connectionLimit(address string) int {
	return max(1, c.options.ConnectionLimit(address))
}

// pool returns the server's pool, made when there is none.
func (c *Client) pool(address string, connectionLimit int) *pool {
	c.mutex.RLock()
	open := c.pools[address]
	c.mutex.RUnlock()
	if open != nil {
		return open
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if open = c.pools[address]; open == nil {
		open = c.newPool(connectionLimit)
		c.pools[address] = open
	}
	return open
}

// acquire waits for a connection to the server; the caller must release it.
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

// release gives a connection back, and drops a forgotten pool with its last one.
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

// exchange sends one request and gives its whole reply to decode. A connection
// whose reply can't be decoded is closed: later replies on it may belong to
// other requests.
func (c *Client) exchange(ctx context.Context, call httpcall.Call, decode func(data []byte, code int) error) error {
	serverPool, conn, err := c.acquire(ctx, call.Address)
	if err != nil {
		return fmt.Errorf("asking %s: %w", call.Address, err)
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
			return fmt.Errorf("asking %s: %w", call.Address, err)
		}
		// The kept connection had closed before a byte was written; it is gone
		// now, so the next one is new.
	}
}

// roundTrip sends one request and reads its whole reply.
func (c *connection) roundTrip(ctx context.Context, call httpcall.Call) (httpcall.Reply, error) {
	call.Limit = MaximumReplyBytes
	reply, err := httpcall.Send(ctx, c.transport, call)
	if errors.Is(err, strictjson.ErrTooLarge) {
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return reply, err
}

// classifyError turns the error of a request by what had been written, and closes
// the request's connection.
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
