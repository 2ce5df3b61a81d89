package front

import (
	"math"
	"slices"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
)

// usableConnectionShare is the part of a server's connections that may be held.
const usableConnectionShare = 0.8

// minUsableConnections is the least number that a server of a service in use takes.
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

// zonePresence tells which part of the services in use each zone has a server of.
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

// shouldYieldToPeers reports whether this node can't reach enough servers while another one, as
// far as it knows, can. Where no node can, all stay ready: what is missing may be back at
// any moment, and callers have nowhere else to go.
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

// Resolve implements directory.Resolver. The node itself counts as live as long as it
// answers.
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
