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

// Bounds of what an owner takes on.
const (
	// DefaultForwardBodyBytes bounds the body of one forwarded sub-request.
	DefaultForwardBodyBytes = 1 << 20
	// forwardOverheadBytes is what a sub-request takes besides its body.
	forwardOverheadBytes = 4 << 10
	// maximumForwards bounds the forwards that an owner takes at once; together
	// with the bytes of each it bounds what they hold in memory.
	maximumForwards = 2048
	// maximumForwardTime bounds the time that a requester may give a sub-request.
	maximumForwardTime = time.Hour
	// maximumNameBytes bounds the names and IDs in a forward.
	maximumNameBytes = 128
)

// ForwardTarget asks servers for other nodes, over connections that this node
// owns. Its methods are called from several goroutines.
type ForwardTarget interface {
	// ForwardQuery sends a sub-request to a server itself; it never asks another
	// node. The request's remaining time and the context bound it.
	ForwardQuery(ctx context.Context, server string, request *backend.Request) ForwardResult
	// ServerHealth returns what was last read of a server's health; false when
	// this node owns no connection to it or has read nothing lately.
	ServerHealth(server string) (*backend.Health, bool)
}

// forwardSizeLimit is the greatest size of a forward with a body of the given size.
func forwardSizeLimit(body int64) int64 {
	if body == 0 {
		body = DefaultForwardBodyBytes
	}
	return body + forwardOverheadBytes
}

// limitForwards bounds the forwards at once and the bytes of each.
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

// requestFromWire checks a forwarded sub-request.
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
