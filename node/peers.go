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

// spreadPeers shows the agent's members to the configuration replicator.
type spreadPeers struct{ agent *peer.Agent }

// Members lists the nodes that take part in spreading configurations.
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

// Fetch asks a member for its record.
func (r spreadPeers) Fetch(ctx context.Context, member string, above policy.Revision) (policy.Revision, []byte, error) {
	return r.agent.Fetch(ctx, member, above)
}

// Push offers a record to a member.
func (r spreadPeers) Push(ctx context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error) {
	return r.agent.Push(ctx, member, revision, record)
}

// operatorNodes shows the agent's members to the operators' API.
type operatorNodes struct{ agent *peer.Agent }

// Nodes lists all nodes that membership knows, having asked those that seem
// behind the revision.
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

// operatorExplanations shows the explanations to the operators' API.
type operatorExplanations struct{ node *Node }

// Explanation finds the explanation of a finished request.
func (o operatorExplanations) Explanation(requestID string) (json.RawMessage, bool) {
	explanation, found := o.node.Explain(requestID)
	if !found {
		return nil, false
	}
	document, err := json.Marshal(explanation)
	return document, err == nil
}

// handleReply tells membership what a reply to a sub-request says of its server.
// Replies of servers that are known as live say nothing new.
// age is the time since the sub-request was sent.
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

// handleHealth takes a reading of a server's health.
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

// handleUnreachable takes a failure to connect to a server.
func (n *Node) handleUnreachable(server string) {
	n.awaitingReplyReport.Store(server, struct{}{})
	n.poller.clearReply(server)
	n.reportServer(server, membership.FromConnect, membership.ServerUnreachable, "")
}

// takeReplyReport says whether a reply of the server is news: it could not be reached
// lately, or membership does not know it as live.
func (n *Node) takeReplyReport(server string) bool {
	_, troubled := n.awaitingReplyReport.LoadAndDelete(server)
	return troubled
}

func (n *Node) reportServer(server string, source membership.ServerSource, condition membership.ServerCondition, incarnation string) {
	n.agent.ReportServer(server, membership.ServerReport{Source: source, Condition: condition, Incarnation: incarnation})
}
