package front

import (
	"math"
	"slices"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
)

// connectionsCounted is the part of a server's connections that may be held.
const connectionsCounted = 0.8

// leastConnections is the least number that a server of a service in use takes.
func leastConnections(table *route.Table) int {
	if table == nil {
		return math.MaxInt32
	}
	least := math.MaxInt32
	for _, name := range table.UsedServices() {
		least = min(least, int(float64(table.Services[name].Connections)*connectionsCounted))
	}
	return least
}

// presenceOf tells which part of the services in use each zone has a server of.
func presenceOf(news discovery.ClusterState) *directory.Presence {
	presence := make(directory.Presence)
	if news.Table == nil {
		return &presence
	}
	used := make(map[string]struct{})
	for _, name := range news.Table.UsedServices() {
		used[name] = struct{}{}
	}
	evacuated := discovery.EvacuatedZones(news.Directives)
	type place struct{ zone, service string }
	seen := make(map[place]struct{})
	for _, server := range news.Servers {
		at := place{server.Zone, server.Service}
		_, twice := seen[at]
		closed := slices.Contains(evacuated, server.Zone)
		if _, inUse := used[server.Service]; !inUse || twice || closed || server.State != discovery.Ready {
			continue
		}
		seen[at] = struct{}{}
		presence[server.Zone] += 1 / float64(len(used))
	}
	return &presence
}

// Ready implements Node.
func (f *Front) Ready() bool {
	return f.knows.Load() && !f.leaving.Load() && !f.othersServe()
}

// othersServe reports whether this node can't reach enough servers while another one, as
// far as it knows, can. Where no node can, all stay ready: what is missing may be back at
// any moment, and callers have nowhere else to go.
func (f *Front) othersServe() bool {
	if !f.unable.Load() {
		return false
	}
	serving := f.serving.Load()
	if serving == nil {
		return false
	}
	self := f.self
	self.Unable = true
	others := slices.DeleteFunc(slices.Clone(*serving), func(n discovery.Node) bool { return n.Leaving || f.isSelf(n) })
	return !slices.ContainsFunc(directory.NodesAbleToServe(append(others, self)), f.isSelf)
}

// Resolve implements directory.Resolver. The node itself counts as live as long as it
// answers.
func (f *Front) Resolve(host string, caller directory.Caller, most int) directory.Answer {
	var nodes []discovery.Node
	if serving := f.serving.Load(); serving != nil {
		nodes = *serving
	}
	kept := make([]discovery.Node, 0, len(nodes)+1)
	serves := len(nodes) == 0
	for _, node := range nodes {
		if node.ID == f.self.ID {
			serves = true
			continue
		}
		kept = append(kept, node)
	}
	self := f.self
	self.Leaving, self.Unable = f.leaving.Load(), f.unable.Load()
	if serves && f.knows.Load() || len(kept) == 0 {
		kept = append(kept, self)
	}
	var presence directory.Presence
	if known := f.presence.Load(); known != nil {
		presence = *known
	}
	caller.Homes = f.gateway.Homes(host)
	return directory.Answer{
		Addresses:  directory.Addresses(kept, presence, caller, most),
		TimeToLive: min(directoryTTL, f.options.Settings.MaxDirectoryTTL),
	}
}
