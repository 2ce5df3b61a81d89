package dispatch

import (
	"cmp"
	"slices"

	"github.com/banksail/banksail/gather"
)

// handleServerChanged applies a membership state. ServerLive overrides an earlier draining
// reply of the server and clears its ejection.
func (d *Dispatcher) handleServerChanged(event ServerChanged) {
	s := d.servers[event.Server]
	if s == nil {
		d.recordState(event)
		return
	}
	wasLeaving := s.isLeaving()
	s.state = event.State
	if event.State == ServerLive {
		s.draining = false
		s.ejectedUntil = 0
		s.consecutiveFailures = 0
	}
	d.updateAvailability(s)
	if event.State == ServerGone {
		d.notifyServerGone(s)
	}
	if wasLeaving && !s.isLeaving() {
		d.rerouteQueries()
	}
}

// recordState stores the state of a server that is not configured.
func (d *Dispatcher) recordState(event ServerChanged) {
	if event.State == ServerLive || event.State == ServerGone {
		delete(d.unconfiguredStates, event.Server)
		return
	}
	d.unconfiguredStates[event.Server] = event.State
}

// updateAvailability updates the snapshot catalog and the capacity of the server's groups.
func (d *Dispatcher) updateAvailability(s *server) {
	s.snapshots.SetAvailable(!s.isLeaving())
	d.updateCapacity(s)
}

// notifyServerGone informs the queries that have pending attempts on a server that is gone.
func (d *Dispatcher) notifyServerGone(s *server) {
	var lost []*gather.Attempt
	for _, a := range d.attempts {
		if a.Server == gather.Server(s) && a.IsPending() {
			lost = append(lost, a)
		}
	}
	slices.SortFunc(lost, func(a, b *gather.Attempt) int { return cmp.Compare(a.ID, b.ID) })
	for _, a := range lost {
		a.Query().HandleServerGone(d.now, a)
		d.scheduleTick(runningOf(a.Query()))
	}
}

// handleServerReported applies a report of a configured server.
func (d *Dispatcher) handleServerReported(event ServerReported) {
	if s := d.servers[event.Server]; s != nil {
		d.applyReport(s, event.Snapshots, event.Load)
	}
}

func (d *Dispatcher) applyReport(s *server, snapshots []SnapshotID, load Load) {
	if len(snapshots) > 0 {
		if !s.snapshots.HasReported() {
			d.markResumable(s.groups) // queries may be waiting for its first report
		}
		s.snapshots.RecordReport(snapshots)
	}
	if load != (Load{}) {
		s.load = float64(max(load.InFlight+load.Queued-s.limiter.InFlight(), 0))
		s.loadAt = d.now
	}
}
