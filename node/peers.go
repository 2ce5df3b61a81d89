package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/operator"
	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/spread"
)

// spreadPeers gives the configuration replicator access to the agent's members.
type spreadPeers struct{ agent *peer.Agent }

// Members returns the nodes among which configurations are replicated.
func (r spreadPeers) Members() []spread.Member {
	var members []spread.Member
	for _, member := range r.agent.Members() {
		if member.State == membership.Gone {
			continue
		}
		members = append(members, spread.Member{ID: member.ID, Zone: member.Zone, Revision: member.Revision})
	}
	return members
}

// Fetch requests a member's configuration record.
func (r spreadPeers) Fetch(ctx context.Context, member string, above policy.Revision) (policy.Revision, []byte, error) {
	return r.agent.Fetch(ctx, member, above)
}

// Push sends a configuration record to a member.
func (r spreadPeers) Push(ctx context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error) {
	return r.agent.Push(ctx, member, revision, record)
}

// operatorNodes gives the operator API access to the agent's members.
type operatorNodes struct{ agent *peer.Agent }

// Nodes returns all nodes known to membership. It first queries the nodes that
// appear to be behind the given revision.
func (o operatorNodes) Nodes(ctx context.Context, revision policy.Revision) []operator.Node {
	o.agent.RefreshRevisions(ctx, revision)
	members := o.agent.Members()
	nodes := make([]operator.Node, 0, len(members))
	for _, member := range members {
		nodes = append(nodes, operator.Node{
			ID:       member.ID,
			Address:  member.Address,
			Zone:     member.Zone,
			State:    member.State.String(),
			Revision: member.Revision,
		})
	}
	return nodes
}

// operatorExplanations gives the operator API access to the explanations.
type operatorExplanations struct{ node *Node }

// FindExplanation returns the explanation of a finished request.
func (o operatorExplanations) FindExplanation(requestID string) (json.RawMessage, bool) {
	explanation, found := o.node.FindExplanation(requestID)
	if !found {
		return nil, false
	}
	document, err := json.Marshal(explanation)
	return document, err == nil
}

// handleReply reports to membership what the reply to a sub-request shows about
// its server. Replies of servers that are known to be live are not reported, as
// they add nothing. age is the time since the sub-request was sent.
func (n *Node) handleReply(server string, reply *backend.Reply, age time.Duration) {
	report := membership.ServerReport{Source: membership.FromReply, Condition: membership.ServerAnswered, Age: age}
	if reply.Draining || reply.Status == backend.StatusDraining {
		report.Condition = membership.ServerDraining
		n.agent.ReportServer(server, report)
		return
	}
	if replacesHealthPoll(reply) {
		n.poller.recordReply(server)
	}
	if n.takeReplyReport(server) {
		n.agent.ReportServer(server, report)
	}
}

// handleHealth passes a health poll result to membership and to the shards that
// use the server.
func (n *Node) handleHealth(result pollResult) {
	condition := membership.ServerAnswered
	if result.health.State == backend.HealthDraining {
		condition = membership.ServerDraining
	}
	n.reportServer(result.server, membership.FromHealth, condition, result.health.Incarnation)
	current := n.activeConfig.Load()
	if current == nil {
		return
	}
	observed := dispatch.ServerReported{Server: result.server, Snapshots: snapshotIDs(result.health.Snapshots)}
	if result.load != nil {
		observed.Load = dispatch.Load{InFlight: result.load.InFlight, Queued: result.load.Queued}
	}
	for _, serviceShard := range current.servers[result.server].shards {
		serviceShard.step(observed)
	}
}

// handleUnreachable handles a failure to connect to a server.
func (n *Node) handleUnreachable(server string) {
	n.awaitingReplyReport.Store(server, struct{}{})
	n.poller.clearReply(server)
	n.reportServer(server, membership.FromConnect, membership.ServerUnreachable, "")
}

// takeReplyReport reports whether a reply of the server must be reported to
// membership, because the server was recently unreachable or is suspect there,
// and clears the mark.
func (n *Node) takeReplyReport(server string) bool {
	_, pending := n.awaitingReplyReport.LoadAndDelete(server)
	return pending
}

func (n *Node) reportServer(server string, source membership.ServerSource, condition membership.ServerCondition, incarnation string) {
	n.agent.ReportServer(server, membership.ServerReport{Source: source, Condition: condition, Incarnation: incarnation})
}
