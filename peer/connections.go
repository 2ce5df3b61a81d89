package peer

import (
	"slices"

	"github.com/banksail/banksail/membership"
)

// shareCache keeps the shares, and the owners through which to forward, that were
// worked out for one version of the table.
type shareCache struct {
	version uint64
	nodes   []membership.Member
	shares  map[membership.ServerSpec]membership.Share
	owners  map[membership.ServerSpec][]membership.Member
}

// ConnectionShare returns the node's part of a server's connections, given the
// members that the node now sees as live or suspect, and the nodes that only the
// machine list names.
func (a *Agent) ConnectionShare(server membership.ServerSpec) membership.Share {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	cache := a.validShareCache()
	share, known := cache.shares[server]
	if !known {
		share = membership.OwnerShare(a.selfID, server, cache.nodes)
		cache.shares[server] = share
	}
	return share
}

// sharingNodes lists the nodes that share the servers' connections. Those that
// only the machine list names count as well, also after the node has joined: it
// may have joined through one that did not know them yet, and they may hold
// connections by now.
func sharingNodes(core *membership.Nodes) []membership.Member {
	nodes := append(core.Members(), core.Candidates()...)
	return slices.DeleteFunc(nodes, func(m membership.Member) bool { return m.State == membership.Leaving })
}

// ListAttempted is closed once the first reading of the machine list has ended, well
// or badly. Before, a node that starts takes itself for the only one.
func (a *Agent) ListAttempted() <-chan struct{} { return a.listAttempted }

// SharingNodes lists the IDs of the nodes that share the servers' connections,
// in order.
func (a *Agent) SharingNodes() []string {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	cache := a.validShareCache()
	ids := make([]string, 0, len(cache.nodes))
	for _, node := range cache.nodes {
		ids = append(ids, node.ID)
	}
	slices.Sort(ids)
	return ids
}

// ForwardOwners returns the nodes through which this node reaches a server to
// which it owns no connection, the first choice first.
func (a *Agent) ForwardOwners(server membership.ServerSpec) []membership.Member {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	cache := a.validShareCache()
	owners, known := cache.owners[server]
	if !known {
		owners = membership.ForwardOwners(a.nodes.core.Self(), server, cache.nodes)
		cache.owners[server] = owners
	}
	return owners
}

// validShareCache returns the cache, emptied when the table has changed. The
// nodes' lock is held.
func (a *Agent) validShareCache() *shareCache {
	core := a.nodes.core
	cache := &a.nodes.shares
	if cache.shares == nil || cache.version != core.Version() {
		cache.version = core.Version()
		cache.shares = make(map[membership.ServerSpec]membership.Share)
		cache.owners = make(map[membership.ServerSpec][]membership.Member)
		cache.nodes = sharingNodes(core)
	}
	return cache
}
