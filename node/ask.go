package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/dispatch"
)

// backendClient sends sub-requests to servers and polls their health and load.
// *backend.Client and *router implement it.
type backendClient interface {
	Query(ctx context.Context, address string, request *backend.Request) (*backend.Reply, error)
	Health(ctx context.Context, address string) (*backend.Health, error)
	Load(ctx context.Context, address string) (*backend.Load, error)
}

// subRequest is a sub-request in flight: sent, with its result not yet passed
// to the dispatcher.
type subRequest struct {
	send          dispatch.Send
	query         *pendingQuery
	attemptPrefix string
	// cancel ends the sub-request's context.
	cancel context.CancelFunc
}

// backendSender sends sub-requests with a backendClient.
type backendSender struct {
	client backendClient
	// onReply is called with every well-formed reply; age is the time since the
	// sub-request was sent.
	onReply func(server string, reply *backend.Reply, age time.Duration)
	// onUnreachable is called with the ID of each server to which no connection
	// could be opened.
	onUnreachable func(server string)
}

// sendSubRequest sends one sub-request and returns its result. If every owner
// is at its forward limit, the result is a synthetic "shed" reply.
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

// ownersBusyReply returns the reply used for a sub-request that every owner
// rejected because it was at its forward limit.
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

// failureReason returns a short description that contains no addresses or
// bodies.
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

// convertReply converts a well-formed reply whose attempt ID matches. A reply
// that reports "not executed" may omit the snapshot and the range; those of the
// sub-request are used then.
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

// convertStatus converts a reply status. An invalid sub-request was not
// executed, so it is treated like one sent to a server that does not own the
// range.
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
