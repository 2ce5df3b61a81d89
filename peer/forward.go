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
)

// ForwardOutcome is how far a forwarded sub-request got.
type ForwardOutcome int

// Outcomes of forwards.
const (
	// ForwardUnknown: the server may have executed the sub-request.
	ForwardUnknown ForwardOutcome = iota
	// ForwardReplied: the server answered.
	ForwardReplied
	// ForwardNotSent: no byte was written to the owner.
	ForwardNotSent
	// ForwardNotOwner: the node that was asked owns no connection to the server.
	ForwardNotOwner
	// ForwardLeaving: the owner stops and takes no new forwards.
	ForwardLeaving
	// ForwardBusy: the owner forwards as much as it may.
	ForwardBusy
	// ForwardNotDelivered: the owner wrote no byte to the server.
	ForwardNotDelivered
	// ForwardMalformed: a reply came that does not follow the protocol; the
	// server may have executed the sub-request.
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

// String names the outcome in metrics and logs.
func (o ForwardOutcome) String() string { return forwardOutcomeNames[o] }

// ForwardOutcomes lists all outcomes.
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

// ForwardResult is the end of one forward.
type ForwardResult struct {
	Outcome ForwardOutcome
	// Reply is set when the outcome is ForwardReplied.
	Reply *backend.Reply
	// Err tells more about an outcome without a reply; it may be nil.
	Err error
}

// Bounds and times of forwards.
const (
	// maximumForwardReplyBytes bounds an owner's answer.
	maximumForwardReplyBytes = backend.MaximumReplyBytes + 64<<10
	// forwardConnectionsPerOwner bounds the connections to one owner; each
	// carries one forward at a time.
	forwardConnectionsPerOwner = 32
	// idleForwardConnectionsPerOwner bounds the idle ones.
	idleForwardConnectionsPerOwner = 4
	forwardIdleTimeout             = 30 * time.Second
	// forwardDialTimeout bounds the opening of a connection to an owner; another
	// owner is asked afterwards.
	forwardDialTimeout = 500 * time.Millisecond
)

// Forwarder sends sub-requests to servers through other nodes. It never sends
// one twice: what may have been written to an owner is told as unknown.
type Forwarder struct {
	transport *http.Transport
	client    *http.Client
}

// NewForwarder returns a forwarder that opens connections with dial.
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
	}
	return &Forwarder{
		transport: transport,
		client:    &http.Client{Transport: noRetryTransport{next: transport}},
	}
}

// CloseIdleConnections closes the connections that carry no forward.
func (f *Forwarder) CloseIdleConnections() { f.transport.CloseIdleConnections() }

// Forward asks the owner at an address to send a sub-request to a server. The
// end of the context ends the owner's request to the server as well.
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
		// A kept connection had closed before a byte was written; it is gone
		// now, so this ends with the last of them.
	}
}

// ServerHealth asks an owner what it last read of a server's health. The second
// result is false when the owner knows nothing of late.
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

// remainingTime is the time left for a sub-request: what it says, or less when
// its context ends before.
func remainingTime(ctx context.Context, request *backend.Request) time.Duration {
	remaining := time.Duration(request.RemainingMilliseconds * float64(time.Millisecond))
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	return remaining
}

// noRetryTransport sends each request once and bounds the bodies of replies:
// net/http's transport sends a request again on its own only when its body can
// be rewound, so that way is taken from it.
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

// forwardFromWire takes in an owner's answer.
func forwardFromWire(answer *ForwardQueryResponse, request *backend.Request) ForwardResult {
	outcome, known := outcomeFromWire[answer.GetOutcome()]
	switch {
	case !known:
		return ForwardResult{Outcome: ForwardUnknown, Err: fmt.Errorf("%w: outcome %d", ErrMalformed, answer.GetOutcome())}
	case outcome != ForwardReplied:
		return ForwardResult{Outcome: outcome}
	}
	reply := replyFromWire(answer.GetReply())
	if err := reply.Check(request); err != nil {
		return ForwardResult{Outcome: ForwardMalformed, Err: err}
	}
	return ForwardResult{Outcome: ForwardReplied, Reply: reply}
}

// writeBusy answers a forward whose body is not read.
func writeBusy(writer http.ResponseWriter) {
	body, err := proto.Marshal(&ForwardQueryResponse{Outcome: ForwardQueryResponse_OUTCOME_BUSY})
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/protobuf")
	_, _ = writer.Write(body)
}
