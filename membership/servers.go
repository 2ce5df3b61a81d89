package membership

import (
	"slices"
	"time"
)

// Defaults of ServersOptions.
const (
	DefaultSuspectFailures     = 3
	DefaultUnlistedGoneTimeout = 30 * time.Second
	DefaultListedGoneTimeout   = 10 * time.Minute
	DefaultServerLeavingTime   = 11 * time.Minute
)

// Limits of the server table.
const (
	// MaximumServers is the maximum size of the table.
	MaximumServers = 20000
	// rememberedIncarnations is the number of past incarnations of a server whose late
	// reports are ignored.
	rememberedIncarnations = 4
)

// ServersOptions configures Servers. Zero fields take the defaults.
type ServersOptions struct {
	// SuspectFailures is the number of consecutive connect failures that make a server
	// suspect.
	SuspectFailures int
	// UnlistedGoneTimeout is how long a server that is not on the machine list may be
	// unreachable before it becomes gone.
	UnlistedGoneTimeout time.Duration
	// ListedGoneTimeout is the same timeout for a server on the machine list.
	ListedGoneTimeout time.Duration
	// LeavingTime is how long a leaving server may take to finish its work in flight.
	// It must exceed the longest deadline of a request. Until then even connect
	// failures do not make the server gone, as a draining server may refuse new
	// connections.
	LeavingTime time.Duration
}

func (o ServersOptions) withDefaults() ServersOptions {
	setDefault(&o.SuspectFailures, DefaultSuspectFailures)
	setDefault(&o.UnlistedGoneTimeout, DefaultUnlistedGoneTimeout)
	setDefault(&o.ListedGoneTimeout, DefaultListedGoneTimeout)
	setDefault(&o.LeavingTime, DefaultServerLeavingTime)
	return o
}

// ServerSource is the origin of a report on a server.
type ServerSource int

const (
	// FromReply reports were piggybacked on the reply to a sub-request.
	FromReply ServerSource = iota + 1
	// FromHealth reports came from the server's health endpoint.
	FromHealth
	// FromConnect reports are connect failures.
	FromConnect
)

// ServerCondition is the content of a report.
type ServerCondition int

const (
	// ServerAnswered means that the server replied without indicating that it is
	// leaving.
	ServerAnswered ServerCondition = iota + 1
	// ServerDraining means that the server reported that it is leaving.
	ServerDraining
	// ServerUnreachable means that connecting failed.
	ServerUnreachable
)

// ServerReport is one observation of a server.
type ServerReport struct {
	Source    ServerSource
	Condition ServerCondition
	// Incarnation is the incarnation that the server reported, or empty if it reported
	// none.
	Incarnation string
	// Age is the time since the request that led to the report was sent. Reports older
	// than the server's current incarnation are ignored.
	Age time.Duration
}

// ServerChange is a state change of a server.
type ServerChange struct {
	ID    string
	State State
}

// longAgo is earlier than any report.
const longAgo = -never

// serverEntry is the state of one server in the table.
type serverEntry struct {
	state State
	// incarnation is the incarnation that state applies to. selfReported is true if the
	// server itself reported it.
	incarnation      string
	selfReported     bool
	incarnationSince time.Duration
	pastIncarnations []string
	// failures is the number of consecutive connect failures, the first of which was at
	// failingSince.
	failures     int
	failingSince time.Duration
	// deadline is when a leaving server becomes gone.
	deadline time.Duration
	// sticky is true if the server is known to be leaving in its current incarnation,
	// because the incarnation was known when the departure was reported.
	sticky bool
	listed bool
	// lastFinding is the last finding queued for other nodes.
	lastFinding ServerFinding
}

// Servers merges reports on back-end servers from several sources.
//
// The first source to report a server as leaving wins, and the server stays leaving
// until it has a new incarnation. Connect failures make a server suspect, never
// leaving, and gone only after a timeout. The machine list never removes a server that
// replies.
type Servers struct {
	options ServersOptions
	entries map[string]*serverEntry
	ids     []string
	changes []ServerChange
	// leavings are the departures to be gossiped to other nodes.
	leavings []leavingBroadcast
	// findings are to be pushed to other nodes. unverified holds the servers that
	// should be read because of other nodes' findings.
	findings   []ServerFinding
	unverified []string
}

// NewServers returns an empty table. Servers that are not in it are considered live.
func NewServers(options ServersOptions) *Servers {
	return &Servers{options: options.withDefaults(), entries: make(map[string]*serverEntry)}
}

// State returns the state of a server. An unknown server is live.
func (s *Servers) State(id string) State {
	known, ok := s.entries[id]
	if !ok {
		return Live
	}
	return known.state
}

// States returns all states in the table, sorted by ID.
func (s *Servers) States() []ServerChange {
	states := make([]ServerChange, 0, len(s.ids))
	for _, id := range s.ids {
		states = append(states, ServerChange{ID: id, State: s.entries[id].state})
	}
	return states
}

// TakeChanges returns the state changes since the last call, in order.
func (s *Servers) TakeChanges() []ServerChange {
	changes := s.changes
	s.changes = nil
	return changes
}

// ensureEntry returns the entry of a server and creates it if necessary. It returns nil
// if the table is full or the ID invalid.
func (s *Servers) ensureEntry(id string) *serverEntry {
	known, ok := s.entries[id]
	if ok {
		return known
	}
	if len(s.ids) >= MaximumServers || id == "" || len(id) > MaximumIDBytes {
		return nil
	}
	known = &serverEntry{state: Live, incarnationSince: longAgo}
	s.entries[id] = known
	at, _ := slices.BinarySearch(s.ids, id)
	s.ids = slices.Insert(s.ids, at, id)
	return known
}

// setState records the state of a server and queues the change, if any.
func (s *Servers) setState(id string, known *serverEntry, state State) {
	if known.state == state {
		return
	}
	known.state = state
	s.changes = append(s.changes, ServerChange{ID: id, State: state})
}

// Report processes one observation of a server.
func (s *Servers) Report(now time.Duration, id string, report ServerReport) {
	known := s.ensureEntry(id)
	if known == nil || slices.Contains(known.pastIncarnations, report.Incarnation) {
		return
	}
	if report.Condition == ServerUnreachable {
		s.recordConnectFailure(now, id, known)
		return
	}
	if now-known.lateness(report) < known.incarnationSince {
		return
	}
	s.updateIncarnation(now, id, known, report)
	known.failures = 0
	switch {
	case report.Condition == ServerDraining:
		s.markLeaving(now, id, known)
	case known.state == Suspect, known.state == Gone && !known.sticky:
		s.setState(id, known, Live)
	}
}

// lateReplyTime is the assumed age of a reply that contains neither its age nor the
// server's incarnation.
const lateReplyTime = 2 * time.Second

// lateness returns the age of a report, or the greatest likely age if it is unknown.
func (e *serverEntry) lateness(report ServerReport) time.Duration {
	if report.Source == FromReply && report.Incarnation == "" && report.Age == 0 {
		return lateReplyTime
	}
	return report.Age
}

// updateIncarnation records the incarnation in a report. If it replaces an earlier one,
// the server is live again.
func (s *Servers) updateIncarnation(now time.Duration, id string, known *serverEntry, report ServerReport) {
	if report.Incarnation == "" {
		return
	}
	if report.Incarnation == known.incarnation {
		known.selfReported = true
		return
	}
	first := known.incarnation == ""
	if !first {
		known.pastIncarnations = append(known.pastIncarnations, known.incarnation)
		known.pastIncarnations = known.pastIncarnations[max(0, len(known.pastIncarnations)-rememberedIncarnations):]
	}
	known.incarnation = report.Incarnation
	known.selfReported = true
	if first {
		return
	}
	known.incarnationSince = now
	known.sticky = false
	s.queueFinding(known, ServerFinding{ID: id, Incarnation: known.incarnation})
	s.setState(id, known, Live)
}

// recordConnectFailure counts a connect failure and makes a live server suspect after
// SuspectFailures of them.
func (s *Servers) recordConnectFailure(now time.Duration, id string, known *serverEntry) {
	if known.failures == 0 {
		known.failingSince = now
	}
	known.failures++
	if known.state == Live && known.failures >= s.options.SuspectFailures {
		s.setState(id, known, Suspect)
	}
}

// ListedServer is a server on the machine list.
type ListedServer struct {
	ID          string
	Leaving     bool
	Incarnation string
}

// ObserveList processes the machine list. The absence of a server from the list means
// nothing, and an empty list is ignored.
func (s *Servers) ObserveList(now time.Duration, servers []ListedServer) {
	if len(servers) == 0 {
		return
	}
	for _, id := range s.ids {
		s.entries[id].listed = false
	}
	for _, server := range servers {
		s.observeServer(now, server)
	}
}

// observeServer processes a server's entry on the machine list. It ignores past
// incarnations and those that contradict the incarnation reported by the server itself.
func (s *Servers) observeServer(now time.Duration, server ListedServer) {
	known := s.ensureEntry(server.ID)
	if known == nil || slices.Contains(known.pastIncarnations, server.Incarnation) {
		return
	}
	if known.selfReported && server.Incarnation != "" && server.Incarnation != known.incarnation {
		return
	}
	s.observeIncarnation(now, server, known)
	known.listed = !server.Leaving
	if server.Leaving {
		s.markLeaving(now, server.ID, known)
	}
}

// markLeaving makes a server leaving. If its incarnation is known, other nodes are
// informed.
func (s *Servers) markLeaving(now time.Duration, id string, known *serverEntry) {
	if known.state == Leaving || known.state == Gone {
		return
	}
	known.sticky = known.incarnation != ""
	known.deadline = now + s.options.LeavingTime
	s.setState(id, known, Leaving)
	if known.sticky {
		s.queueLeaving(id, known.incarnation)
		s.queueFinding(known, ServerFinding{ID: id, Incarnation: known.incarnation, Leaving: true})
	}
}

// observeIncarnation adopts the incarnation on the machine list. The caller has checked
// that it does not contradict the server's own report.
func (s *Servers) observeIncarnation(now time.Duration, server ListedServer, known *serverEntry) {
	if server.Incarnation == "" || server.Incarnation == known.incarnation {
		return
	}
	report := ServerReport{Condition: ServerAnswered, Incarnation: server.Incarnation}
	s.updateIncarnation(now, server.ID, known, report)
	known.selfReported = false
}

// Tick expires suspicions and departures. While more than half of the servers are
// suspect, the fault is assumed to be this node's, and no suspect becomes gone.
func (s *Servers) Tick(now time.Duration) {
	isolated := s.mostlySuspect()
	for _, id := range s.ids {
		known := s.entries[id]
		switch {
		case known.state == Leaving && now >= known.deadline:
			s.setState(id, known, Gone)
		case known.state == Suspect && !isolated && now-known.failingSince >= s.goneTimeout(known):
			s.setState(id, known, Gone)
		}
	}
}

func (s *Servers) mostlySuspect() bool {
	suspects := 0
	for _, id := range s.ids {
		if s.entries[id].state == Suspect {
			suspects++
		}
	}
	return 2*suspects > len(s.ids)
}

// goneTimeout returns how long a server may be unreachable before it becomes gone.
func (s *Servers) goneTimeout(known *serverEntry) time.Duration {
	if known.listed {
		return s.options.ListedGoneTimeout
	}
	return s.options.UnlistedGoneTimeout
}
