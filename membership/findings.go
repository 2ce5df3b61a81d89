package membership

import (
	"slices"
	"time"
)

// Limits of the findings on servers that nodes push to each other.
const (
	// MaximumServerFindings is the maximum number of findings in a message.
	MaximumServerFindings = 8
	// maximumQueuedFindings limits the queued findings. Departures that do not fit
	// still spread by gossip.
	maximumQueuedFindings = 1024
)

// ServerFinding is a change of a server that is pushed to a few peers at once.
type ServerFinding struct {
	ID          string
	Incarnation string
	// Leaving is true if the server is leaving in this incarnation. Otherwise the
	// incarnation is new.
	Leaving bool
}

// Valid reports whether the fields are within their limits.
func (f ServerFinding) Valid() bool {
	return ServerLeaving{ID: f.ID, Incarnation: f.Incarnation}.Valid()
}

// queueFinding queues a finding for a few peers, unless it repeats the previous one.
func (s *Servers) queueFinding(known *serverEntry, finding ServerFinding) {
	if known.lastFinding == finding {
		return
	}
	known.lastFinding = finding
	if len(s.findings) < maximumQueuedFindings && finding.Valid() {
		s.findings = append(s.findings, finding)
	}
}

// TakeFindings removes and returns up to MaximumServerFindings queued findings.
func (s *Servers) TakeFindings() []ServerFinding {
	count := min(len(s.findings), MaximumServerFindings)
	taken := slices.Clone(s.findings[:count])
	s.findings = slices.Delete(s.findings, 0, count)
	return taken
}

// HasFindings reports whether findings are queued.
func (s *Servers) HasFindings() bool { return len(s.findings) > 0 }

// TakeUnverified returns the servers on which other nodes have reported changes since
// the last call. The owner should read each of them, as only the server's own report is
// conclusive.
func (s *Servers) TakeUnverified() []string {
	unverified := s.unverified
	s.unverified = nil
	return unverified
}

// ReceiveFindings processes findings pushed by another node. A departure is handled
// like one received by gossip. A new incarnation changes no state; the server is to be
// read instead.
func (s *Servers) ReceiveFindings(now time.Duration, findings []ServerFinding) {
	for _, finding := range findings[:min(len(findings), MaximumServerFindings)] {
		switch {
		case !finding.Valid():
		case finding.Leaving:
			s.receiveLeaving(now, ServerLeaving{ID: finding.ID, Incarnation: finding.Incarnation})
		default:
			s.receiveIncarnation(finding)
		}
	}
}

func (s *Servers) receiveIncarnation(finding ServerFinding) {
	known := s.ensureEntry(finding.ID)
	if known == nil || known.lastFinding == finding || finding.Incarnation == known.incarnation ||
		slices.Contains(known.pastIncarnations, finding.Incarnation) {
		return
	}
	s.queueFinding(known, finding)
	s.markUnverified(finding.ID)
}

// markUnverified queues a server for TakeUnverified.
func (s *Servers) markUnverified(id string) {
	if len(s.unverified) < maximumQueuedFindings {
		s.unverified = append(s.unverified, id)
	}
}
