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
// members that the node now sees as live or suspect.
func (a *Agent) ConnectionShare(server membership.ServerPlace) membership.Share {
	a.nodes.mutex.Lock()
	defer a.nodes.mutex.Unlock()
	cache := &a.nodes.shares
	if version := a.nodes.core.Version(); cache.version != version {
		cache.version = version
		cache.shares = make(map[membership.ServerPlace]membership.Share)
		cache.nodes = slices.DeleteFunc(a.nodes.core.Members(), func(m membership.Member) bool {
			return m.State == membership.Leaving
		})
	}
	share, known := cache.shares[server]
	if !known {
		share = membership.ConnectionShare(a.nodes.core.Self().ID, server, cache.nodes)
		cache.shares[server] = share
	}
	return share
}
