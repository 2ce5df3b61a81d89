package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/policy"
)

// Errors that Client's methods wrap.
var (
	// ErrUnreachable means that no connection to the node could be made. Nothing was sent.
	ErrUnreachable = errors.New("operator: node can't be reached")
	// ErrNoAnswer means that the request may have been sent but no complete response was
	// received.
	ErrNoAnswer = errors.New("operator: no complete response from node")
)

// Limits of the client.
const (
	// DefaultClientTimeout is the default timeout of one request. It is longer than a
	// confirmation takes.
	DefaultClientTimeout = 15 * time.Second
	maxResponseBytes     = 32 << 20
	maxClientConnections = 2
)

// ProblemError is a problem document that a node returned.
type ProblemError struct{ Problem Problem }

// Error returns the title and the detail of the problem.
func (e *ProblemError) Error() string {
	return e.Problem.Title + ": " + e.Problem.Detail
}

// Client is a client of one node's operator API.
type Client struct {
	address   string
	timeout   time.Duration
	transport http.RoundTripper
}

// NewClient returns a client of the operator API at an address, given as host and port. The
// timeout applies to each request.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{address: address, timeout: timeout, transport: httpcall.NewTransport(nil, maxClientConnections)}
}

// SetTransport replaces the HTTP transport. It must be called before the first request.
func (c *Client) SetTransport(transport http.RoundTripper) { c.transport = transport }

// Plan submits an intent and returns its plan.
func (c *Client) Plan(ctx context.Context, intent policy.Intent) (policy.Plan, error) {
	var plan policy.Plan
	err := c.call(ctx, http.MethodPost, "/plans", intent, &plan)
	return plan, err
}

// Confirm submits a plan to be applied. A *ProblemError has a receipt if the node processed the
// plan.
func (c *Client) Confirm(ctx context.Context, plan policy.Plan) (policy.Receipt, error) {
	var receipt policy.Receipt
	err := c.call(ctx, http.MethodPost, "/confirmations", plan, &receipt)
	return receipt, err
}

// Outcome reports whether a plan, made for a base revision, was applied.
func (c *Client) Outcome(ctx context.Context, planID string, base policy.Revision) (policy.Receipt, error) {
	var receipt policy.Receipt
	path := "/plans/" + url.PathEscape(planID) + "?base=" + strconv.FormatUint(uint64(base), 10)
	err := c.call(ctx, http.MethodGet, path, nil, &receipt)
	return receipt, err
}

// Configuration returns the active configuration of the node.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var configuration Configuration
	err := c.call(ctx, http.MethodGet, "/configuration", nil, &configuration)
	return configuration, err
}

// History returns the latest changes of the configuration.
func (c *Client) History(ctx context.Context) (History, error) {
	var history History
	err := c.call(ctx, http.MethodGet, "/history", nil, &history)
	return history, err
}

// Status returns the state of all nodes.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Explanation returns the explanation of a finished request as a JSON document.
func (c *Client) Explanation(ctx context.Context, requestID string) (json.RawMessage, error) {
	var document json.RawMessage
	err := c.call(ctx, http.MethodGet, "/explanations/"+url.PathEscape(requestID), nil, &document)
	return document, err
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	call := httpcall.Call{
		Method: method, Address: c.address, Path: RootPath + path, MaxBodyBytes: maxResponseBytes,
		Header: http.Header{"Accept": {httpcall.JSON + ", " + ProblemContentType}},
	}
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		call.Body = encoded
		call.Header.Set("Content-Type", httpcall.JSON)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := httpcall.Send(ctx, c.transport, call)
	if err != nil {
		return sendError(err)
	}
	if reply.Code != http.StatusOK {
		return problemError(reply)
	}
	if err := json.Unmarshal(reply.Body, answer); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return nil
}

// sendError distinguishes a failure to connect (ErrUnreachable) from a missing response
// (ErrNoAnswer).
func sendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

func problemError(reply httpcall.Reply) error {
	var problem Problem
	if err := json.Unmarshal(reply.Body, &problem); err != nil || problem.Title == "" {
		return fmt.Errorf("%w: HTTP status %d", ErrNoAnswer, reply.Code)
	}
	return &ProblemError{Problem: problem}
}
