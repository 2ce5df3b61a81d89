package front

import (
	"math"
	"slices"
	"time"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
	"github.com/banksail/banksail/routing"
)

// nodesOf tells how many nodes there are, and which of them serve callers.
func (f *Front) nodesOf(news discovery.News) routing.NodesChanged {
	serving := directory.Serving(news.Nodes, leastConnections(news.Table), f.options.Off)
	serves := slices.ContainsFunc(serving, func(n discovery.Node) bool { return n.ID == f.self.ID })
	f.serving.Store(&serving)
	return routing.NodesChanged{
		Live:    max(len(news.Nodes), 1),
		Serving: max(len(serving), 1),
		Serves:  serves || len(serving) == len(news.Nodes),
	}
}

// logRole writes a line when the node's own part among the nodes has changed.
func (f *Front) logRole(nodes routing.NodesChanged) {
	if f.role == nodes {
		return
	}
	if f.role.Serves != nodes.Serves || f.role.Live == 0 {
		f.options.Logger.Info().Bool("serves", nodes.Serves).Int("serving", nodes.Serving).Int("live", nodes.Live).Msg("role changed")
	}
	f.role = nodes
}

// servingCount is the number of nodes to which callers are sent.
func (f *Front) servingCount() int {
	if serving := f.serving.Load(); serving != nil {
		return len(*serving)
	}
	return 0
}

// connectionsCounted is the part of a server's connections that may be held.
const connectionsCounted = 0.8

// leastConnections is the least number that a server of a service in use takes.
func leastConnections(table *route.Table) int {
	if table == nil {
		return math.MaxInt
	}
	least := math.MaxInt
	for _, name := range table.UsedServices() {
		least = min(least, int(float64(table.Services[name].Connections)*connectionsCounted))
	}
	return least
}

// presenceOf tells which part of the services in use each zone has a server of.
func presenceOf(news discovery.News) *directory.Presence {
	presence := make(directory.Presence)
	if news.Table == nil {
		return &presence
	}
	used := make(map[string]struct{})
	for _, name := range news.Table.UsedServices() {
		used[name] = struct{}{}
	}
	type place struct{ zone, service string }
	seen := make(map[place]struct{})
	for _, server := range news.Servers {
		at := place{server.Zone, server.Service}
		_, twice := seen[at]
		if _, inUse := used[server.Service]; !inUse || twice || server.State != discovery.Ready {
			continue
		}
		seen[at] = struct{}{}
		presence[server.Zone] += 1 / float64(len(used))
	}
	return &presence
}

// Ready implements Node.
func (f *Front) Ready() bool { return f.knows.Load() && !f.leaving.Load() }

// Addresses implements Node. The node itself counts as live as long as it answers.
func (f *Front) Addresses(caller directory.Caller, most int) ([]string, time.Duration) {
	var nodes []discovery.Node
	if serving := f.serving.Load(); serving != nil {
		nodes = *serving
	}
	seen := make(map[string]struct{}, len(nodes)+1)
	kept := make([]discovery.Node, 0, len(nodes)+1)
	serves := len(nodes) == 0
	for _, node := range nodes {
		if node.Address == f.self.Address {
			serves = true
			continue
		}
		if _, twice := seen[node.Address]; !twice {
			seen[node.Address] = struct{}{}
			kept = append(kept, node)
		}
	}
	self := f.self
	self.Leaving = f.leaving.Load()
	if serves && f.knows.Load() || len(kept) == 0 {
		kept = append(kept, self)
	}
	var presence directory.Presence
	if known := f.presence.Load(); known != nil {
		presence = *known
	}
	return directory.Addresses(kept, presence, caller, most), min(directoryTTL, f.options.Settings.LongestTTL)
}
