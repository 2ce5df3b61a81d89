package store

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/internal/strictjson"
)

// Default values of HTTPOptions.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultConnections = 4

	millisecondsPerSecond = 1000
)

// HTTPOptions configures a connection over HTTP. Zero fields are set to their
// defaults.
type HTTPOptions struct {
	// Address is the IP address and port of the service.
	Address string
	// Dial opens connections. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout limits each call. For a watch it is added to the wait time.
	Timeout time.Duration
	// Connections is the maximum number of open connections.
	Connections int
}

// httpConn implements Conn over HTTP.
type httpConn struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
}

// NewHTTP returns a connection to the service at options.Address. It never
// sends a change twice.
func NewHTTP(options HTTPOptions) Conn {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	options.Timeout = cmp.Or(options.Timeout, DefaultTimeout)
	options.Connections = cmp.Or(options.Connections, DefaultConnections)
	return &httpConn{
		address:   options.Address,
		timeout:   options.Timeout,
		transport: httpcall.NewTransport(delivery.WrapDial(options.Dial), options.Connections),
	}
}

func (c *httpConn) Get(ctx context.Context, key string) (Record, error) {
	if err := ValidateKey(key); err != nil {
		return Record{}, err
	}
	reply, err := c.do(ctx, httpcall.Call{Path: RecordsPath + key, MaxBodyBytes: MaximumValueBytes}, 0)
	if err != nil {
		return Record{}, readOnlyError(err)
	}
	return decodeRecord(reply)
}

func (c *httpConn) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error) {
	if err := ValidateKey(key); err != nil {
		return Record{}, err
	}
	wait = min(max(wait, 0), MaximumWait)
	query := url.Values{}
	query.Set(AfterParameter, strconv.FormatUint(after, 10))
	query.Set(WaitParameter, strconv.FormatInt(wait.Milliseconds(), 10))
	reply, err := c.do(ctx, httpcall.Call{Path: RecordsPath + key, Query: query, MaxBodyBytes: MaximumValueBytes}, wait)
	if err != nil {
		return Record{}, readOnlyError(err)
	}
	record, err := decodeRecord(reply)
	if err != nil {
		return Record{}, err
	}
	if record.Revision <= after {
		return Record{}, fmt.Errorf("%w: watch after revision %d gave %d", ErrMalformed, after, record.Revision)
	}
	return record, nil
}

func (c *httpConn) Put(ctx context.Context, key string, value []byte, base uint64, lease LeaseID) (Record, error) {
	if err := validatePut(key, value, lease); err != nil {
		return Record{}, err
	}
	header := http.Header{}
	if base == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", FormatETag(base))
	}
	query := url.Values{}
	if lease != "" {
		query.Set(LeaseParameter, string(lease))
	}
	reply, err := c.do(ctx, httpcall.Call{
		Method: http.MethodPut, Path: RecordsPath + key, Query: query, Header: header, Body: value, MaxBodyBytes: MaximumLeaseBytes,
	}, 0)
	if err != nil {
		return Record{}, err
	}
	if err := changeStatusError(reply.Code); err != nil {
		return Record{}, err
	}
	revision, err := ParseETag(reply.Header.Get("ETag"))
	if err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if revision <= base {
		return Record{}, fmt.Errorf("%w: %w: put on base revision %d returned revision %d", ErrOutcomeUnknown, ErrMalformed, base, revision)
	}
	return Record{Value: value, Revision: revision}, nil
}

func (c *httpConn) Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error) {
	body, err := json.Marshal(GrantRequest{
		TimeToLiveMilliseconds: timeToLive.Seconds() * millisecondsPerSecond,
	})
	if err != nil {
		return "", fmt.Errorf("store: encoding the grant request: %w", err)
	}
	reply, err := c.do(ctx, httpcall.Call{Method: http.MethodPost, Path: LeasesPath, Body: body, MaxBodyBytes: MaximumLeaseBytes}, 0)
	if err != nil {
		return "", err
	}
	if err := changeStatusError(reply.Code); err != nil {
		return "", err
	}
	return decodeGrant(reply.Body)
}

func (c *httpConn) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.changeLease(ctx, http.MethodPut, lease)
}

func (c *httpConn) Revoke(ctx context.Context, lease LeaseID) error {
	return c.changeLease(ctx, http.MethodDelete, lease)
}

func (c *httpConn) changeLease(ctx context.Context, method string, lease LeaseID) error {
	if err := ValidateKey(string(lease)); err != nil {
		return err
	}
	reply, err := c.do(ctx, httpcall.Call{Method: method, Path: LeasesPath + "/" + string(lease), MaxBodyBytes: MaximumLeaseBytes}, 0)
	if err != nil {
		return err
	}
	return changeStatusError(reply.Code)
}

// do sends one call. wait is the time for which the service may delay the
// reply, in addition to the timeout. Without a complete reply, the error is
// ErrUnavailable if no byte was written and ErrOutcomeUnknown otherwise.
func (c *httpConn) do(ctx context.Context, call httpcall.Call, wait time.Duration) (httpcall.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	ctx, tracker := delivery.Track(ctx)
	call.Address = c.address
	reply, err := httpcall.Send(ctx, c.transport, call)
	if err != nil {
		return httpcall.Reply{}, classifyCallError(tracker, err)
	}
	return reply, nil
}

// classifyCallError maps the error of a call without a complete reply,
// depending on whether a byte of the request was written.
func classifyCallError(tracker *delivery.Tracker, err error) error {
	if errors.Is(err, strictjson.ErrTooLarge) {
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if tracker.Seal() {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// readOnlyError maps the error of a call that changes nothing: a lost reply
// means only that the service is unavailable. ErrMalformed is kept.
func readOnlyError(err error) error {
	if errors.Is(err, ErrMalformed) {
		return fmt.Errorf("%w: %s", ErrMalformed, err.Error())
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %s", ErrUnavailable, err.Error())
	}
	return err
}
