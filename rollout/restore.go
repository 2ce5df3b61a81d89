package rollout

import (
	"slices"
	"time"
)

// RegistryHistory says what a node has seen of the registry's past. The registry may be restored from a
// backup that lacks the end of an order, while the platform has acted on that end: the servers of the
// version that lost are gone.
type RegistryHistory struct {
	// EpochSeenAt is when the node first had a view of the current epoch.
	EpochSeenAt time.Duration
	// SawRestore says that the node followed the registry until the epoch began, so that it knows what
	// the backup lacks.
	SawRestore bool
	// Grace is the time after a restore within which the entries of servers that are gone expire, and
	// nodes that know more than the backup write that again.
	Grace time.Duration
	// ViewOutdated says that the view is known to lack what other nodes have decided: it is from before
	// the end of a suspension of the process, or from before the rejection of a write.
	ViewOutdated bool
	// ViewAge is the age of the view.
	ViewAge time.Duration
}

// maxEndViewAge is the age of the view up to which an order is ended, unless the target is bad. A registry
// that comes back from a backup may accept a write whose conditions name the same revisions by chance, so
// after an outage it is read first.
const maxEndViewAge = 1500 * time.Millisecond

// viewAllows reports whether the view is recent enough to write the record.
func (d *Decider) viewAllows(record Record) bool {
	verdict, _ := d.judge.Verdict()
	isRecent := d.input.History.ViewAge <= maxEndViewAge || verdict == Bad || !record.Phase.Ended()
	return isRecent && !d.input.History.ViewOutdated
}

// settled reports whether the registry has caught up, as far as it can, with what happened between the
// backup and the restore.
func (h RegistryHistory) settled(now time.Duration) bool { return now >= h.EpochSeenAt+h.Grace }

// doubt is what a decider knows of an order that may have ended without its record and this node showing
// it.
type doubt struct {
	// missedWrites says that the registry may have held a later record, by this decider, before it was
	// restored.
	missedWrites bool
	// lacksRecord says that the order may have ended, although the registry held no record of it.
	lacksRecord bool
	// resolved says that the order was found not to have ended.
	resolved bool
}

// observeSent handles a view that may show the effect of the last write, or of another one that came
// first.
func (d *Decider) observeSent(input DeciderInput) {
	sent := d.sent
	if sent == nil || input.Epoch == d.input.Epoch && input.OrderRevision == sent.OrderRevision && input.RecordRevision == sent.RecordRevision {
		return
	}
	if input.Epoch != d.input.Epoch {
		d.doubt.missedWrites = true
	}
	d.sent = nil
}

// observeRestore handles a view of a registry that may have been restored from a backup. An end that
// this decider has written is kept, to be written again.
func (d *Decider) observeRestore(now time.Duration, input *DeciderInput) {
	if input.Epoch != d.input.Epoch {
		d.doubt.resolved = false
		known := d.input.State
		if known.Order != 0 && known.Order == input.Order && known.Ended() && !input.Ended() {
			input.Record, input.RecordLost = known.Record, true
		}
	}
	if input.Order != 0 && !input.hasCurrentRecord() && !input.History.SawRestore && !input.History.settled(now) {
		d.doubt.lacksRecord = true
	}
}

// fromBackup reports whether the record is from before the registry was restored.
func (i DeciderInput) fromBackup() bool { return i.Record.Epoch < i.Epoch || i.Record.Rewritten }

// mayHaveEnded reports whether the order may have ended without its record and this node showing it.
func (d *Decider) mayHaveEnded() bool {
	unknown := d.input.fromBackup() && !d.input.History.SawRestore
	return (unknown || d.doubt.lacksRecord) && !d.doubt.resolved
}

// decideByServers decides on an order that may have ended unseen. The end is taken from the servers that
// are left. If both versions have servers, the order has not ended as far as anyone can tell.
func (d *Decider) decideByServers(now time.Duration) (record Record, due bool) {
	if !d.input.History.settled(now) {
		return Record{}, false
	}
	hasTarget, hasPrevious := d.input.hasTargetServers(), d.input.hasPreviousServers()
	switch {
	case hasTarget && !hasPrevious:
		return d.endRecord(now, Completed, "the previous versions have no servers left"), true
	case hasPrevious && !hasTarget && d.input.Record.Phase == Moving:
		return d.endRecord(now, RolledBack, "the target has no servers left"), true
	case hasPrevious:
		d.doubt.resolved = true
		return d.decidePhase(now)
	default:
		return Record{}, false
	}
}

// endUnprovenMove ends a move for want of reports, or by weak evidence. Nodes that know of an end don't
// report any more; if the registry was restored, another node may know of one.
func (d *Decider) endUnprovenMove(now time.Duration, reason string) (record Record, due bool) {
	switch {
	case !d.input.fromBackup() && !d.doubt.missedWrites:
	case !d.input.History.settled(now):
		return Record{}, false
	case d.input.hasTargetServers() && !d.input.hasPreviousServers():
		return d.endRecord(now, Completed, "the previous versions have no servers left"), true
	}
	return d.endRecord(now, RolledBack, reason), true
}

// hasTargetServers reports whether a server of the order's target accepts work.
func (i DeciderInput) hasTargetServers() bool { return slices.Contains(i.Versions, i.Record.Target) }

// hasPreviousServers reports whether a server to which a roll-back would return the traffic accepts
// work.
func (i DeciderInput) hasPreviousServers() bool {
	return slices.ContainsFunc(i.Versions, func(version string) bool {
		return version != i.Record.Target && !slices.Contains(i.Record.Excluded, version)
	})
}
