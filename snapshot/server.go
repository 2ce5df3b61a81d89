package snapshot

import (
	"cmp"
	"slices"
)

// ServerSnapshots is what is known of one server.
type ServerSnapshots struct {
	catalog     *Catalog
	groups      []int
	available   bool
	hasReported bool
	// lastReport is the last account as it came, to see quickly that nothing changed.
	lastReport []ID
	// held is sorted, the newest first, without zero and duplicates.
	held []ID
}

// RecordReport takes the server's own account of the snapshots that it holds.
func (s *ServerSnapshots) RecordReport(snapshots []ID) {
	s.hasReported = true
	if slices.Equal(snapshots, s.lastReport) {
		return
	}
	s.updateCounts(-1)
	s.lastReport = append(s.lastReport[:0], snapshots...)
	s.held = append(s.held[:0], snapshots...)
	slices.SortFunc(s.held, func(a, b ID) int { return cmp.Compare(b, a) })
	s.held = slices.Compact(s.held)
	s.held = slices.DeleteFunc(s.held, func(id ID) bool { return id == 0 })
	s.held = s.held[:min(len(s.held), MaxSnapshotsPerServer)]
	s.updateCounts(1)
}

// RecordMissing notes that the server said it does not hold the snapshot.
func (s *ServerSnapshots) RecordMissing(id ID) {
	i := slices.Index(s.held, id)
	if i < 0 {
		return
	}
	s.updateCounts(-1)
	s.held = slices.Delete(s.held, i, i+1)
	s.lastReport = s.lastReport[:0]
	s.updateCounts(1)
}

// SetAvailable says whether the server may be asked. What it holds is kept
// while it may not, but counts for no choice.
func (s *ServerSnapshots) SetAvailable(available bool) {
	if available == s.available {
		return
	}
	s.updateCounts(-1)
	s.available = available
	s.updateCounts(1)
}

// Holds reports whether the server is known to hold the snapshot.
func (s *ServerSnapshots) Holds(id ID) bool {
	return slices.Contains(s.held, id)
}

// HasReported reports whether the server ever gave an account.
func (s *ServerSnapshots) HasReported() bool {
	return s.hasReported
}

// updateCounts adds or takes away the holder's part in the counts.
func (s *ServerSnapshots) updateCounts(change int32) {
	if !s.available {
		return
	}
	for _, id := range s.held {
		s.updateCount(s.catalog.countsFor(id), change)
		s.catalog.removeIfUnheld(id)
	}
}

func (s *ServerSnapshots) updateCount(counts *snapshotCounts, change int32) {
	for _, group := range s.groups {
		before := counts.holdersByGroup[group]
		counts.holdersByGroup[group] += change
		counts.totalHolders += int(change)
		switch {
		case before == 0:
			counts.servedGroups++
			counts.keys += s.catalog.keys[group]
		case counts.holdersByGroup[group] == 0:
			counts.servedGroups--
			counts.keys -= s.catalog.keys[group]
		}
	}
}
