package dispatch

import (
	"slices"
	"time"

	"github.com/banksail/banksail/policy"
)

// server is what the dispatcher knows of one server.
type server struct {
	policy.Server
	state     ServerState
	draining  bool
	snapshots []SnapshotID
	inFlight  int
	shedUntil time.Duration
}

// leaving reports that the server must get no new work.
func (s *server) leaving() bool {
	return s.draining || s.state == ServerLeaving || s.state == ServerGone
}

func (s *server) holds(snapshot SnapshotID) bool {
	return slices.Contains(s.snapshots, snapshot)
}

// configure takes the service and classes now in force.
func (d *Dispatcher) configure(event Configured) {
	d.known = !event.Removed
	if event.Removed {
		return
	}
	d.service = event.Service
	clear(d.classes)
	for _, class := range event.Classes {
		d.classes[class.Name] = class
	}
	d.groups = d.groups[:0:0]
	for _, configured := range event.Service.Groups {
		g := group{span: configured.Range}
		for _, settings := range configured.Servers {
			g.servers = append(g.servers, d.server(settings))
		}
		d.groups = append(d.groups, g)
	}
}

// server returns the state of a configured server, made when it is new.
func (d *Dispatcher) server(settings policy.Server) *server {
	s := d.serverState(settings.ID)
	s.Server = settings
	return s
}

func (d *Dispatcher) serverState(id string) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{Server: policy.Server{ID: id}}
		d.servers[id] = s
	}
	return s
}

func (d *Dispatcher) serverChanged(event ServerChanged) {
	s := d.serverState(event.Server)
	s.state = event.State
	if event.State == ServerLive {
		s.draining = false
	}
}

func (d *Dispatcher) observe(id string, snapshots []SnapshotID, _ Load) {
	if len(snapshots) == 0 {
		return
	}
	s := d.serverState(id)
	s.snapshots = slices.Clone(snapshots)
}

// choose picks a server of the group that holds the snapshot and was not tried.
// Servers that shed or are suspect are taken only when no other is left.
func (d *Dispatcher) choose(g *group, snapshot SnapshotID, tried []string) *server {
	var best *server
	for _, s := range g.servers {
		if s.leaving() || !s.holds(snapshot) || slices.Contains(tried, s.ID) {
			continue
		}
		if best == nil || d.better(s, best) {
			best = s
		}
	}
	return best
}

// better reports whether a is to be preferred over b.
func (d *Dispatcher) better(a, b *server) bool {
	if rankA, rankB := d.rank(a), d.rank(b); rankA != rankB {
		return rankA < rankB
	}
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	if near := a.Zone == d.options.Zone; near != (b.Zone == d.options.Zone) {
		return near
	}
	return d.random.IntN(2) == 0
}

func (d *Dispatcher) rank(s *server) int {
	switch {
	case s.shedUntil > d.now:
		return 2
	case s.state == ServerSuspect:
		return 1
	default:
		return 0
	}
}

// newestSnapshot returns the newest snapshot that each group can serve, except
// those tried; zero when there is none.
func (d *Dispatcher) newestSnapshot(tried []SnapshotID) SnapshotID {
	if len(d.groups) == 0 {
		return 0
	}
	var newest SnapshotID
	for _, s := range d.groups[0].servers {
		for _, candidate := range s.snapshots {
			if candidate > newest && !slices.Contains(tried, candidate) && d.servable(candidate) {
				newest = candidate
			}
		}
	}
	return newest
}

func (d *Dispatcher) servable(snapshot SnapshotID) bool {
	for i := range d.groups {
		if !d.groups[i].servable(snapshot) {
			return false
		}
	}
	return true
}

func (g *group) servable(snapshot SnapshotID) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool {
		return !s.leaving() && s.holds(snapshot)
	})
}
