package peer

import (
	"slices"

	"github.com/banksail/banksail/membership"
)

// shareCache keeps the shares that were worked out for one version of the table.
type shareCache struct {
	version uint64
	nodes   []membership.Member
	shares  map[membership.ServerPlace]membership.Share
}

// ConnectionShare returns the node's part of a server's connections, given the
// members that the node now sees as live or suspect. Until it has joined, the
// nodes that only the machine list names count as well, so that a node that
// just started does not take all connections.
func (a *Agent) ConnectionShare(server membership.ServerPlace) membership.Share {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	core := a.nodes.core
	cache := &a.nodes.shares
	if cache.version != core.Version() || !core.Joined() {
		cache.version = core.Version()
		cache.shares = make(map[membership.ServerPlace]membership.Share)
		cache.nodes = sharingNodes(core)
	}
	share, known := cache.shares[server]
	if !known {
		share = membership.ConnectionShare(core.Self().ID, server, cache.nodes)
		cache.shares[server] = share
	}
	return share
}

// sharingNodes lists the nodes that share the servers' connections.
func sharingNodes(core *membership.Nodes) []membership.Member {
	nodes := core.Members()
	if !core.Joined() {
		nodes = append(nodes, core.Candidates()...)
	}
	return slices.DeleteFunc(nodes, func(m membership.Member) bool { return m.State == membership.Leaving })
}
