package node

import (
	"slices"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/membership"
)

// assignHealthPolls works out which servers this node reads for all nodes, if the
// live nodes or the servers' owners changed.
func (n *Node) assignHealthPolls() {
	live := n.agent.LiveNodes()
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	routes := n.routes.Load()
	if routes == nil || routes == n.assignedRoutes && slices.Equal(live, n.assignedNodes) {
		return
	}
	n.assignedRoutes, n.assignedNodes = routes, live
	self := n.options.Settings.Node.ID
	isLive := make(map[string]bool, len(live))
	for _, id := range live {
		isLive[id] = true
	}
	ranks := make(map[string]int)
	for _, serverRoute := range *routes {
		readers := membership.Readers(serverRoute.owners, func(id string) bool { return isLive[id] })
		if rank := slices.Index(readers, self); rank >= 0 {
			ranks[serverRoute.place.ID] = rank
		}
	}
	n.poller.setAssigned(ranks, len(live))
}

// replacesHealthPoll says whether a reply tells all that a reading of health and load does.
func replacesHealthPoll(reply *backend.Reply) bool {
	return reply.Status == backend.StatusDone && !reply.Draining && reply.Load != nil && len(reply.Snapshots) > 0
}

// pollingOwners keeps those owners that read the server every interval; all when
// none does.
func pollingOwners(serverRoute route, owners []membership.Member) []membership.Member {
	live := func(id string) bool {
		return slices.ContainsFunc(owners, func(owner membership.Member) bool { return owner.ID == id })
	}
	readers := membership.Readers(serverRoute.owners, live)
	polling := slices.DeleteFunc(slices.Clone(owners), func(owner membership.Member) bool {
		return !slices.Contains(readers, owner.ID)
	})
	if len(polling) == 0 {
		return owners
	}
	return polling
}
