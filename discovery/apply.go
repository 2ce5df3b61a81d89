package discovery

import "time"

// listedIDs returns the IDs of the entries, including those that could not be decoded.
func listedIDs[T any](entries []Entry[T], invalid []InvalidEntry) map[string]struct{} {
	ids := make(map[string]struct{}, len(entries)+len(invalid))
	for _, e := range entries {
		ids[e.ID] = struct{}{}
	}
	for _, entry := range invalid {
		ids[entry.Name] = struct{}{}
	}
	return ids
}

// detectEpochChange starts a new epoch if the registry was restored from a backup. The lock must be held.
func (f *Follower) detectEpochChange(now time.Duration, changes Changes) {
	known := f.position
	if _, synced := f.view.SyncedAt(); !synced || changes.Epoch <= known.Epoch {
		return
	}
	f.view.BeginEpoch(now, changes.Position())
	f.options.Logger.Warn().Uint64("epoch", uint64(changes.Epoch)).Uint64("revision", uint64(changes.Revision)).
		Uint64("known_epoch", uint64(known.Epoch)).Uint64("known_revision", uint64(known.Revision)).
		Bool("relayed", changes.Relayed).Msg("registry came back from a copy")
}

// applyChanges applies changes received at now to the view and notifies the owner.
func (f *Follower) applyChanges(now time.Duration, changes Changes) {
	f.reportInvalid(changes.Invalid)
	f.applyAndObserve(func() {
		before, synced := f.view.SyncedAt()
		f.recordSync(now, changes)
		f.merge(now, changes, writeTime{at: before, known: synced && !changes.Relayed})
	})
}

// applyAndObserve changes the state and reports the maximum time for which a change was not known.
func (f *Follower) applyAndObserve(change func()) {
	age, known := f.Age()
	if f.updateAndNotify(change) && known {
		f.options.OnAdopted(age)
	}
}

// recordSync records that the registry answered at now, to this node or to the node it fetched
// from. The lock must be held.
func (f *Follower) recordSync(now time.Duration, changes Changes) {
	switch {
	case changes.Partial:
		f.view.RecordResponse(now)
	case changes.Continuous:
		f.view.RecordContinuousSync(now)
	default:
		f.view.RecordSync(now)
	}
}

// applyListing applies a complete listing received at now: entries that are not listed are removed.
// Everything changes at once, as otherwise old content would be published with the new age.
func (f *Follower) applyListing(now time.Duration, all Changes) {
	f.reportInvalid(all.Invalid)
	f.applyAndObserve(func() {
		before, synced := f.view.SyncedAt()
		f.detectEpochChange(now, all)
		f.recordSync(now, all)
		if all.Relayed {
			f.view.RecordRelayedListing(now, all.Position())
		}
		f.view.RetainServers(now, listedIDs(all.Servers, all.Invalid), all.Position())
		f.view.RetainNodes(now, listedIDs(all.Nodes, all.Invalid), all.Position())
		f.view.RetainDirectives(listedIDs(all.Directives, all.Invalid), all.Position())
		f.merge(now, all, writeTime{at: before, known: synced && !all.Relayed})
	})
}

// reportInvalid counts and logs the entries that could not be decoded.
func (f *Follower) reportInvalid(entries []InvalidEntry) {
	f.invalidCount.Add(uint64(len(entries)))
	for _, invalid := range entries {
		f.invalidLogger.Error().Str("entry", invalid.Name).Err(invalid.Err).Msg("entry is not taken")
	}
}

// writeTime is the earliest time at which new directives can have been written.
type writeTime struct {
	at    time.Duration
	known bool
}

// earliestWrite returns that time for one directive: another node sends its maximum age, and what
// the registry itself reports was written after the previous sync.
func (f *Follower) earliestWrite(key string, changes Changes, fallback writeTime) writeTime {
	if age, ok := changes.MaxOrderAges[key]; ok {
		return writeTime{at: f.now() - age, known: true}
	}
	return fallback
}

// merge applies changes to the view. The lock must be held.
func (f *Follower) merge(now time.Duration, changes Changes, fallback writeTime) {
	for _, e := range changes.Servers {
		if e.Gone {
			f.view.RemoveServer(now, e.ID, changes.positionAt(e.Revision))
		} else {
			f.view.PutServer(now, e.Value, changes.positionAt(e.Revision))
		}
	}
	for _, e := range changes.Nodes {
		if e.Gone {
			f.view.RemoveNode(now, e.ID, changes.positionAt(e.Revision))
		} else {
			f.view.PutNode(e.Value, changes.positionAt(e.Revision))
		}
	}
	for _, e := range changes.Directives {
		if e.Gone {
			f.view.RemoveDirective(e.ID, changes.positionAt(e.Revision))
			continue
		}
		earliest := f.earliestWrite(e.ID, changes, fallback)
		f.view.PutDirective(now, e.Value, changes.positionAt(e.Revision), earliest.at, earliest.known)
		if age, ok := changes.MinOrderAges[e.ID]; ok {
			f.view.RecordDirectiveSeen(e.ID, f.now()-age)
		}
	}
	if f.position.Before(changes.Position()) {
		f.position = changes.Position()
	}
	if changes.Table != nil && (f.table == nil || changes.Table.Version > f.table.Version) {
		f.table = changes.Table
	}
}
