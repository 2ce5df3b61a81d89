package machinelist

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/internal/strictjson"
	"github.com/banksail/banksail/internal/validation"
)

// The HTTP protocol of the machine list.
const (
	Path           = "/v1/machines"
	AfterParameter = "after"
	WaitParameter  = "wait_ms"

	// MaximumListBytes bounds what is read of one reply.
	MaximumListBytes = 16 << 20
	// MaximumWait bounds one long poll.
	MaximumWait = time.Minute
)

// Defaults of HTTPOptions.
const (
	DefaultTimeout = 5 * time.Second

	maxConnections = 2
)

// responseLimits bounds the JSON document of a reply.
var responseLimits = strictjson.Limits{Bytes: MaximumListBytes}

// HTTPOptions configures a connection over HTTP. Zero fields get defaults.
type HTTPOptions struct {
	// Address is the machine list's IP number and port.
	Address string
	// Dial opens connections; the default is the operating system's TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds each call, for a watch in addition to its wait.
	Timeout time.Duration
}

type httpConn struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
	validate  *validator.Validate
}

// NewHTTP returns a connection to the machine list at an address.
func NewHTTP(options HTTPOptions) Conn {
	options.Timeout = cmp.Or(options.Timeout, DefaultTimeout)
	return &httpConn{
		address:   options.Address,
		timeout:   options.Timeout,
		transport: httpcall.NewTransport(options.Dial, maxConnections),
		validate:  validation.New("json"),
	}
}

func (c *httpConn) Get(ctx context.Context) (List, error) {
	return c.read(ctx, nil, c.timeout)
}

func (c *httpConn) Watch(ctx context.Context, after uint64, wait time.Duration) (List, error) {
	wait = min(max(wait, 0), MaximumWait)
	query := url.Values{}
	query.Set(AfterParameter, strconv.FormatUint(after, 10))
	query.Set(WaitParameter, strconv.FormatInt(wait.Milliseconds(), 10))
	list, err := c.read(ctx, query, c.timeout+wait)
	if err != nil {
		return List{}, err
	}
	if list.Version <= after {
		return List{}, fmt.Errorf("%w: watch after version %d gave %d", ErrMalformed, after, list.Version)
	}
	return list, nil
}

func (c *httpConn) read(ctx context.Context, query url.Values, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := httpcall.Send(ctx, c.transport, httpcall.Call{
		Address: c.address, Path: Path, Query: query, MaxBodyBytes: MaximumListBytes,
	})
	if err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.decode(reply.Body, reply.Code)
}

// decode checks a whole reply.
func (c *httpConn) decode(data []byte, code int) (List, error) {
	switch code {
	case http.StatusOK:
	case http.StatusNotModified:
		return List{}, ErrUnchanged
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return List{}, fmt.Errorf("%w: HTTP status %d", ErrUnavailable, code)
	default:
		return List{}, fmt.Errorf("%w: HTTP status %d", ErrMalformed, code)
	}
	list := List{}
	if err := strictjson.Unmarshal(data, responseLimits, &list); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := c.validate.Struct(list); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return list, nil
}
