package peer

import (
	"slices"

	"github.com/banksail/banksail/membership"
)

// shareCache caches connection shares and forward owners computed for one
// version of the node table.
type shareCache struct {
	version uint64
	nodes   []membership.Member
	shares  map[membership.ServerSpec]membership.Share
	owners  map[membership.ServerSpec][]membership.Member
}

// ConnectionShare returns the node's share of a server's connections. They are
// shared between the members that are now live or suspect and the nodes that are
// only in the machine list.
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

// sharingNodes returns the nodes that share the servers' connections. Nodes that
// are only in the machine list are included, even after this node has joined: it
// may have joined through a node that did not know them yet, and they may
// already hold connections.
func sharingNodes(core *membership.Nodes) []membership.Member {
	nodes := append(core.Members(), core.Candidates()...)
	return slices.DeleteFunc(nodes, func(m membership.Member) bool { return m.State == membership.Leaving })
}

// ListAttempted returns a channel that is closed once the first attempt to read
// the machine list has ended, successfully or not. Until then a starting node
// considers itself the only one. Without a machine list it is closed from the
// start.
func (a *Agent) ListAttempted() <-chan struct{} { return a.listAttempted }

// SharingNodes returns the sorted IDs of the nodes that share the servers'
// connections.
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
// which it owns no connection, in order of preference.
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

// validShareCache returns the cache, after clearing it if the node table has
// changed. The caller must hold a.nodes.mutex.
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
