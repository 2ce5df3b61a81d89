package peer

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
)

// Limits on the forwards that an owner accepts.
const (
	// DefaultForwardBodyBytes is the default limit on the body of one forwarded
	// sub-request.
	DefaultForwardBodyBytes = 1 << 20
	// forwardOverheadBytes is the space allowed for a sub-request's fields other
	// than its body.
	forwardOverheadBytes = 4 << 10
	// maximumForwards limits the forwards that an owner handles concurrently.
	// Together with the size limit of each it bounds their memory use.
	maximumForwards = 2048
	// maximumForwardTime limits the remaining time that a requester may set.
	maximumForwardTime = time.Hour
	// maximumNameBytes limits the length of each name and ID in a forward.
	maximumNameBytes = 128
)

// ForwardTarget sends requests to servers on behalf of other nodes, over
// connections that this node owns. Its methods must be safe for concurrent use.
type ForwardTarget interface {
	// ForwardQuery sends a sub-request directly to a server, never through another
	// node. It is limited by the request's remaining time and by ctx.
	ForwardQuery(ctx context.Context, server string, request *backend.Request) ForwardResult
	// ServerHealth returns the last reading of a server's health. The second
	// result is false if this node owns no connection to the server or has no
	// recent reading.
	ServerHealth(server string) (*backend.Health, bool)
}

// forwardSizeLimit returns the maximum size in bytes of a forward message whose
// body has up to body bytes; zero selects DefaultForwardBodyBytes.
func forwardSizeLimit(body int64) int64 {
	if body == 0 {
		body = DefaultForwardBodyBytes
	}
	return body + forwardOverheadBytes
}

// limitForwards limits the number of concurrent forwards and the size of each.
// Forwards over the first limit are answered with the outcome "busy".
func limitForwards(next http.Handler, maximumBytes int64) http.Handler {
	slots := make(chan struct{}, maximumForwards)
	bounded := http.MaxBytesHandler(next, maximumBytes)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			bounded.ServeHTTP(writer, request)
		default:
			writeBusy(writer)
		}
	})
}

// ForwardQuery implements Peer.
func (s service) ForwardQuery(ctx context.Context, message *ForwardQueryRequest) (*ForwardQueryResponse, error) {
	request, err := requestFromWire(message)
	if err != nil {
		return nil, err
	}
	if s.agent.forwardTarget == nil {
		return &ForwardQueryResponse{Outcome: ForwardQueryResponse_OUTCOME_NOT_OWNER}, nil
	}
	remaining := time.Duration(request.RemainingMilliseconds * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	result := s.agent.forwardTarget.ForwardQuery(ctx, message.GetServer(), request)
	return &ForwardQueryResponse{
		Outcome: outcomeToWire[result.Outcome],
		Reply:   replyToWire(result.Reply),
	}, nil
}

// ReadServerHealth implements Peer.
func (s service) ReadServerHealth(_ context.Context, message *ServerHealthRequest) (*ServerHealthResponse, error) {
	if s.agent.forwardTarget == nil {
		return &ServerHealthResponse{}, nil
	}
	health, known := s.agent.forwardTarget.ServerHealth(message.GetServer())
	if !known {
		return &ServerHealthResponse{}, nil
	}
	return &ServerHealthResponse{
		Known:       true,
		State:       string(health.State),
		Incarnation: health.Incarnation,
		Snapshots:   health.Snapshots,
	}, nil
}

// requestFromWire decodes and validates a forwarded sub-request.
func requestFromWire(message *ForwardQueryRequest) (*backend.Request, error) {
	names := []struct{ field, value string }{
		{"server", message.GetServer()},
		{"attempt_id", message.GetAttemptId()},
		{"request_id", message.GetRequestId()},
		{"service", message.GetService()},
		{"class", message.GetClass()},
	}
	for _, name := range names {
		if name.value == "" || len(name.value) > maximumNameBytes {
			return nil, twirp.InvalidArgumentError(name.field, "is missing or out of bounds")
		}
	}
	remaining := message.GetRemainingMs()
	if math.IsNaN(remaining) || remaining <= 0 || remaining > milliseconds(maximumForwardTime) {
		return nil, twirp.InvalidArgumentError("remaining_ms", "is out of bounds")
	}
	keys := coverage.Range{Start: message.GetRange().GetStart(), End: message.GetRange().GetEnd()}
	if err := keys.Validate(); err != nil {
		return nil, twirp.InvalidArgumentError("range", err.Error())
	}
	return &backend.Request{
		AttemptID:             message.GetAttemptId(),
		RequestID:             message.GetRequestId(),
		Service:               message.GetService(),
		Class:                 message.GetClass(),
		Snapshot:              message.GetSnapshot(),
		Range:                 keys,
		RemainingMilliseconds: remaining,
		Repeatable:            message.GetRepeatable(),
		Body:                  message.GetBody(),
	}, nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
