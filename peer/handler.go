package peer

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/wire"
	"github.com/banksail/banksail/policy"
)

// service implements the generated Peer interface for an agent.
type service struct{ agent *Agent }

var _ Peer = service{}

// newHandler returns the agent's twirp server, with a limit on request bodies
// that depends on the method.
func newHandler(agent *Agent) http.Handler {
	server := NewPeerServer(service{agent: agent})
	configurations := http.MaxBytesHandler(server, maximumRequestBytes)
	others := http.MaxBytesHandler(server, maximumGossipBytes)
	forwards := limitForwards(server, agent.maximumForwardBytes)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case strings.HasSuffix(request.URL.Path, "/PushConfiguration"):
			configurations.ServeHTTP(writer, request)
		case strings.HasSuffix(request.URL.Path, "/ForwardQuery"):
			forwards.ServeHTTP(writer, request)
		default:
			others.ServeHTTP(writer, request)
		}
	})
}

// Gossip implements Peer.
func (s service) Gossip(_ context.Context, request *GossipRequest) (*GossipResponse, error) {
	sender, ok := wire.ToMember(request.GetSender())
	if !ok {
		return nil, twirp.InvalidArgumentError("sender", "is missing or out of bounds")
	}
	updates := wire.ToMembers(request.GetUpdates(), membership.MaximumUpdates)
	table := &s.agent.nodes
	table.mutex.Lock()
	self, reply := table.core.Receive(s.agent.now(), sender, updates)
	table.mutex.Unlock()
	s.agent.receiveLeavingServers(request.GetLeavingServers())
	return &GossipResponse{
		Responder:      wire.FromMember(self),
		Updates:        wire.FromMembers(reply),
		LeavingServers: s.agent.takeLeavingServers(),
	}, nil
}

// ProbeIndirect implements Peer.
func (s service) ProbeIndirect(ctx context.Context, request *ProbeIndirectRequest) (*ProbeIndirectResponse, error) {
	target, ok := wire.ToMember(request.GetTarget())
	if !ok {
		return nil, twirp.InvalidArgumentError("target", "is missing or out of bounds")
	}
	timeout := time.Duration(request.GetTimeoutMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, min(timeout, MaximumProbeTimeout))
	defer cancel()
	reply, err := s.agent.stub(target.Address).Gossip(ctx, &GossipRequest{
		Sender:  wire.FromMember(s.agent.Self()),
		Updates: []*wire.Member{request.GetTarget()},
	})
	if err != nil {
		return &ProbeIndirectResponse{}, nil
	}
	responder, ok := wire.ToMember(reply.GetResponder())
	if !ok || responder.ID != target.ID {
		return &ProbeIndirectResponse{}, nil
	}
	return &ProbeIndirectResponse{Reached: true, Target: wire.FromMember(responder)}, nil
}

// FetchConfiguration implements Peer.
func (s service) FetchConfiguration(_ context.Context, request *FetchConfigurationRequest) (*Configuration, error) {
	if s.agent.configurations == nil {
		return &Configuration{}, nil
	}
	revision, record := s.agent.configurations.RecordAbove(policy.Revision(request.GetAbove()))
	return &Configuration{Revision: uint64(revision), Record: record}, nil
}

// PushConfiguration implements Peer.
func (s service) PushConfiguration(_ context.Context, request *Configuration) (*PushConfigurationResponse, error) {
	if s.agent.configurations == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the node keeps no configuration")
	}
	revision := policy.Revision(request.GetRevision())
	if err := s.agent.configurations.Offer(revision, request.GetRecord()); err != nil {
		return nil, twirp.InvalidArgumentError("record", err.Error())
	}
	return &PushConfigurationResponse{Revision: uint64(s.agent.configurations.Revision())}, nil
}

// ListMembers implements Peer.
func (s service) ListMembers(_ context.Context, request *ListMembersRequest) (*ListMembersResponse, error) {
	sender, ok := wire.ToMember(request.GetSender())
	if !ok {
		return nil, twirp.InvalidArgumentError("sender", "is missing or out of bounds")
	}
	firstBucket := int(request.GetFirstBucket() % membership.DigestBuckets)
	table := &s.agent.nodes
	table.mutex.Lock()
	reply := table.core.ReceiveSync(s.agent.now(), sender, request.GetDigests(), firstBucket)
	table.mutex.Unlock()
	return &ListMembersResponse{
		Members:    wire.FromMembers(reply.Members),
		Responder:  wire.FromMember(reply.Responder),
		More:       reply.More,
		NextBucket: uint32(reply.NextBucket),
	}, nil
}
