package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/banksail/banksail/membership"
)

const (
	// FindingFanout is the number of peers that a finding is pushed to; each that
	// learns news pushes it on once.
	FindingFanout = 5
	// findingTimeout bounds one push.
	findingTimeout = 500 * time.Millisecond
	// findingPushInterval bounds the rate of pushes; what waits goes together.
	findingPushInterval = 100 * time.Millisecond
	// findingRandomStream keeps the random numbers of the pushes apart from other users
	// of the same seed.
	findingRandomStream = 0x66696e64
)

// SubscribeUnverified calls the function for every server of which another node told
// news, so that the node reads it itself. It must be called before Run.
func (a *Agent) SubscribeUnverified(notify func(server string)) {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	a.servers.onUnverified = notify
}

// LiveNodes lists the IDs of the nodes that share the servers' connections and
// are not suspect, in order.
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

// ServerOwners returns the nodes that hold connections to a server, as Owners does.
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

// findingLoop pushes what the node found, until the context ends.
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

// pushFindings tells a few random peers, and does not wait for the slow ones.
func (a *Agent) pushFindings(ctx context.Context, random *rand.Rand, findings []*ServerFinding) {
	message := &ServerFindings{Findings: findings}
	for _, address := range a.selectFindingPeers(random) {
		a.pendingRequests.Go(func() {
			pushContext, cancel := context.WithTimeout(ctx, findingTimeout)
			defer cancel()
			if _, err := a.stub(address).PushServerFindings(pushContext, message); err != nil {
				a.logger.Debug().Err(err).Str("address", address).Msg("findings not pushed")
			}
		})
	}
}

// selectFindingPeers picks the addresses of a few live members.
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
