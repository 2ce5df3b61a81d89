package discovery

import (
	"time"

	"github.com/banksail/banksail/mechanism"
)

// A registry restored from a backup holds the state of some seconds earlier. A server that has
// left since is listed again until its entry expires, one that started draining is listed as
// ready until it writes again, and one that was added since is missing until it writes again.
// For a grace period, known departures and drains therefore take precedence over the backup, and
// servers missing from it are retained as after an outage.

const (
	// departedRetention is how long a node remembers that a server has left, and maxDeparted the
	// number of such servers that it remembers. Backups are some seconds old, and a zone of the
	// largest deployment has 700 servers.
	departedRetention = time.Minute
	maxDeparted       = 4096
)

// restoreState is what a View keeps to handle a registry that was restored from a backup.
type restoreState struct {
	// epoch is the latest epoch that began while this node was running, revision the first
	// revision seen in it, and until the end of the grace period in which earlier knowledge
	// takes precedence over the backup.
	epoch    Epoch
	revision Revision
	until    time.Duration
	// servers holds entries of the backup that are deferred until the grace period ends.
	servers map[string]Server
	// departed holds the servers that left recently, with the time at which they did.
	departed map[Incarnation]time.Duration
}

func newRestoreState() restoreState {
	return restoreState{servers: make(map[string]Server), departed: make(map[Incarnation]time.Duration)}
}

// recordDeparted records that a server has left.
func (r *restoreState) recordDeparted(now time.Duration, server Server) {
	if len(r.departed) >= maxDeparted {
		r.pruneDeparted(now)
	}
	if len(r.departed) < maxDeparted {
		r.departed[server.Incarnation()] = now
	}
}

// pruneDeparted drops servers that left longer ago than departedRetention.
func (r *restoreState) pruneDeparted(now time.Duration) {
	for incarnation, at := range r.departed {
		if now-at >= departedRetention {
			delete(r.departed, incarnation)
		}
	}
}

func (r *restoreState) hasDeparted(server Server) bool {
	_, departed := r.departed[server.Incarnation()]
	return departed
}

// wouldUndoDrain reports whether the listed state would make a server ready that is known to
// be draining, within the same incarnation.
func wouldUndoDrain(known, listed Server) bool {
	return known.State == Draining && listed.State == Ready && known.Incarnation() == listed.Incarnation()
}

// BeginEpoch records, at now, that the registry was restored from a backup: entries up to the
// position may come from the backup.
func (v *View) BeginEpoch(now time.Duration, position Position) {
	if v.options.Disabled.Enabled(mechanism.OutageRetention) {
		v.retainUntil = max(v.retainUntil, now+v.options.RemovalGrace)
	}
	v.restored.epoch, v.restored.revision = position.Epoch, position.Revision
	v.restored.until = now + v.options.RestoreGrace
	v.restored.pruneDeparted(now)
	v.directives.beginEpoch(now+v.options.DirectiveGrace, position.Epoch)
}

// RecordRelayedListing records that another node sent a complete listing. Entries up to its
// position may come from the backup, as that node may know less about the time before the
// restore.
func (v *View) RecordRelayedListing(now time.Duration, position Position) {
	if now < v.restored.until && position.Epoch == v.restored.epoch {
		v.restored.revision = max(v.restored.revision, position.Revision)
	}
}

// maybeFromBackup reports whether an entry at the position, received at now, may come from a
// backup and thus be older than what is known. Entries that the registry writes later are newer.
func (v *View) maybeFromBackup(now time.Duration, position Position) bool {
	r := &v.restored
	return now < r.until && position.Epoch == r.epoch && position.Revision <= r.revision
}

// applyDeferred applies the entries of the backup that are still listed once the grace period
// is over.
func (v *View) applyDeferred(now time.Duration) {
	if now < v.restored.until {
		return
	}
	for id, server := range v.restored.servers {
		position := Position{Epoch: v.restored.epoch, Revision: v.restored.revision}
		put(v.servers, id, server, position)
		delete(v.restored.servers, id)
	}
}
