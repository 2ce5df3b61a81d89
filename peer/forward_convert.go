package peer

import (
	"fmt"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/membership"
)

var outcomeToWire = map[ForwardOutcome]ForwardQueryResponse_Outcome{
	ForwardReplied:      ForwardQueryResponse_OUTCOME_REPLIED,
	ForwardNotOwner:     ForwardQueryResponse_OUTCOME_NOT_OWNER,
	ForwardLeaving:      ForwardQueryResponse_OUTCOME_LEAVING,
	ForwardBusy:         ForwardQueryResponse_OUTCOME_BUSY,
	ForwardNotDelivered: ForwardQueryResponse_OUTCOME_NOT_DELIVERED,
	ForwardUnknown:      ForwardQueryResponse_OUTCOME_UNKNOWN,
	ForwardMalformed:    ForwardQueryResponse_OUTCOME_MALFORMED,
}

var outcomeFromWire = invertOutcomes()

func invertOutcomes() map[ForwardQueryResponse_Outcome]ForwardOutcome {
	inverted := make(map[ForwardQueryResponse_Outcome]ForwardOutcome, len(outcomeToWire))
	for outcome, message := range outcomeToWire {
		inverted[message] = outcome
	}
	return inverted
}

func forwardToWire(server string, request *backend.Request) *ForwardQueryRequest {
	return &ForwardQueryRequest{
		Server:     server,
		AttemptId:  request.AttemptID,
		RequestId:  request.RequestID,
		Service:    request.Service,
		Class:      request.Class,
		Snapshot:   request.Snapshot,
		Range:      rangeToWire(&request.Range),
		Repeatable: request.Repeatable,
		Body:       request.Body,
	}
}

func rangeToWire(keys *coverage.Range) *KeyRange {
	if keys == nil {
		return nil
	}
	return &KeyRange{Start: keys.Start, End: keys.End}
}

func replyToWire(reply *backend.Reply) *ServerReply {
	if reply == nil {
		return nil
	}
	message := &ServerReply{
		AttemptId:    reply.AttemptID,
		Status:       string(reply.Status),
		Snapshot:     reply.Snapshot,
		Range:        rangeToWire(reply.Range),
		Body:         reply.Body,
		Snapshots:    reply.Snapshots,
		Draining:     reply.Draining,
		RetryAfterMs: reply.RetryAfterMilliseconds,
		Message:      reply.Message,
	}
	if load := reply.Load; load != nil {
		message.Load = &ServerLoad{
			InFlight:  uint32(load.InFlight),
			Queued:    uint32(load.Queued),
			Snapshots: load.Snapshots,
		}
	}
	return message
}

func replyFromWire(message *ServerReply) *backend.Reply {
	reply := &backend.Reply{
		AttemptID:              message.GetAttemptId(),
		Status:                 backend.Status(message.GetStatus()),
		Body:                   message.GetBody(),
		Snapshots:              message.GetSnapshots(),
		Draining:               message.GetDraining(),
		RetryAfterMilliseconds: message.GetRetryAfterMs(),
		Message:                message.GetMessage(),
	}
	if message != nil {
		reply.Snapshot = message.Snapshot
	}
	if keys := message.GetRange(); keys != nil {
		reply.Range = &coverage.Range{Start: keys.GetStart(), End: keys.GetEnd()}
	}
	if load := message.GetLoad(); load != nil {
		reply.Load = &backend.Load{
			InFlight:  int(load.GetInFlight()),
			Queued:    int(load.GetQueued()),
			Snapshots: load.GetSnapshots(),
		}
	}
	return reply
}

// healthFromWire decodes and validates a server's health as read by an owner.
// Errors wrap ErrMalformed.
func healthFromWire(message *ServerHealthResponse) (*backend.Health, error) {
	state := backend.HealthState(message.GetState())
	switch {
	case state != backend.HealthStarting && state != backend.HealthReady && state != backend.HealthDraining:
		return nil, fmt.Errorf("%w: unknown health state", ErrMalformed)
	case len(message.GetIncarnation()) > membership.MaximumIDBytes:
		return nil, fmt.Errorf("%w: incarnation too long", ErrMalformed)
	case len(message.GetSnapshots()) > backend.MaximumSnapshots:
		return nil, fmt.Errorf("%w: snapshots", ErrMalformed)
	}
	return &backend.Health{
		State:       state,
		Incarnation: message.GetIncarnation(),
		Snapshots:   message.GetSnapshots(),
	}, nil
}
