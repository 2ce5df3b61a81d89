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

// Paths, parameters and limits of the machine list's HTTP protocol.
const (
	Path           = "/v1/machines"
	AfterParameter = "after"
	WaitParameter  = "wait_ms"

	// MaximumListBytes is the maximum size of a reply in bytes.
	MaximumListBytes = 16 << 20
	// MaximumWait is the maximum wait time of a long poll.
	MaximumWait = time.Minute
)

// Defaults of HTTPOptions, and the connection limit.
const (
	DefaultTimeout = 5 * time.Second

	maxConnections = 2
)

// responseLimits are the limits of a reply's JSON document.
var responseLimits = strictjson.Limits{Bytes: MaximumListBytes}

// HTTPOptions configures an HTTP client of the machine list. Zero fields are replaced by
// defaults.
type HTTPOptions struct {
	// Address is the IP address and port of the machine list.
	Address string
	// Dial opens connections. The default is a TCP connection of the operating system.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout is the timeout of each call. A watch may take its wait time in addition.
	Timeout time.Duration
}

type httpConn struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
	validate  *validator.Validate
}

// NewHTTP returns a Conn that reads the machine list over HTTP.
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
		return List{}, fmt.Errorf("%w: watch after version %d returned version %d", ErrMalformed, after, list.Version)
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

// decode validates a complete reply and returns its list.
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
