package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
)

// membersInterval is the time between two looks at the live nodes, which share
// the servers' connections.
const membersInterval = 500 * time.Millisecond

// watchMembers shares out the servers' connections anew whenever the live nodes
// change, until ctx ends.
func (n *Node) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for {
		n.shareConnections()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shareConnections takes over the live nodes if they changed. A node that stops
// keeps what it has: it is no longer counted as live, but its running queries
// need their connections to the end.
func (n *Node) shareConnections() {
	if n.stopping.Load() {
		return
	}
	var live []string
	for _, member := range n.agent.Members() {
		if member.State == membership.Live || member.State == membership.Suspect {
			live = append(live, member.ID)
		}
	}
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	if slices.Equal(live, n.liveNodes) {
		return
	}
	n.liveNodes = live
	n.setConnections(n.view.Load())
}

// setConnections works out this node's share of each server's connections, for
// the client and for the shards. The caller holds configurationMutex.
func (n *Node) setConnections(current *view) {
	if current == nil || len(n.liveNodes) == 0 {
		return
	}
	shares := make(map[string]int, len(current.servers))
	for _, server := range current.servers {
		shares[server.address] = n.agent.ConnectionShare(server.place).Maximum
	}
	n.connections.Store(&shares)
	for _, name := range slices.Sorted(maps.Keys(current.shards)) {
		current.shards[name].step(dispatch.NodesChanged{Live: len(n.liveNodes)})
	}
}

// connectionsTo bounds the connections to the server at an address; a server
// that just came into the configuration gets one.
func (n *Node) connectionsTo(address string) int {
	shares := n.connections.Load()
	if shares == nil {
		return 1
	}
	return max((*shares)[address], 1)
}
