package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/dispatch"
)

// backendClient is what the node needs of the client towards back ends.
type backendClient interface {
	Query(ctx context.Context, address string, request *backend.Request) (*backend.Reply, error)
	Health(ctx context.Context, address string) (*backend.Health, error)
	Load(ctx context.Context, address string) (*backend.Load, error)
}

// subRequest is one sub-request that was sent and not yet reported back.
type subRequest struct {
	send          dispatch.Send
	query         *pendingQuery
	attemptPrefix string
	// cancel ends the sub-request's context.
	cancel context.CancelFunc
}

// backendSender sends sub-requests through the client towards back ends.
type backendSender struct {
	client backendClient
	// onReply is told of every well-formed reply of a server.
	onReply func(server string, reply *backend.Reply, age time.Duration)
	// onUnreachable is told of every server to which no connection could be made.
	onUnreachable func(server string)
}

// sendSubRequest sends one sub-request and waits for its end.
func (b *backendSender) sendSubRequest(ctx context.Context, outgoing *subRequest) dispatch.Event {
	attempt := outgoing.send.Attempt
	sent := time.Now()
	reply, err := b.client.Query(ctx, outgoing.send.Address, outgoing.request())
	if err != nil {
		if ctx.Err() == nil && errors.Is(err, backend.ErrNotDelivered) && !errors.Is(err, errNoOwner) {
			b.onUnreachable(outgoing.send.Server)
		}
		if ctx.Err() == nil && errors.Is(err, errOwnersBusy) {
			return dispatch.AttemptReplied{Attempt: attempt, Reply: ownersBusyReply(outgoing.send)}
		}
		return dispatch.AttemptFailed{Attempt: attempt, Delivery: deliveryFromError(err), Reason: failureReason(ctx, err)}
	}
	b.onReply(outgoing.send.Server, reply, time.Since(sent))
	return dispatch.AttemptReplied{Attempt: attempt, Reply: convertReply(outgoing.send, reply)}
}

// ownersBusyReply is the reply to a sub-request that no owner has room for.
func ownersBusyReply(sent dispatch.Send) dispatch.Reply {
	return dispatch.Reply{
		Status:     dispatch.ReplyShed,
		Snapshot:   sent.Snapshot,
		Range:      sent.Range,
		RetryAfter: ownersRetryAfter,
	}
}

func (s *subRequest) request() *backend.Request {
	original := &s.query.request
	return &backend.Request{
		AttemptID:             s.attemptPrefix + strconv.FormatUint(uint64(s.send.Attempt), 10),
		RequestID:             original.RequestID,
		Service:               original.Service,
		Class:                 original.Class,
		Snapshot:              uint64(s.send.Snapshot),
		Range:                 s.send.Range,
		RemainingMilliseconds: milliseconds(s.send.Remaining),
		Repeatable:            original.Repeatable,
		Body:                  original.Body,
	}
}

func deliveryFromError(err error) dispatch.Delivery {
	if errors.Is(err, backend.ErrNotDelivered) {
		return dispatch.NotDelivered
	}
	return dispatch.DeliveryUnknown
}

// failureReason is a short text without addresses or bodies.
func failureReason(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return "cancelled"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, backend.ErrNotDelivered):
		return "not delivered"
	case errors.Is(err, backend.ErrMalformed):
		return "malformed reply"
	default:
		return "connection lost"
	}
}

// convertReply translates a well-formed reply that echoes the attempt ID. A reply
// that says not executed may leave out the snapshot and the range.
func convertReply(sent dispatch.Send, reply *backend.Reply) dispatch.Reply {
	translated := dispatch.Reply{
		Status:     convertStatus(reply.Status),
		Snapshot:   sent.Snapshot,
		Range:      sent.Range,
		Body:       reply.Body,
		Snapshots:  snapshotIDs(reply.Snapshots),
		RetryAfter: time.Duration(reply.RetryAfterMilliseconds * float64(time.Millisecond)),
	}
	if reply.Snapshot != nil {
		translated.Snapshot = dispatch.SnapshotID(*reply.Snapshot)
	}
	if reply.Range != nil {
		translated.Range = *reply.Range
	}
	if reply.Load != nil {
		translated.Load = dispatch.Load{InFlight: reply.Load.InFlight, Queued: reply.Load.Queued}
	}
	return translated
}

// convertStatus translates a status. An invalid sub-request was not executed, as one
// sent to a server that does not hold the range.
func convertStatus(status backend.Status) dispatch.ReplyStatus {
	switch status {
	case backend.StatusDone:
		return dispatch.ReplyDone
	case backend.StatusShed:
		return dispatch.ReplyShed
	case backend.StatusDraining:
		return dispatch.ReplyDraining
	case backend.StatusUnknownSnapshot:
		return dispatch.ReplyUnknownSnapshot
	case backend.StatusNotOwner, backend.StatusInvalid:
		return dispatch.ReplyNotOwner
	default:
		return dispatch.ReplyError
	}
}

func snapshotIDs(listed []uint64) []dispatch.SnapshotID {
	if len(listed) == 0 {
		return nil
	}
	snapshots := make([]dispatch.SnapshotID, len(listed))
	for index, snapshot := range listed {
		snapshots[index] = dispatch.SnapshotID(snapshot)
	}
	return snapshots
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
