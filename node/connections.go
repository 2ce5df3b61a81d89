package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
)

// memberPollInterval is the time between two looks at the live nodes, which share
// the servers' connections.
const memberPollInterval = 500 * time.Millisecond

// machineListTimeout bounds the wait for the machine list at the start.
const machineListTimeout = 2 * time.Second

// watchMembers shares out the servers' connections anew whenever the live nodes
// change, until ctx ends.
func (n *Node) watchMembers(ctx context.Context) {
	n.waitForMachineList(ctx)
	ticker := time.NewTicker(memberPollInterval)
	defer ticker.Stop()
	for {
		n.updateLiveNodes()
		n.assignHealthPolls()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// waitForMachineList waits for the first reading of the machine list, but not for long: a
// node that knows no other would take a server's connections for itself.
func (n *Node) waitForMachineList(ctx context.Context) {
	timeout := time.NewTimer(machineListTimeout)
	defer timeout.Stop()
	select {
	case <-n.agent.ListAsked():
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// updateLiveNodes takes over the live nodes if they changed. A node that stops
// keeps what it has: it is no longer counted as live, but its running queries
// need their connections to the end.
func (n *Node) updateLiveNodes() {
	if n.stopping.Load() {
		return
	}
	live := n.agent.SharingNodes()
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	if slices.Equal(live, n.liveNodes) {
		return
	}
	n.liveNodes = live
	n.assignConnections(n.activeConfig.Load())
}

// assignConnections works out this node's share of each server's connections, for
// the client and for the shards. A server whose share fell to zero loses its
// idle connections: other nodes hold them now. The caller holds
// configurationMutex.
func (n *Node) assignConnections(current *activeConfig) {
	if current == nil || len(n.liveNodes) == 0 {
		return
	}
	routes := make(map[string]route, len(current.servers))
	owned := 0
	for _, server := range current.servers {
		owners := n.agent.ServerOwners(server.place)
		share := membership.ShareOf(n.options.Settings.Node.ID, owners).Maximum
		routes[server.address] = route{place: server.place, owners: owners, connections: share}
		if share > 0 {
			owned++
		}
	}
	previous := n.routes.Swap(&routes)
	n.applyConnectionLimits(previous, routes)
	n.log.Info().Int("nodes", len(n.liveNodes)).Int("owned", owned).Int("forwarded", len(routes)-owned).
		Msg("connections shared out")
	for _, name := range slices.Sorted(maps.Keys(current.shards)) {
		current.shards[name].step(dispatch.NodesChanged{Live: len(n.liveNodes)})
	}
}

// applyConnectionLimits closes idle connections above the new shares, all those to
// servers that now go through owners.
func (n *Node) applyConnectionLimits(previous *map[string]route, routes map[string]route) {
	if previous == nil {
		return
	}
	for address, before := range *previous {
		now, known := routes[address]
		switch {
		case !known || now.connections == before.connections:
		case now.connections == 0:
			n.client.CloseServerConnections(address)
		default:
			n.client.UpdateConnectionLimit(address)
		}
	}
}

// routeTo finds the way to the server at an address. One that is not in the
// configuration any more gets a connection; until the shares are known there is
// none, and no owner either.
func (n *Node) routeTo(address string) route {
	routes := n.routes.Load()
	if routes == nil {
		return route{}
	}
	serverRoute, known := (*routes)[address]
	if !known {
		return route{connections: 1}
	}
	return serverRoute
}

// connectionLimit bounds the connections to the server at an address.
func (n *Node) connectionLimit(address string) int { return n.routeTo(address).connections }

// ownedConnections finds where a server is configured and this node's share of its
// connections; none when it is not configured.
func (n *Node) ownedConnections(server string) (address string, connections int) {
	current, routes := n.activeConfig.Load(), n.routes.Load()
	if current == nil || routes == nil {
		return "", 0
	}
	configured, known := current.servers[server]
	if !known {
		return "", 0
	}
	return configured.address, (*routes)[configured.address].connections
}
