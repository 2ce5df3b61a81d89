package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
)

// memberPollInterval is the interval at which the set of live nodes, which
// divide the servers' connections among themselves, is checked for changes.
const memberPollInterval = 500 * time.Millisecond

// machineListTimeout bounds the wait for the first read of the machine list at
// start-up.
const machineListTimeout = 2 * time.Second

// watchMembers recomputes this node's connection limits and assigned health
// polls whenever the set of live nodes changes, until ctx ends.
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

// waitForMachineList waits for the first read of the machine list, for at most
// machineListTimeout. A node that knows no other node would claim all of a
// server's connections.
func (n *Node) waitForMachineList(ctx context.Context) {
	timeout := time.NewTimer(machineListTimeout)
	defer timeout.Stop()
	select {
	case <-n.agent.ListAttempted():
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// updateLiveNodes recomputes the connection limits if the set of live nodes
// changed. A stopping node keeps its connections: the others no longer count it
// as live, but its running queries need them until they finish.
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

// assignConnections computes this node's share of each server's connections and
// applies it to the client and the shards. If the share of a server dropped to
// zero, its idle connections are closed, because other nodes own them now. The
// caller holds configurationMutex.
func (n *Node) assignConnections(current *activeConfig) {
	if current == nil || len(n.liveNodes) == 0 {
		return
	}
	routes := make(map[string]route, len(current.servers))
	owned := 0
	for _, server := range current.servers {
		owners := n.agent.ServerOwners(server.spec)
		share := membership.ShareOf(n.options.Settings.Node.ID, owners).Maximum
		routes[server.address] = route{spec: server.spec, owners: owners, connections: share}
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

// applyConnectionLimits closes idle connections that exceed the new shares. For
// servers that are now reached through owners it closes all of them.
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

// routeTo returns the route to the server at an address. An address that is no
// longer configured gets one connection. Until the shares are known, the route
// has neither connections nor owners.
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

// connectionLimit returns the maximum number of connections to the server at an
// address.
func (n *Node) connectionLimit(address string) int { return n.routeTo(address).connections }

// ownedConnections returns a server's configured address and this node's share
// of its connections, or "" and 0 if the server is not configured.
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
