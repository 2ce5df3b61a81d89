package node

import (
	"slices"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/membership"
)

// assignHealthPolls recomputes which servers this node polls on behalf of all
// nodes, if the live nodes or the owners of the servers changed.
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
			ranks[serverRoute.spec.ID] = rank
		}
	}
	n.poller.setAssigned(ranks, len(live))
}

// replacesHealthPoll reports whether a reply carries the same information as a
// poll of health and load.
func replacesHealthPoll(reply *backend.Reply) bool {
	return reply.Status == backend.StatusDone && !reply.Draining && reply.Load != nil && len(reply.Snapshots) > 0
}

// pollingOwners returns those owners that poll the server every interval, or
// all owners if none does.
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
