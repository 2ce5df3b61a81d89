package membership

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what nodes tell each other of leaving servers.
const (
	// MaximumServerLeavings bounds the leavings in a message.
	MaximumServerLeavings = 8
	// MaximumIncarnationBytes bounds a server's incarnation.
	MaximumIncarnationBytes = 64
	// maximumQueuedLeavings bounds those that wait.
	maximumQueuedLeavings = 1024
	// leavingTransmissions is the number of messages that carry a leaving; it
	// suits DefaultTransmissionFactor at a thousand nodes.
	leavingTransmissions = 16
)

// ServerLeaving tells that a server is leaving in an incarnation.
type ServerLeaving struct {
	ID          string
	Incarnation string
}

// Valid reports whether the fields are within their bounds.
func (l ServerLeaving) Valid() bool {
	return l.ID != "" && len(l.ID) <= MaximumIDBytes &&
		l.Incarnation != "" && len(l.Incarnation) <= MaximumIncarnationBytes
}

// leavingBroadcast is a leaving that waits to ride on messages.
type leavingBroadcast struct {
	leaving       ServerLeaving
	transmissions int
}

// queueLeaving queues a leaving for the other nodes.
func (s *Servers) queueLeaving(id, incarnation string) {
	leaving := ServerLeaving{ID: id, Incarnation: incarnation}
	if len(s.leavings) < maximumQueuedLeavings && leaving.Valid() {
		s.leavings = append(s.leavings, leavingBroadcast{leaving: leaving})
	}
}

// TakeLeavings picks what to tell another node, those told the fewest times first.
func (s *Servers) TakeLeavings() []ServerLeaving {
	slices.SortStableFunc(s.leavings, func(x, y leavingBroadcast) int {
		return cmp.Compare(x.transmissions, y.transmissions)
	})
	var picked []ServerLeaving
	for i := range s.leavings[:min(len(s.leavings), MaximumServerLeavings)] {
		picked = append(picked, s.leavings[i].leaving)
		s.leavings[i].transmissions++
	}
	s.leavings = slices.DeleteFunc(s.leavings, func(waiting leavingBroadcast) bool {
		return waiting.transmissions >= leavingTransmissions
	})
	return picked
}

// ReceiveLeavings takes in what another node tells. Like the machine list it
// does not count against another incarnation that the server told itself.
func (s *Servers) ReceiveLeavings(now time.Duration, leavings []ServerLeaving) {
	for _, leaving := range leavings[:min(len(leavings), MaximumServerLeavings)] {
		if leaving.Valid() {
			s.receiveLeaving(now, leaving)
		}
	}
}

func (s *Servers) receiveLeaving(now time.Duration, leaving ServerLeaving) {
	known := s.ensureEntry(leaving.ID)
	if known == nil || slices.Contains(known.pastIncarnations, leaving.Incarnation) {
		return
	}
	if known.selfReported && leaving.Incarnation != known.incarnation {
		s.markUnverified(leaving.ID)
		return
	}
	server := ListedServer{ID: leaving.ID, Leaving: true, Incarnation: leaving.Incarnation}
	s.observeIncarnation(now, server, known)
	before := known.state
	s.markLeaving(now, leaving.ID, known)
	if known.state != before {
		s.markUnverified(leaving.ID)
	}
}
