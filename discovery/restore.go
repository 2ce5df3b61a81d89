package discovery

import (
	"time"

	"github.com/banksail/banksail/mechanism"
)

// A registry that comes back from a copy says of servers what held some seconds before. One that
// has left since is listed again until its entry lapses, one that leaves is ready again until
// it says otherwise, and one that came since is missing until it writes again. So what was known
// of a server's end or leaving counts more than the copy for a while, and what is missing is in
// doubt as after an outage.

const (
	// departedRetention is how long a node remembers that a server has gone, and maxDeparted the
	// number of those that it remembers: copies are some seconds old, and a zone of the
	// largest deployment has 700 servers.
	departedRetention = time.Minute
	maxDeparted       = 4096
)

// restoreState is what a node needs to know once the registry has come back from a copy.
type restoreState struct {
	// epoch is the one that began last while this node listened, revision the one of what it
	// heard of it first, and until is for how long the copy counts less than what was known.
	epoch    Epoch
	revision Revision
	until    time.Duration
	// servers are entries of the copy that don't count yet.
	servers map[string]Server
	// departed are the servers that have gone of late, with the time of that.
	departed map[Incarnation]time.Duration
}

func newRestoreState() restoreState {
	return restoreState{servers: make(map[string]Server), departed: make(map[Incarnation]time.Duration)}
}

// recordDeparted notes that a server has gone.
func (r *restoreState) recordDeparted(now time.Duration, server Server) {
	if len(r.departed) >= maxDeparted {
		r.pruneDeparted(now)
	}
	if len(r.departed) < maxDeparted {
		r.departed[server.Incarnation()] = now
	}
}

// pruneDeparted drops the servers that went long ago.
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

// wouldUndoDrain reports whether a server is known to be leaving of which an earlier state is told.
func wouldUndoDrain(known, told Server) bool {
	return known.State == Draining && told.State == Ready && known.Incarnation() == told.Incarnation()
}

// BeginEpoch notes that the registry has come back from a copy, as heard at now: what follows
// up to the position may be of the copy.
func (v *View) BeginEpoch(now time.Duration, position Position) {
	if v.options.Disabled.Enabled(mechanism.OutageRetention) {
		v.retainUntil = max(v.retainUntil, now+v.options.RemovalGrace)
	}
	v.restored.epoch, v.restored.revision = position.Epoch, position.Revision
	v.restored.until = now + v.options.RestoreGrace
	v.restored.pruneDeparted(now)
	v.directives.beginEpoch(now+v.options.DirectiveGrace, position.Epoch)
}

// RecordRelayedListing notes that another node tells all that it believes: it may know less of what was
// before the copy.
func (v *View) RecordRelayedListing(now time.Duration, position Position) {
	if now < v.restored.until && position.Epoch == v.restored.epoch {
		v.restored.revision = max(v.restored.revision, position.Revision)
	}
}

// maybeFromBackup reports whether what was heard at now of a position may be older than what is known,
// as the registry came back from a copy; what it writes later is news.
func (v *View) maybeFromBackup(now time.Duration, position Position) bool {
	r := &v.restored
	return now < r.until && position.Epoch == r.epoch && position.Revision <= r.revision
}

// applyDeferred takes the entries of the copy that still stand once it counts.
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
