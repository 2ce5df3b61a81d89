package gateway

import (
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/routing"
)

// wantedFor is how long a connection to a server is kept ready after it was
// used, or after the server came: one that is seldom used would only be opened
// again and again as the server closes it.
const wantedFor = 15 * time.Second

// want keeps a connection ready to the servers that came, and forgets those that
// went. The caller holds the mutex.
func (g *Gateway) want(servers map[string]discovery.Server) {
	for id, server := range servers {
		if known, listed := g.servers[id]; !listed || known.Incarnation() != server.Incarnation() {
			g.wantedUntil[id] = g.now() + wantedFor
		}
	}
	for id := range g.wantedUntil {
		if _, listed := servers[id]; !listed {
			delete(g.wantedUntil, id)
		}
	}
}

// ConnectionCount is the number of connections to servers.
func (g *Gateway) ConnectionCount() int { return g.client.ConnectionCount() }

// MaintainConnections closes connections that are of no use any more and opens one to each
// server of a service in force that has none, unless its zone is evacuated.
func (g *Gateway) MaintainConnections() {
	g.mutex.Lock()
	servers := g.servers
	g.mutex.Unlock()
	listed := make(map[discovery.Incarnation]struct{}, len(servers))
	for _, server := range servers {
		if server.State == discovery.Ready {
			listed[server.Incarnation()] = struct{}{}
		}
	}
	table := g.table.Load()
	if table == nil || !g.serves.Load() {
		g.client.PruneIdle(listed, 0)
		return
	}
	g.client.PruneIdle(listed, 1)
	used := make(map[string]struct{})
	for _, name := range table.UsedServices() {
		used[name] = struct{}{}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for one := range listed {
		server := servers[one.ID]
		_, inUse := used[server.Service]
		if inUse && g.wantedUntil[one.ID] > g.now() && !slices.Contains(g.evacuated, server.Zone) {
			g.run(func() { g.warm(server) })
		}
	}
}

// warm opens a connection to a server that has none, and tells when it can't.
func (g *Gateway) warm(server discovery.Server) {
	if err := g.client.Warm(g.background, server); err != nil && g.background.Err() == nil {
		g.step(routing.ConnectFailed{Server: server.Incarnation(), Refused: exchange.IsRefused(err)})
	}
}

// reachPause is the time between two tries to connect to a server that could
// not be reached.
const reachPause = 250 * time.Millisecond

// reach opens a connection to a server that could not be reached.
func (g *Gateway) reach(server discovery.Server) {
	for g.lists(server.Incarnation()) && clock.Sleep(g.background, reachPause) == nil {
		if g.client.Open(g.background, server) == nil {
			g.step(routing.Connected{Server: server.Incarnation()})
			return
		}
	}
}

// lists reports whether the server may still be there.
func (g *Gateway) lists(one discovery.Incarnation) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	server, listed := g.servers[one.ID]
	return listed && server.Incarnation() == one
}
