package dispatch

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/limit"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/retry"
	"github.com/banksail/banksail/snapshot"
)

// class is a configured priority class.
type class struct {
	policy.Class
	// rank is the position of the class by urgency; zero is the most urgent.
	rank int
	// share is the fraction of each concurrency limit that the class may use.
	share float64
}

// configure applies a new configuration of the service and its classes.
func (d *Dispatcher) configure(event Configured) {
	d.configured = !event.Removed
	if event.Removed {
		for _, item := range d.queue.Drain() {
			d.refuseQueued(QueryID(item.ID), ReasonNoConfiguration)
		}
		return
	}
	d.configureClasses(event.Classes)
	repartitioned := d.configureGroups(event.Service)
	d.recountGroups()
	d.requeueQueries()
	if repartitioned {
		d.rerouteQueries()
	}
}

// configureClasses ranks the classes and computes their shares. Queries in flight keep a class
// that has been removed, ranked as the least urgent.
func (d *Dispatcher) configureClasses(classes []policy.Class) {
	sorted := slices.Clone(classes)
	slices.SortStableFunc(sorted, func(a, b policy.Class) int { return cmp.Compare(a.Order, b.Order) })
	headrooms := make([]float64, len(sorted))
	for i := range sorted {
		headrooms[i] = sorted[i].Headroom
	}
	shares := limit.HeadroomShares(headrooms, d.options.MinimumClassShare)
	for _, old := range d.rankedClasses {
		old.rank = max(len(sorted)-1, 0)
	}
	before := d.classes
	d.classes = make(map[string]*class, len(sorted))
	d.rankedClasses = d.rankedClasses[:0:0]
	for rank, settings := range sorted {
		c := before[settings.Name]
		if c == nil {
			c = new(class)
		}
		*c = class{Class: settings, rank: rank, share: shares[rank]}
		d.classes[settings.Name] = c
		d.rankedClasses = append(d.rankedClasses, c)
	}
	d.budget.SetClasses(len(sorted))
	d.updateBlockedShares()
}

// updateBlockedShares computes, by rank, the share of groups that may lack capacity when a query
// starts: at most Options.BlockedShare, and at most the share that the coverage required by its
// class, or by a less urgent one, leaves open.
func (d *Dispatcher) updateBlockedShares() {
	d.blockedShares = make([]float64, len(d.rankedClasses))
	share := 0.0
	for rank := len(d.rankedClasses) - 1; rank >= 0; rank-- {
		share = max(share, min(d.options.BlockedShare, 1-d.rankedClasses[rank].MinimumCoverage))
		d.blockedShares[rank] = share
	}
}

// configureGroups applies the service's groups and reports whether they have changed.
func (d *Dispatcher) configureGroups(service policy.Service) bool {
	if d.generation > 0 && reflect.DeepEqual(d.service, service) {
		return false
	}
	d.service = service
	d.keySpace = service.KeySpace
	d.generation++
	latencies := make(map[string]*retry.Sketch, len(d.groups))
	for _, old := range d.groups {
		latencies[old.name] = old.latencies
	}
	before := d.servers
	d.servers = make(map[string]*server, len(before))
	d.groups = make([]*group, 0, len(service.Groups))
	catalogGroups := make([]snapshot.Group, 0, len(service.Groups))
	sorted := slices.Clone(service.Groups)
	slices.SortFunc(sorted, func(a, b policy.Group) int { return cmp.Compare(a.Range.Start, b.Range.Start) })
	for _, settings := range sorted {
		g := &group{
			name:      settings.Name,
			keyRange:  settings.Range,
			latencies: latencies[settings.Name],
			waiting:   priority.NewQueue(waiter.before, nil),
		}
		if g.latencies == nil {
			g.latencies = new(retry.Sketch)
		}
		shard := snapshot.Group{Keys: settings.Range.Size()}
		for _, replica := range settings.Servers {
			g.servers = append(g.servers, d.configureServer(g, replica, before))
			shard.Servers = append(shard.Servers, replica.ID)
		}
		d.groups = append(d.groups, g)
		catalogGroups = append(catalogGroups, shard)
	}
	d.catalog.Configure(catalogGroups)
	d.removeServers(before)
	d.attachServers()
	d.budget.SetBurst(max(d.options.Budget.Burst, retry.DefaultBurst, float64(len(d.groups))))
	return true
}

// configureServer returns the state of a server and adds it to the group. A server that was
// configured before keeps its estimates.
func (d *Dispatcher) configureServer(g *group, settings policy.Server, before map[string]*server) *server {
	s := d.servers[settings.ID]
	if s == nil {
		s = before[settings.ID]
		if s == nil {
			s = &server{
				state: d.unconfiguredStates[settings.ID], reportDeadline: d.now + d.options.FirstReportTimeout,
				limiter: limit.New(settings.Slots, d.options.LimitPolicy),
			}
			delete(d.unconfiguredStates, settings.ID)
		}
		s.groups = nil
		s.countedCapacity = capacity{}
		s.Server = settings
		s.limiter.SetSlots(settings.Slots)
		d.servers[settings.ID] = s
	}
	s.groups = append(s.groups, g)
	return s
}

// removeServers discards servers that are no longer in any group. It remembers those that are
// leaving or suspect, in case they are configured again.
func (d *Dispatcher) removeServers(before map[string]*server) {
	for id, s := range before {
		if d.servers[id] != nil {
			continue
		}
		s.groups = nil
		switch {
		case s.state == ServerGone:
		case s.isLeaving():
			d.unconfiguredStates[id] = ServerLeaving
		case s.state != ServerLive:
			d.unconfiguredStates[id] = s.state
		}
	}
}

// attachServers connects each server to the snapshot catalog and sets the node's share of it.
func (d *Dispatcher) attachServers() {
	for _, g := range d.groups {
		for _, s := range g.servers {
			s.snapshots = d.catalog.ServerSnapshots(s.ID)
			s.snapshots.SetAvailable(!s.isLeaving())
			d.updateServerShare(s)
		}
	}
}

// recountGroups recomputes the capacity totals of all groups and the numbers of blocked groups.
func (d *Dispatcher) recountGroups() {
	d.blockedGroups = make([]int, len(d.rankedClasses))
	for _, g := range d.groups {
		g.capacity = capacity{}
		g.level, g.admits = len(d.rankedClasses), len(d.rankedClasses)
		for _, s := range g.servers {
			s.countedCapacity = capacity{}
		}
	}
	for _, g := range d.groups {
		d.level(g)
	}
	for _, g := range d.groups {
		for _, s := range g.servers {
			d.updateCapacity(s)
		}
	}
}

// requeueQueries ranks the queued queries by the current classes. Queries whose class has been
// removed are refused.
func (d *Dispatcher) requeueQueries() {
	for _, item := range d.queue.Drain() {
		id := QueryID(item.ID)
		c := d.classes[d.requests[id].Class]
		if c == nil {
			d.refuseQueued(id, ReasonUnknownClass)
			continue
		}
		item.Rank = c.rank
		d.queue.Requeue(item)
	}
}

// rerouteQueries applies a change of routing or availability to the running queries.
func (d *Dispatcher) rerouteQueries() {
	for _, r := range d.runningByID() {
		if r.query != nil {
			r.query.Reroute(d.now)
			d.scheduleTick(r)
		}
	}
}

// runningByID returns the running queries in the order of their IDs.
func (d *Dispatcher) runningByID() []*running {
	list := make([]*running, 0, len(d.running))
	for _, r := range d.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *running) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return list
}

// setLiveNodes recomputes the node's share of each server when the number of live nodes
// changes.
func (d *Dispatcher) setLiveNodes(live int) {
	if live == d.liveNodes {
		return
	}
	d.liveNodes = live
	for _, g := range d.groups {
		for _, s := range g.servers {
			d.updateServerShare(s)
			d.updateCapacity(s)
		}
	}
}

// updateServerShare sets the node's share of the server's slots, which is the initial
// concurrency limit, and of its connections, which is the maximum of that limit.
func (d *Dispatcher) updateServerShare(s *server) {
	if d.liveNodes <= 0 {
		return
	}
	s.limiter.SetClients(d.liveNodes)
	s.limiter.SetConnectionLimit(max(limit.ConnectionShare(s.Connections, d.liveNodes, d.options.SpareConnections), 1))
}
