package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/membership"
)

const (
	// FindingFanout is the number of peers to which a finding is pushed. Each
	// peer to which the finding is new pushes it on once.
	FindingFanout = 5
	// findingTimeout limits the duration of one push.
	findingTimeout = 500 * time.Millisecond
	// findingPushInterval is the pause after each push; findings that arrive in
	// the meantime are sent together.
	findingPushInterval = 100 * time.Millisecond
	// findingRandomStream selects a random stream that differs from those of
	// other users of the same seed.
	findingRandomStream = 0x66696e64
)

// SubscribeUnverified calls notify with the ID of every server whose state
// another node has reported, so that this node checks the server's health
// itself. It must be called before Run.
func (a *Agent) SubscribeUnverified(notify func(server string)) {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	a.servers.onUnverified = notify
}

// LiveNodes returns the IDs of the nodes that share the servers' connections and
// are not suspect: members first, then nodes that are only in the machine list,
// each sorted by ID.
func (a *Agent) LiveNodes() []string {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	var live []string
	for _, node := range a.validShareCache().nodes {
		if node.State != membership.Suspect {
			live = append(live, node.ID)
		}
	}
	return live
}

// ServerOwners returns the nodes that own connections to a server; see
// membership.Owners.
func (a *Agent) ServerOwners(server membership.ServerSpec) []membership.Owner {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	return membership.Owners(server, a.validShareCache().nodes)
}

// PushServerFindings implements Peer.
func (s service) PushServerFindings(_ context.Context, request *ServerFindings) (*PushServerFindingsResponse, error) {
	if len(request.GetFindings()) > membership.MaximumServerFindings {
		return nil, twirp.InvalidArgumentError("findings", "are too many")
	}
	findings := make([]membership.ServerFinding, 0, len(request.GetFindings()))
	for _, message := range request.GetFindings() {
		findings = append(findings, membership.ServerFinding{
			ID: message.GetId(), Incarnation: message.GetIncarnation(), Leaving: message.GetLeaving(),
		})
	}
	s.agent.servers.update(func(core *membership.Servers) { core.ReceiveFindings(s.agent.now(), findings) })
	return &PushServerFindingsResponse{}, nil
}

// findingLoop pushes new server findings to peers until ctx is cancelled.
func (a *Agent) findingLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(a.seed, findingRandomStream))
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.servers.findingsReady:
		}
		for findings := a.takeFindings(); len(findings) > 0; findings = a.takeFindings() {
			a.pushFindings(ctx, random, findings)
			sleep(ctx, findingPushInterval)
		}
	}
}

// takeFindings removes the findings to be pushed next from the server table and
// encodes them.
func (a *Agent) takeFindings() []*ServerFinding {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	var messages []*ServerFinding
	for _, finding := range a.servers.core.TakeFindings() {
		messages = append(messages, &ServerFinding{
			Id: finding.ID, Incarnation: finding.Incarnation, Leaving: finding.Leaving,
		})
	}
	return messages
}

// pushFindings sends the findings to a few random peers without waiting for
// their responses.
func (a *Agent) pushFindings(ctx context.Context, random *rand.Rand, findings []*ServerFinding) {
	message := &ServerFindings{Findings: findings}
	for _, address := range a.selectFindingPeers(random) {
		a.pendingRequests.Go(func() {
			pushContext, cancel := context.WithTimeout(ctx, findingTimeout)
			defer cancel()
			if _, err := a.stub(address).PushServerFindings(pushContext, message); err != nil {
				a.logger.Debug().Err(err).Str("address", address).Msg("failed to push server findings")
			}
		})
	}
}

// selectFindingPeers returns the addresses of up to FindingFanout random live
// members.
func (a *Agent) selectFindingPeers(random *rand.Rand) []string {
	var addresses []string
	for _, member := range a.Members() {
		if member.ID != a.selfID && member.State == membership.Live {
			addresses = append(addresses, member.Address)
		}
	}
	count := min(len(addresses), FindingFanout)
	for index := range count {
		other := index + random.IntN(len(addresses)-index)
		addresses[index], addresses[other] = addresses[other], addresses[index]
	}
	return addresses[:count]
}
