package gateway

import (
	"slices"
	"time"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/exchange"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/routing"
)

// keepWarmTime is how long a connection to a server is kept open after the server was last used
// or registered. It is limited because a connection to a server that is seldom used would only be
// reopened again and again as the server closes it.
const keepWarmTime = 15 * time.Second

// updateWarmServers starts keeping connections open to servers that were added or restarted, and
// forgets servers that were removed. The caller holds the mutex.
func (g *Gateway) updateWarmServers(servers map[string]discovery.Server) {
	for id, server := range servers {
		if known, listed := g.servers[id]; !listed || known.Incarnation() != server.Incarnation() {
			g.warmUntil[id] = g.now() + keepWarmTime
		}
	}
	for id := range g.warmUntil {
		if _, listed := servers[id]; !listed {
			delete(g.warmUntil, id)
		}
	}
}

// ConnectionCount returns the number of connections to servers.
func (g *Gateway) ConnectionCount() int { return g.client.ConnectionCount() }

// MaintainConnections prunes idle connections and opens one to each recently used or added server
// of a service in use that has none, unless its zone is evacuated. The owner calls it periodically.
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
	if table == nil || !g.isServing.Load() {
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
	for incarnation := range listed {
		server := servers[incarnation.ID]
		_, inUse := used[server.Service]
		if inUse && g.warmUntil[incarnation.ID] > g.now() && !slices.Contains(g.evacuated, server.Zone) {
			g.startTask(func() { g.warm(server) })
		}
	}
}

// warm opens a connection to a server that has none, and reports a failure to the router.
func (g *Gateway) warm(server discovery.Server) {
	if err := g.client.Warm(g.background, server); err != nil && g.background.Err() == nil {
		g.step(routing.ConnectFailed{Server: server.Incarnation(), Refused: exchange.IsRefused(err)})
	}
}

// reconnectInterval is the pause between attempts to connect to an unreachable server.
const reconnectInterval = 250 * time.Millisecond

// reconnect dials an unreachable server until it succeeds, the server is removed or the gateway
// is closed.
func (g *Gateway) reconnect(server discovery.Server) {
	for g.isListed(server.Incarnation()) && clock.Sleep(g.background, reconnectInterval) == nil {
		if g.client.Open(g.background, server) == nil {
			g.step(routing.Connected{Server: server.Incarnation()})
			return
		}
	}
}

// isListed reports whether this incarnation of the server is still listed.
func (g *Gateway) isListed(incarnation discovery.Incarnation) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	server, listed := g.servers[incarnation.ID]
	return listed && server.Incarnation() == incarnation
}
