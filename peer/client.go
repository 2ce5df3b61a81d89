package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/wire"
	"github.com/banksail/banksail/policy"
)

// boundedClient returns a copy of client that reads at most maximumReplyBytes of
// a response body. A nil client selects http.DefaultClient.
func boundedClient(client *http.Client) *http.Client {
	if client == nil {
		client = http.DefaultClient
	}
	bounded := *client
	bounded.Transport = boundedTransport{next: client.Transport}
	return &bounded
}

// boundedTransport limits response bodies to maximumReplyBytes.
type boundedTransport struct{ next http.RoundTripper }

func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	next := t.next
	if next == nil {
		next = http.DefaultTransport
	}
	response, err := next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{Reader: io.LimitReader(response.Body, maximumReplyBytes), Closer: response.Body}
	return response, nil
}

// boundedBody reads from a limited reader and closes the underlying body.
type boundedBody struct {
	io.Reader
	io.Closer
}

// stub returns a twirp client for the peer at address.
func (a *Agent) stub(address string) Peer {
	return NewPeerProtobufClient("http://"+address, a.client)
}

// exchange sends one request of the node table to a peer.
func (a *Agent) exchange(ctx context.Context, request membership.Request) (membership.Result, error) {
	switch request.Kind {
	case membership.IndirectProbe:
		return a.probeIndirectly(ctx, request)
	case membership.Sync:
		return a.sync(ctx, request)
	default:
		return a.gossip(ctx, request)
	}
}

// gossip probes a peer directly and exchanges membership updates with it.
func (a *Agent) gossip(ctx context.Context, request membership.Request) (membership.Result, error) {
	reply, err := a.stub(request.To.Address).Gossip(ctx, &GossipRequest{
		Sender:         wire.FromMember(request.Sender),
		Updates:        wire.FromMembers(request.Updates),
		LeavingServers: a.takeLeavingServers(),
	})
	if err != nil {
		return membership.Result{}, unreachable(err)
	}
	a.receiveLeavingServers(reply.GetLeavingServers())
	responder, ok := wire.ToMember(reply.GetResponder())
	if !ok {
		return membership.Result{}, fmt.Errorf("%w: invalid responder", ErrMalformed)
	}
	updates := wire.ToMembers(reply.GetUpdates(), membership.MaximumUpdates)
	return membership.Result{Responder: responder, Updates: updates}, nil
}

// probeIndirectly asks a peer to probe the target on this node's behalf, within
// half of the request's timeout.
func (a *Agent) probeIndirectly(ctx context.Context, request membership.Request) (membership.Result, error) {
	reply, err := a.stub(request.To.Address).ProbeIndirect(ctx, &ProbeIndirectRequest{
		Target:    wire.FromMember(request.Target),
		TimeoutMs: uint32(request.Timeout.Milliseconds() / 2),
	})
	if err != nil {
		return membership.Result{}, unreachable(err)
	}
	if !reply.GetReached() {
		return membership.Result{}, nil
	}
	target, ok := wire.ToMember(reply.GetTarget())
	if !ok {
		return membership.Result{}, fmt.Errorf("%w: invalid target", ErrMalformed)
	}
	return membership.Result{Responder: target, Reached: true}, nil
}

// sync fetches the entries of a peer's member table that differ from this node's.
func (a *Agent) sync(ctx context.Context, request membership.Request) (membership.Result, error) {
	reply, err := a.stub(request.To.Address).ListMembers(ctx, &ListMembersRequest{
		Sender:      wire.FromMember(request.Sender),
		Digests:     request.Digests,
		FirstBucket: uint32(request.FirstBucket),
	})
	if err != nil {
		return membership.Result{}, unreachable(err)
	}
	responder, ok := wire.ToMember(reply.GetResponder())
	if !ok {
		return membership.Result{}, fmt.Errorf("%w: invalid responder", ErrMalformed)
	}
	return membership.Result{
		Responder:  responder,
		Updates:    wire.ToMembers(reply.GetMembers(), membership.MaximumSyncMembers),
		More:       reply.GetMore(),
		NextBucket: int(reply.GetNextBucket() % membership.DigestBuckets),
	}, nil
}

// Fetch returns the configuration record in force at a member, and its revision.
// The revision is zero if the member has none greater than above. Errors wrap
// ErrUnknownMember, ErrUnreachable or ErrMalformed.
func (a *Agent) Fetch(ctx context.Context, member string, above policy.Revision) (policy.Revision, []byte, error) {
	address, err := a.address(member)
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	reply, err := a.stub(address).FetchConfiguration(ctx, &FetchConfigurationRequest{Above: uint64(above)})
	if err != nil {
		return 0, nil, unreachable(err)
	}
	revision := policy.Revision(reply.GetRevision())
	if revision <= above {
		return 0, nil, nil
	}
	if len(reply.GetRecord()) == 0 || len(reply.GetRecord()) > MaximumConfigurationBytes {
		return 0, nil, fmt.Errorf("%w: configuration of %d bytes", ErrMalformed, len(reply.GetRecord()))
	}
	return revision, reply.GetRecord(), nil
}

// Push offers a configuration record to a member and returns the revision in
// force there afterwards. Errors wrap ErrUnknownMember, ErrUnreachable or
// ErrTooLarge.
func (a *Agent) Push(ctx context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error) {
	if len(record) > MaximumConfigurationBytes {
		return 0, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(record))
	}
	address, err := a.address(member)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	reply, err := a.stub(address).PushConfiguration(ctx, &Configuration{Revision: uint64(revision), Record: record})
	if err != nil {
		return 0, unreachable(err)
	}
	return policy.Revision(reply.GetRevision()), nil
}

// address returns the address of a member that is not gone.
func (a *Agent) address(id string) (string, error) {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	member, ok := a.nodes.core.Lookup(id)
	if !ok || member.State == membership.Gone {
		return "", fmt.Errorf("%w: %q", ErrUnknownMember, id)
	}
	return member.Address, nil
}

// unreachable joins ErrUnreachable with a transport error.
func unreachable(err error) error {
	return errors.Join(ErrUnreachable, err)
}
