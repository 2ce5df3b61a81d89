package front

import (
	"math"
	"slices"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
)

// usableConnectionShare is the share of a server's connection limit that the nodes may use.
const usableConnectionShare = 0.8

// minUsableConnections returns the smallest number of connections that all nodes together may hold
// to a server of any service in use.
func minUsableConnections(table *route.Table) int {
	if table == nil {
		return math.MaxInt32
	}
	fewest := math.MaxInt32
	for _, name := range table.UsedServices() {
		fewest = min(fewest, int(float64(table.Services[name].Connections)*usableConnectionShare))
	}
	return fewest
}

// zonePresence returns, for each zone, the share of the services in use that have a ready server
// there. Evacuated zones have none.
func zonePresence(state discovery.ClusterState) *directory.Presence {
	presence := make(directory.Presence)
	if state.Table == nil {
		return &presence
	}
	used := make(map[string]struct{})
	for _, name := range state.Table.UsedServices() {
		used[name] = struct{}{}
	}
	evacuated := discovery.EvacuatedZones(state.Directives)
	type zoneService struct{ zone, service string }
	seen := make(map[zoneService]struct{})
	for _, server := range state.Servers {
		key := zoneService{server.Zone, server.Service}
		_, counted := seen[key]
		isEvacuated := slices.Contains(evacuated, server.Zone)
		if _, inUse := used[server.Service]; !inUse || counted || isEvacuated || server.State != discovery.Ready {
			continue
		}
		seen[key] = struct{}{}
		presence[server.Zone] += 1 / float64(len(used))
	}
	return &presence
}

// Ready implements Node.
func (f *Front) Ready() bool {
	return f.hasTable.Load() && !f.leaving.Load() && !f.shouldYieldToPeers()
}

// shouldYieldToPeers reports whether this node cannot reach enough servers while another node, as
// far as is known, can. If no node can, all of them stay ready: the servers may become reachable
// again at any moment, and callers have nowhere else to go.
func (f *Front) shouldYieldToPeers() bool {
	if !f.unable.Load() {
		return false
	}
	nodes := f.servingNodes.Load()
	if nodes == nil {
		return false
	}
	self := f.self
	self.Unable = true
	others := slices.DeleteFunc(slices.Clone(*nodes), func(n discovery.Node) bool { return n.Leaving || f.isSelf(n) })
	return !slices.ContainsFunc(directory.NodesAbleToServe(append(others, self)), f.isSelf)
}

// Resolve implements directory.Resolver. This node counts itself as live, as it is able to answer.
func (f *Front) Resolve(host string, caller directory.Caller, limit int) directory.Answer {
	var nodes []discovery.Node
	if serving := f.servingNodes.Load(); serving != nil {
		nodes = *serving
	}
	candidates := make([]discovery.Node, 0, len(nodes)+1)
	selfServes := len(nodes) == 0
	for _, node := range nodes {
		if node.ID == f.self.ID {
			selfServes = true
			continue
		}
		candidates = append(candidates, node)
	}
	self := f.self
	self.Leaving, self.Unable = f.leaving.Load(), f.unable.Load()
	if selfServes && f.hasTable.Load() || len(candidates) == 0 {
		candidates = append(candidates, self)
	}
	var presence directory.Presence
	if known := f.presence.Load(); known != nil {
		presence = *known
	}
	caller.Homes = f.gateway.Homes(host)
	return directory.Answer{
		Addresses:  directory.Addresses(candidates, presence, caller, limit),
		TimeToLive: min(directoryTTL, f.options.Settings.MaxDirectoryTTL),
	}
}
