package node

import (
	"fmt"
	"maps"
	"slices"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

// view is the configuration in force with the shards that carry it. It never
// changes once it is stored.
type view struct {
	revision policy.Revision
	shards   map[string]*shard
	classes  map[string]policy.Class
	// servers maps a server's ID to where it is configured.
	servers map[string]configuredServer
}

// configuredServer is one server with the shards that may ask it.
type configuredServer struct {
	address string
	// place tells whose connections are shared out.
	place  membership.ServerPlace
	shards []*shard
}

// configure puts a configuration in force unless a later one already is.
func (n *Node) configure(revision policy.Revision, config policy.Config) {
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	previous := n.view.Load()
	if previous != nil && revision <= previous.revision {
		return
	}
	next := n.newView(previous, revision, config)
	for _, service := range config.Services {
		shard := next.shards[service.Name]
		shard.configure(dispatch.Configured{Revision: revision, Service: service, Classes: config.Classes})
		n.tellStates(shard, service)
		if n.stopping.Load() {
			shard.step(dispatch.Stopping{})
		}
	}
	n.removeServices(previous, next, revision)
	n.setConnections(next)
	n.view.Store(next)
	n.metrics.Revision.Set(float64(revision))
	n.poller.setServers(next.servers)
	n.forgetServers(previous, next)
	n.log.Info().Uint64("revision", uint64(revision)).Int("services", len(config.Services)).Msg("configuration in force")
}

// newView reuses the shards of services that stay.
func (n *Node) newView(previous *view, revision policy.Revision, config policy.Config) *view {
	next := &view{
		revision: revision,
		shards:   make(map[string]*shard, len(config.Services)),
		classes:  make(map[string]policy.Class, len(config.Classes)),
		servers:  make(map[string]configuredServer),
	}
	for _, class := range config.Classes {
		next.classes[class.Name] = class
	}
	for _, service := range config.Services {
		var carrier *shard
		if previous != nil {
			carrier = previous.shards[service.Name]
		}
		if carrier == nil {
			carrier = n.openShard(service.Name)
		}
		next.shards[service.Name] = carrier
		next.addServers(service, carrier)
	}
	return next
}

func (v *view) addServers(service policy.Service, carrier *shard) {
	for _, group := range service.Groups {
		for _, server := range group.Servers {
			entry := v.servers[server.ID]
			entry.address = server.Address
			entry.place = membership.ServerPlace{ID: server.ID, Zone: server.Zone, Limit: server.Connections}
			if !slices.Contains(entry.shards, carrier) {
				entry.shards = append(entry.shards, carrier)
			}
			v.servers[server.ID] = entry
		}
	}
}

// openShard makes the shard of a service that was not configured before. The
// shard's number is part of its attempt IDs, so that a service that comes back
// never repeats one.
func (n *Node) openShard(service string) *shard {
	n.lastShard++
	seed := n.options.Seed + n.lastShard
	return newShard(shardOptions{
		service:       service,
		attemptPrefix: fmt.Sprintf("%s-%x-%d-", n.options.Settings.Node.ID, n.options.Incarnation, n.lastShard),
		machine:       n.newMachine(seed),
		asker:         n.asker,
		now:           n.now,
		counters:      newSendCounters(n.metrics, service),
		background:    n.background,
		running:       &n.running,
		workers:       n.workers,
	})
}

// removeServices tells the shards of services that are no longer configured,
// and drops those among earlier ones that have ended their work.
func (n *Node) removeServices(previous, next *view, revision policy.Revision) {
	if previous == nil {
		return
	}
	n.retired = slices.DeleteFunc(n.retired, func(carrier *shard) bool { return carrier.closeIfIdle() })
	for _, name := range slices.Sorted(maps.Keys(previous.shards)) {
		if next.shards[name] == nil {
			carrier := previous.shards[name]
			carrier.step(dispatch.Configured{Revision: revision, Removed: true})
			n.retired = append(n.retired, carrier)
		}
	}
	n.retired = slices.Clip(n.retired)
}

// forgetServers closes the idle connections to addresses that are no longer
// configured.
func (n *Node) forgetServers(previous, next *view) {
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

// tellStates repeats to a shard what membership said of its servers.
func (n *Node) tellStates(carrier *shard, service policy.Service) {
	for _, group := range service.Groups {
		for _, server := range group.Servers {
			if state, known := n.serverStates[server.ID]; known {
				carrier.step(dispatch.ServerChanged{Server: server.ID, State: state})
			}
		}
	}
}

// allShards lists the shards that may still have work.
func (n *Node) allShards() []*shard {
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	all := slices.Clone(n.retired)
	if current := n.view.Load(); current != nil {
		for _, name := range slices.Sorted(maps.Keys(current.shards)) {
			all = append(all, current.shards[name])
		}
	}
	return all
}

// serverChanged passes a server's state in membership to the shards that ask it.
func (n *Node) serverChanged(server string, state dispatch.ServerState) {
	n.configurationMutex.Lock()
	defer n.configurationMutex.Unlock()
	n.serverStates[server] = state
	if state == dispatch.ServerSuspect {
		n.troubledServers.Store(server, struct{}{})
	}
	current := n.view.Load()
	if current == nil {
		return
	}
	for _, carrier := range append(n.retired, current.servers[server].shards...) {
		carrier.step(dispatch.ServerChanged{Server: server, State: state})
	}
}
