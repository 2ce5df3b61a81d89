package discovery

import "time"

// listedIDs names the entries and those that could not be read.
func listedIDs[T any](entries []Entry[T], invalid []InvalidEntry) map[string]struct{} {
	ids := make(map[string]struct{}, len(entries)+len(invalid))
	for _, e := range entries {
		ids[e.ID] = struct{}{}
	}
	for _, one := range invalid {
		ids[one.Name] = struct{}{}
	}
	return ids
}

// take brings the view up to date with what was heard at now, and tells what is
// believed.
func (f *Follower) take(now time.Duration, changes Changes) {
	f.noteInvalid(changes.Invalid)
	f.adopt(func() {
		before, heard := f.view.HeardAt()
		f.hear(now, changes)
		f.merge(now, changes, birth{at: before, known: heard && !changes.Relayed})
	})
}

// adopt changes what is believed, and notes for how long a change was not known at most.
func (f *Follower) adopt(change func()) {
	age, known := f.Age()
	if f.tell(change) && known {
		f.options.Adopted(age)
	}
}

// hear notes that the registry answered at now, to this node or to one that it asked. The
// lock is held.
func (f *Follower) hear(now time.Duration, changes Changes) {
	switch {
	case changes.Partial:
		f.view.Answered(now)
	case changes.Certain:
		f.view.HeardAllAlong(now)
	default:
		f.view.Heard(now)
	}
}

// takeWhole does the same with all that there is: what is not named has gone. All of
// it changes at once, or others would be told the old contents with the new age.
func (f *Follower) takeWhole(now time.Duration, all Changes) {
	f.noteInvalid(all.Invalid)
	f.adopt(func() {
		before, heard := f.view.HeardAt()
		f.hear(now, all)
		f.view.RetainServers(now, listedIDs(all.Servers, all.Invalid), all.Revision)
		f.view.RetainNodes(now, listedIDs(all.Nodes, all.Invalid), all.Revision)
		f.view.RetainDirectives(listedIDs(all.Directives, all.Invalid), all.Revision)
		f.merge(now, all, birth{at: before, known: heard && !all.Relayed})
	})
}

// noteInvalid counts and logs the entries that could not be read.
func (f *Follower) noteInvalid(entries []InvalidEntry) {
	f.invalid.Add(uint64(len(entries)))
	for _, invalid := range entries {
		f.invalidLogger.Error().Str("entry", invalid.Name).Err(invalid.Err).Msg("entry is not taken")
	}
}

// birth is when directives that are new were written at the earliest.
type birth struct {
	at    time.Duration
	known bool
}

// birthOf is that of one directive: another node tells its age, and what the registry tells
// was written after it was heard last.
func (f *Follower) birthOf(key string, changes Changes, newest birth) birth {
	if age, told := changes.OrderAges[key]; told {
		return birth{at: f.now() - age, known: true}
	}
	return newest
}

// merge brings the view up to date. The lock is held.
func (f *Follower) merge(now time.Duration, changes Changes, newest birth) {
	for _, e := range changes.Servers {
		if e.Gone {
			f.view.RemoveServer(now, e.ID, e.Revision)
		} else {
			f.view.PutServer(e.Value, e.Revision)
		}
	}
	for _, e := range changes.Nodes {
		if e.Gone {
			f.view.RemoveNode(now, e.ID, e.Revision)
		} else {
			f.view.PutNode(e.Value, e.Revision)
		}
	}
	for _, e := range changes.Directives {
		if e.Gone {
			f.view.RemoveDirective(e.ID, e.Revision)
			continue
		}
		born := f.birthOf(e.ID, changes, newest)
		f.view.PutDirective(e.Value, e.Revision, born.at, born.known)
	}
	f.revision = max(f.revision, changes.Revision)
	if changes.Table != nil && (f.table == nil || changes.Table.Version > f.table.Version) {
		f.table = changes.Table
	}
}
