package membership

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the server departures that nodes gossip to each other.
const (
	// MaximumServerLeavings is the maximum number of departures in a message.
	MaximumServerLeavings = 8
	// MaximumIncarnationBytes is the maximum length of a server's incarnation.
	MaximumIncarnationBytes = 64
	// maximumQueuedLeavings limits the queued departures.
	maximumQueuedLeavings = 1024
	// leavingTransmissions is the number of messages in which a departure is sent. It
	// matches DefaultTransmissionFactor at a thousand nodes.
	leavingTransmissions = 16
)

// ServerLeaving reports that a server is leaving in the given incarnation.
type ServerLeaving struct {
	ID          string
	Incarnation string
}

// Valid reports whether the fields are within their limits.
func (l ServerLeaving) Valid() bool {
	return l.ID != "" && len(l.ID) <= MaximumIDBytes &&
		l.Incarnation != "" && len(l.Incarnation) <= MaximumIncarnationBytes
}

// leavingBroadcast is a queued departure to be piggybacked on messages.
type leavingBroadcast struct {
	leaving       ServerLeaving
	transmissions int
}

// queueLeaving queues a departure for the other nodes.
func (s *Servers) queueLeaving(id, incarnation string) {
	leaving := ServerLeaving{ID: id, Incarnation: incarnation}
	if len(s.leavings) < maximumQueuedLeavings && leaving.Valid() {
		s.leavings = append(s.leavings, leavingBroadcast{leaving: leaving})
	}
}

// TakeLeavings returns the departures for a message to another node, the least
// transmitted ones first.
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

// ReceiveLeavings processes departures gossiped by another node. Like the machine list,
// they do not override a different incarnation that the server itself reported.
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
