package node

import (
	"slices"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/membership"
)

// assignReaders works out which servers this node reads for all nodes, if the
// live nodes or the servers' owners changed.
func (n *Node) assignReaders() {
	live := n.agent.LiveNodes()
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	routes := n.routes.Load()
	if routes == nil || routes == n.readRoutes && slices.Equal(live, n.readingNodes) {
		return
	}
	n.readRoutes, n.readingNodes = routes, live
	self := n.options.Settings.Node.ID
	isLive := make(map[string]bool, len(live))
	for _, id := range live {
		isLive[id] = true
	}
	places := make(map[string]int)
	for _, way := range *routes {
		readers := membership.Readers(way.owners, func(id string) bool { return isLive[id] })
		if place := slices.Index(readers, self); place >= 0 {
			places[way.place.ID] = place
		}
	}
	n.poller.setDuties(places, len(live))
}

// tellsAll says whether a reply tells all that a reading of health and load does.
func tellsAll(reply *backend.Reply) bool {
	return reply.Status == backend.StatusDone && !reply.Draining && reply.Load != nil && len(reply.Snapshots) > 0
}

// readersAmong keeps those owners that read the server every interval; all when
// none does.
func readersAmong(way route, owners []membership.Member) []membership.Member {
	live := func(id string) bool {
		return slices.ContainsFunc(owners, func(owner membership.Member) bool { return owner.ID == id })
	}
	readers := membership.Readers(way.owners, live)
	kept := slices.DeleteFunc(slices.Clone(owners), func(owner membership.Member) bool {
		return !slices.Contains(readers, owner.ID)
	})
	if len(kept) == 0 {
		return owners
	}
	return kept
}
