package snapshot

import (
	"cmp"
	"slices"
)

// ServerSnapshots is what is known about the snapshots of one server.
type ServerSnapshots struct {
	catalog     *Catalog
	groups      []int
	available   bool
	hasReported bool
	// lastReport is the last report as received, or empty after RecordMissing.
	// It is used to detect quickly that a report has not changed.
	lastReport []ID
	// held is sorted, newest first, without zeros and duplicates.
	held []ID
}

// RecordReport records the snapshots that the server reports to hold. It
// replaces the previous report.
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

// RecordMissing records that the server replied that it does not hold the
// snapshot.
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

// SetAvailable sets whether requests may be sent to the server. While it is
// unavailable, its snapshots are remembered but do not count in choices.
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

// HasReported reports whether the server has ever sent a report.
func (s *ServerSnapshots) HasReported() bool {
	return s.hasReported
}

// updateCounts adds the server's snapshots to the counts (change 1) or
// subtracts them (change -1). It does nothing while the server is unavailable.
func (s *ServerSnapshots) updateCounts(change int32) {
	if !s.available {
		return
	}
	for _, id := range s.held {
		s.updateCount(s.catalog.countsFor(id), change)
		s.catalog.removeIfUnheld(id)
	}
}

// updateCount changes the counts of one snapshot, once for each group of the
// server.
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
