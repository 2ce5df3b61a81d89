package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/internal/delivery"
	"github.com/banksail/banksail/internal/httpcall"
)

// ForwardOutcome says how far a forwarded sub-request got.
type ForwardOutcome int

// Outcomes of forwards.
const (
	// ForwardUnknown: the server may have executed the sub-request.
	ForwardUnknown ForwardOutcome = iota
	// ForwardReplied: the server answered.
	ForwardReplied
	// ForwardNotSent: no byte of the sub-request was written to the owner.
	ForwardNotSent
	// ForwardNotOwner: the node that was asked owns no connection to the server
	// and did not send the sub-request.
	ForwardNotOwner
	// ForwardLeaving: the owner is shutting down and accepts no new forwards.
	ForwardLeaving
	// ForwardBusy: the owner has reached its limit on forwards.
	ForwardBusy
	// ForwardNotDelivered: the owner wrote no byte of the sub-request to the server.
	ForwardNotDelivered
	// ForwardMalformed: the reply violates the protocol; the server may have
	// executed the sub-request.
	ForwardMalformed
)

var forwardOutcomeNames = map[ForwardOutcome]string{
	ForwardUnknown:      "unknown",
	ForwardReplied:      "replied",
	ForwardNotSent:      "not_sent",
	ForwardNotOwner:     "not_owner",
	ForwardLeaving:      "leaving",
	ForwardBusy:         "busy",
	ForwardNotDelivered: "not_delivered",
	ForwardMalformed:    "malformed",
}

// String returns the name of the outcome in metrics and logs.
func (o ForwardOutcome) String() string { return forwardOutcomeNames[o] }

// ForwardOutcomes returns all outcomes.
func ForwardOutcomes() []ForwardOutcome {
	return []ForwardOutcome{
		ForwardUnknown, ForwardReplied, ForwardNotSent, ForwardNotOwner,
		ForwardLeaving, ForwardBusy, ForwardNotDelivered, ForwardMalformed,
	}
}

// MayHaveReachedServer reports whether a byte of the sub-request may have reached the server.
func (o ForwardOutcome) MayHaveReachedServer() bool {
	switch o {
	case ForwardNotSent, ForwardNotOwner, ForwardLeaving, ForwardBusy, ForwardNotDelivered:
		return false
	default:
		return true
	}
}

// ForwardResult is the result of one forward.
type ForwardResult struct {
	Outcome ForwardOutcome
	// Reply is set if Outcome is ForwardReplied.
	Reply *backend.Reply
	// Err is the cause of an outcome without a reply; it may be nil.
	Err error
}

// Limits and time-outs of forwards.
const (
	// maximumForwardReplyBytes limits the size of an owner's response: a server's
	// reply and 64 KiB for the rest of the message.
	maximumForwardReplyBytes = backend.MaximumReplyBytes + 64<<10
	// forwardConnectionsPerOwner limits the connections to one owner; each
	// carries one forward at a time.
	forwardConnectionsPerOwner = 32
	// idleForwardConnectionsPerOwner limits the idle connections to one owner.
	idleForwardConnectionsPerOwner = 4
	forwardIdleTimeout             = 30 * time.Second
	// forwardDialTimeout limits the time to connect to an owner; the caller
	// then tries another owner.
	forwardDialTimeout = 500 * time.Millisecond
)

// Forwarder sends sub-requests to servers through other nodes. It never sends a
// sub-request twice: if a byte may have been written to an owner that then gave
// no response, the outcome is ForwardUnknown.
type Forwarder struct {
	transport *http.Transport
	client    *http.Client
}

// NewForwarder returns a Forwarder that connects to owners with dial.
func NewForwarder(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Forwarder {
	transport := &http.Transport{
		DialContext: delivery.WrapDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		}),
		MaxConnsPerHost:     forwardConnectionsPerOwner,
		MaxIdleConnsPerHost: idleForwardConnectionsPerOwner,
		IdleConnTimeout:     forwardIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: httpcall.MaximumHeaderBytes,
	}
	return &Forwarder{
		transport: transport,
		client:    &http.Client{Transport: noRetryTransport{next: transport}},
	}
}

// CloseIdleConnections closes connections that carry no forward.
func (f *Forwarder) CloseIdleConnections() { f.transport.CloseIdleConnections() }

// Forward asks the node at address owner to send a sub-request to a server.
// Cancelling ctx also cancels the owner's request to the server.
func (f *Forwarder) Forward(ctx context.Context, owner, server string, request *backend.Request) ForwardResult {
	message := forwardToWire(server, request)
	stub := NewPeerProtobufClient("http://"+owner, f.client)
	for {
		remaining := remainingTime(ctx, request)
		if remaining <= 0 || ctx.Err() != nil {
			return ForwardResult{Outcome: ForwardNotSent, Err: context.DeadlineExceeded}
		}
		message.RemainingMs = milliseconds(remaining)
		tracked, tracker := delivery.Track(ctx)
		answer, err := stub.ForwardQuery(tracked, message)
		if err == nil {
			return forwardFromWire(answer, request)
		}
		if tracker.Seal() {
			return ForwardResult{Outcome: ForwardUnknown, Err: unreachable(err)}
		}
		if !tracker.Reused() {
			return ForwardResult{Outcome: ForwardNotSent, Err: unreachable(err)}
		}
		// A reused connection had been closed before any byte was written. The
		// transport has discarded it, so that there are no more retries than idle
		// connections.
	}
}

// ServerHealth fetches a server's health as an owner last read it. The second
// result is false if the owner has no recent reading. Errors wrap ErrUnreachable
// or ErrMalformed.
func (f *Forwarder) ServerHealth(ctx context.Context, owner, server string) (*backend.Health, bool, error) {
	stub := NewPeerProtobufClient("http://"+owner, f.client)
	answer, err := stub.ReadServerHealth(ctx, &ServerHealthRequest{Server: server})
	if err != nil {
		return nil, false, unreachable(err)
	}
	if !answer.GetKnown() {
		return nil, false, nil
	}
	health, err := healthFromWire(answer)
	return health, err == nil, err
}

// remainingTime returns the time left for a sub-request: its own remaining time
// or the time until the deadline of ctx, whichever is less.
func remainingTime(ctx context.Context, request *backend.Request) time.Duration {
	remaining := time.Duration(request.RemainingMilliseconds * float64(time.Millisecond))
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	return remaining
}

// noRetryTransport sends each request once and limits the size of response
// bodies. The transport of net/http retries a request on its own only if it can
// rewind the body, so GetBody is cleared.
type noRetryTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t noRetryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	once := request.WithContext(request.Context())
	once.GetBody = nil
	response, err := t.next.RoundTrip(once)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{Reader: io.LimitReader(response.Body, maximumForwardReplyBytes), Closer: response.Body}
	return response, nil
}

// forwardFromWire decodes an owner's response and checks the server's reply
// against the request.
func forwardFromWire(answer *ForwardQueryResponse, request *backend.Request) ForwardResult {
	outcome, known := outcomeFromWire[answer.GetOutcome()]
	switch {
	case !known:
		return ForwardResult{Outcome: ForwardUnknown, Err: fmt.Errorf("%w: unknown outcome %d", ErrMalformed, answer.GetOutcome())}
	case outcome != ForwardReplied:
		return ForwardResult{Outcome: outcome}
	}
	reply := replyFromWire(answer.GetReply())
	if err := reply.Check(request); err != nil {
		return ForwardResult{Outcome: ForwardMalformed, Err: err}
	}
	return ForwardResult{Outcome: ForwardReplied, Reply: reply}
}

// writeBusy responds with the outcome "busy" to a forward whose body has not
// been read.
func writeBusy(writer http.ResponseWriter) {
	body, err := proto.Marshal(&ForwardQueryResponse{Outcome: ForwardQueryResponse_OUTCOME_BUSY})
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/protobuf")
	_, _ = writer.Write(body)
}
