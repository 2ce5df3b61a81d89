package dispatch

import (
	"cmp"
	"slices"

	"github.com/banksail/banksail/gather"
)

// serverChanged takes what membership says of a server. Live ends an earlier
// account of its leaving.
func (d *Dispatcher) serverChanged(event ServerChanged) {
	s := d.servers[event.Server]
	if s == nil {
		d.noteState(event)
		return
	}
	wasAway := s.leaving()
	s.state = event.State
	if event.State == ServerLive {
		s.draining = false
		s.avoidUntil = 0
		s.failures = 0
	}
	d.availabilityChanged(s)
	if event.State == ServerGone {
		d.lost(s)
	}
	if wasAway && !s.leaving() {
		d.reroute()
	}
}

// noteState remembers the state of a server that is not configured.
func (d *Dispatcher) noteState(event ServerChanged) {
	if event.State == ServerLive || event.State == ServerGone {
		delete(d.states, event.Server)
		return
	}
	d.states[event.Server] = event.State
}

// availabilityChanged brings the catalog and the groups' sums up to date.
func (d *Dispatcher) availabilityChanged(s *server) {
	s.holder.SetAvailable(!s.leaving())
	d.account(s)
}

// lost tells the queries whose attempts are at a server that is gone.
func (d *Dispatcher) lost(s *server) {
	var lost []*gather.Attempt
	for _, a := range d.attempts {
		if a.Server == gather.Server(s) && a.IsPending() {
			lost = append(lost, a)
		}
	}
	slices.SortFunc(lost, func(a, b *gather.Attempt) int { return cmp.Compare(a.ID, b.ID) })
	for _, a := range lost {
		a.Query().HandleServerGone(d.now, a)
		d.schedule(owner(a.Query()))
	}
}

// observed takes a server's own account of itself.
func (d *Dispatcher) observed(event ServerReported) {
	if s := d.servers[event.Server]; s != nil {
		d.observe(s, event.Snapshots, event.Load)
	}
}

func (d *Dispatcher) observe(s *server, snapshots []SnapshotID, load Load) {
	if len(snapshots) > 0 {
		if !s.holder.Observed() {
			d.markRoomy(s.groups) // queries may wait to hear of it
		}
		s.holder.Observe(snapshots)
	}
	if load != (Load{}) {
		s.load = float64(max(load.InFlight+load.Queued-s.limiter.InFlight(), 0))
		s.loadAt = d.now
	}
}
