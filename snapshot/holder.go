package snapshot

import (
	"cmp"
	"slices"
)

// Server is what is known of one server.
type Server struct {
	catalog   *Catalog
	groups    []int
	available bool
	observed  bool
	// told is the last account as it came, to see quickly that nothing changed.
	told []ID
	// held is sorted, the newest first, without zero and duplicates.
	held []ID
}

// RecordReport takes the server's own account of the snapshots that it holds.
func (h *Server) RecordReport(snapshots []ID) {
	h.observed = true
	if slices.Equal(snapshots, h.told) {
		return
	}
	h.countAll(-1)
	h.told = append(h.told[:0], snapshots...)
	h.held = append(h.held[:0], snapshots...)
	slices.SortFunc(h.held, func(a, b ID) int { return cmp.Compare(b, a) })
	h.held = slices.Compact(h.held)
	h.held = slices.DeleteFunc(h.held, func(id ID) bool { return id == 0 })
	h.held = h.held[:min(len(h.held), MaxSnapshotsPerServer)]
	h.countAll(1)
}

// RecordMissing notes that the server said it does not hold the snapshot.
func (h *Server) RecordMissing(id ID) {
	i := slices.Index(h.held, id)
	if i < 0 {
		return
	}
	h.countAll(-1)
	h.held = slices.Delete(h.held, i, i+1)
	h.told = h.told[:0]
	h.countAll(1)
}

// SetAvailable says whether the server may be asked. What it holds is kept
// while it may not, but counts for no choice.
func (h *Server) SetAvailable(available bool) {
	if available == h.available {
		return
	}
	h.countAll(-1)
	h.available = available
	h.countAll(1)
}

// Holds reports whether the server is known to hold the snapshot.
func (h *Server) Holds(id ID) bool {
	return slices.Contains(h.held, id)
}

// HasReported reports whether the server ever gave an account.
func (h *Server) HasReported() bool {
	return h.observed
}

// countAll adds or takes away the holder's part in the counts.
func (h *Server) countAll(change int32) {
	if !h.available {
		return
	}
	for _, id := range h.held {
		h.count(h.catalog.entry(id), change)
		h.catalog.drop(id)
	}
}

func (h *Server) count(e *entry, change int32) {
	for _, group := range h.groups {
		before := e.holders[group]
		e.holders[group] += change
		e.total += int(change)
		switch {
		case before == 0:
			e.served++
			e.keys += h.catalog.keys[group]
		case e.holders[group] == 0:
			e.served--
			e.keys -= h.catalog.keys[group]
		}
	}
}
