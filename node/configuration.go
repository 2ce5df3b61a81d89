package node

import (
	"fmt"
	"maps"
	"slices"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

// activeConfig is the configuration in force together with the shards that
// serve it. It is immutable once stored.
type activeConfig struct {
	revision policy.Revision
	shards   map[string]*shard
	classes  map[string]policy.Class
	// servers maps a server's ID to its configured address, spec and shards.
	servers map[string]configuredServer
}

// configuredServer is a server and the shards that may send sub-requests to it.
type configuredServer struct {
	address string
	// spec identifies the server and the connection limit that the nodes
	// divide among themselves.
	spec   membership.ServerSpec
	shards []*shard
}

// configure applies a configuration unless the same or a later revision is
// already in force.
func (n *Node) configure(revision policy.Revision, config policy.Config) {
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	previous := n.activeConfig.Load()
	if previous != nil && revision <= previous.revision {
		return
	}
	next := n.newActiveConfig(previous, revision, config)
	for _, service := range config.Services {
		shard := next.shards[service.Name]
		shard.configure(dispatch.Configured{Revision: revision, Service: service, Classes: config.Classes})
		n.replayServerStates(shard, service)
		if n.stopping.Load() {
			shard.step(dispatch.Stopping{})
		}
	}
	n.removeServices(previous, next, revision)
	n.assignConnections(next)
	n.activeConfig.Store(next)
	n.metrics.Revision.Set(float64(revision))
	n.poller.setServers(next.servers)
	n.closeRemovedServers(previous, next)
	n.log.Info().Uint64("revision", uint64(revision)).Int("services", len(config.Services)).Msg("configuration in force")
}

// newActiveConfig builds the state for a configuration. Services that were
// already configured keep their shards.
func (n *Node) newActiveConfig(previous *activeConfig, revision policy.Revision, config policy.Config) *activeConfig {
	next := &activeConfig{
		revision: revision,
		shards:   make(map[string]*shard, len(config.Services)),
		classes:  make(map[string]policy.Class, len(config.Classes)),
		servers:  make(map[string]configuredServer),
	}
	for _, class := range config.Classes {
		next.classes[class.Name] = class
	}
	for _, service := range config.Services {
		var serviceShard *shard
		if previous != nil {
			serviceShard = previous.shards[service.Name]
		}
		if serviceShard == nil {
			serviceShard = n.newServiceShard(service.Name)
		}
		next.shards[service.Name] = serviceShard
		next.addServers(service, serviceShard)
	}
	return next
}

func (c *activeConfig) addServers(service policy.Service, serviceShard *shard) {
	for _, group := range service.Groups {
		for _, server := range group.Servers {
			entry := c.servers[server.ID]
			entry.address = server.Address
			entry.spec = membership.ServerSpec{ID: server.ID, Zone: server.Zone, Limit: server.Connections}
			if !slices.Contains(entry.shards, serviceShard) {
				entry.shards = append(entry.shards, serviceShard)
			}
			c.servers[server.ID] = entry
		}
	}
}

// newServiceShard creates the shard of a service that was not configured
// before. The shard's number is part of its attempt IDs, so a service that is
// removed and added again never reuses an ID.
func (n *Node) newServiceShard(service string) *shard {
	n.lastShardNumber++
	seed := n.options.Seed + n.lastShardNumber
	return newShard(shardOptions{
		service:       service,
		attemptPrefix: fmt.Sprintf("%s-%x-%d-", n.options.Settings.Node.ID, n.options.Incarnation, n.lastShardNumber),
		dispatcher:    n.newDispatcher(seed),
		sender:        n.sender,
		now:           n.now,
		counters:      newSendCounters(n.metrics, service),
		background:    n.background,
		running:       &n.running,
		workers:       n.workers,
	})
}

// removeServices retires the shards of services that are no longer configured,
// and closes and drops retired shards that have become idle.
func (n *Node) removeServices(previous, next *activeConfig, revision policy.Revision) {
	if previous == nil {
		return
	}
	n.retiredShards = slices.DeleteFunc(n.retiredShards, func(serviceShard *shard) bool { return serviceShard.closeIfIdle() })
	for _, name := range slices.Sorted(maps.Keys(previous.shards)) {
		if next.shards[name] == nil {
			serviceShard := previous.shards[name]
			serviceShard.step(dispatch.Configured{Revision: revision, Removed: true})
			n.retiredShards = append(n.retiredShards, serviceShard)
		}
	}
	n.retiredShards = slices.Clip(n.retiredShards)
}

// closeRemovedServers closes the idle connections to addresses that are no
// longer configured.
func (n *Node) closeRemovedServers(previous, next *activeConfig) {
	if previous == nil {
		return
	}
	kept := make(map[string]bool, len(next.servers))
	for _, server := range next.servers {
		kept[server.address] = true
	}
	for _, server := range previous.servers {
		if !kept[server.address] {
			n.client.CloseServerConnections(server.address)
		}
	}
}

// replayServerStates passes the last known membership state of each of the
// service's servers to its shard.
func (n *Node) replayServerStates(serviceShard *shard, service policy.Service) {
	for _, group := range service.Groups {
		for _, server := range group.Servers {
			if state, known := n.serverStates[server.ID]; known {
				serviceShard.step(dispatch.ServerChanged{Server: server.ID, State: state})
			}
		}
	}
}

// allShards returns all shards that may have work, including retired ones.
func (n *Node) allShards() []*shard {
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	all := slices.Clone(n.retiredShards)
	if current := n.activeConfig.Load(); current != nil {
		for _, name := range slices.Sorted(maps.Keys(current.shards)) {
			all = append(all, current.shards[name])
		}
	}
	return all
}

// handleServerStateChange records a server's new membership state and passes it
// to the shards that use the server. The agent calls it.
func (n *Node) handleServerStateChange(server string, state dispatch.ServerState) {
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	n.serverStates[server] = state
	if state == dispatch.ServerSuspect {
		n.awaitingReplyReport.Store(server, struct{}{})
	}
	current := n.activeConfig.Load()
	if current == nil {
		return
	}
	for _, serviceShard := range append(n.retiredShards, current.servers[server].shards...) {
		serviceShard.step(dispatch.ServerChanged{Server: server, State: state})
	}
}
