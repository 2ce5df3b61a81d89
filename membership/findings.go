package membership

import (
	"slices"
	"time"
)

// Bounds of what nodes push to each other of servers.
const (
	// MaximumServerFindings bounds the findings in a message.
	MaximumServerFindings = 8
	// maximumQueuedFindings bounds those that wait; gossip carries the leavings
	// among those that don't fit.
	maximumQueuedFindings = 1024
)

// ServerFinding is news of a server that is pushed to a few peers at once.
type ServerFinding struct {
	ID          string
	Incarnation string
	// Leaving says that the server is leaving in the incarnation; otherwise the
	// incarnation is a new one.
	Leaving bool
}

// Valid reports whether the fields are within their bounds.
func (f ServerFinding) Valid() bool {
	return ServerLeaving{ID: f.ID, Incarnation: f.Incarnation}.Valid()
}

// queueFinding queues a finding for a few peers, once.
func (s *Servers) queueFinding(known *serverEntry, finding ServerFinding) {
	if known.lastFinding == finding {
		return
	}
	known.lastFinding = finding
	if len(s.findings) < maximumQueuedFindings && finding.Valid() {
		s.findings = append(s.findings, finding)
	}
}

// TakeFindings returns at most MaximumServerFindings that wait to be pushed.
func (s *Servers) TakeFindings() []ServerFinding {
	count := min(len(s.findings), MaximumServerFindings)
	taken := slices.Clone(s.findings[:count])
	s.findings = slices.Delete(s.findings, 0, count)
	return taken
}

// HasFindings reports whether findings wait.
func (s *Servers) HasFindings() bool { return len(s.findings) > 0 }

// TakeUnverified returns the servers of which other nodes told news since the last
// call. Their own word decides, so each is to be read.
func (s *Servers) TakeUnverified() []string {
	unverified := s.unverified
	s.unverified = nil
	return unverified
}

// ReceiveFindings takes in what another node pushed. A leaving counts as one
// that gossip tells. A new incarnation changes no state: the node is to read the
// server itself.
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

// markUnverified asks for a reading of a server.
func (s *Servers) markUnverified(id string) {
	if len(s.unverified) < maximumQueuedFindings {
		s.unverified = append(s.unverified, id)
	}
}
