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

// Bounds of the table of servers.
const (
	// MaximumServers bounds the table.
	MaximumServers = 20000
	// rememberedIncarnations is the number of earlier incarnations of a server
	// whose late reports are ignored.
	rememberedIncarnations = 4
)

// ServersOptions configure Servers. Zero fields take the defaults.
type ServersOptions struct {
	// SuspectFailures is the number of connect failures in a row that make a
	// server suspect.
	SuspectFailures int
	// UnlistedGoneTimeout is how long a server that the machine list doesn't name may
	// be unreachable before it counts as gone.
	UnlistedGoneTimeout time.Duration
	// ListedGoneTimeout is the same bound for a server that the list still names.
	ListedGoneTimeout time.Duration
	// LeavingTime is how long a leaving server may take to end its work in
	// flight; it must exceed the longest deadline of a request. Until then not
	// even a failure to connect makes it gone, as a server that ends its work
	// may take no new connections.
	LeavingTime time.Duration
}

func (o ServersOptions) withDefaults() ServersOptions {
	setDefault(&o.SuspectFailures, DefaultSuspectFailures)
	setDefault(&o.UnlistedGoneTimeout, DefaultUnlistedGoneTimeout)
	setDefault(&o.ListedGoneTimeout, DefaultListedGoneTimeout)
	setDefault(&o.LeavingTime, DefaultServerLeavingTime)
	return o
}

// ServerSource is where a report on a server comes from.
type ServerSource int

const (
	// FromReply reports rode on a reply to a sub-request.
	FromReply ServerSource = iota + 1
	// FromHealth reports came from the server's health endpoint.
	FromHealth
	// FromConnect reports are failures to connect.
	FromConnect
)

// ServerCondition is what a report says.
type ServerCondition int

const (
	// ServerAnswered means that the server replied and did not say that it is leaving.
	ServerAnswered ServerCondition = iota + 1
	// ServerDraining means that the server said that it is leaving.
	ServerDraining
	// ServerUnreachable means that no connection could be made.
	ServerUnreachable
)

// ServerReport is one observation of a server.
type ServerReport struct {
	Source    ServerSource
	Condition ServerCondition
	// Incarnation is the server's own account of it; empty when it gave none.
	Incarnation string
	// Age is the time since the request was sent that led to the report. A
	// report that is older than the server's current incarnation is ignored.
	Age time.Duration
}

// ServerChange is a new state of a server.
type ServerChange struct {
	ID    string
	State State
}

// longAgo precedes every report.
const longAgo = -never

// serverEntry is what is known of one server.
type serverEntry struct {
	state State
	// incarnation is the one that the state belongs to; direct tells that the
	// server gave it itself.
	incarnation      string
	selfReported     bool
	incarnationSince time.Duration
	pastIncarnations []string
	// failures counts connect failures in a row, the first at failingSince.
	failures     int
	failingSince time.Duration
	// deadline ends a leaving.
	deadline time.Duration
	// sticky says that the server was leaving in the current incarnation for
	// certain, as it was known when the leaving was told.
	sticky bool
	listed bool
	// lastFinding is the last finding that was queued for peers.
	lastFinding ServerFinding
}

// Servers merges what several sources say of the back-end servers.
//
// Whichever source says first that a server is leaving wins, and the state
// sticks until the server has a new incarnation. Failures to connect make a
// server suspect, never leaving; it is gone only after a bound. The machine
// list never removes a server that answers.
type Servers struct {
	options ServersOptions
	entries map[string]*serverEntry
	ids     []string
	changes []ServerChange
	// leavings wait to be told to other nodes.
	leavings []leavingBroadcast
	// findings wait to be pushed; doubts are servers to be read.
	findings   []ServerFinding
	unverified []string
}

// NewServers returns an empty table; a server that it doesn't hold is live.
func NewServers(options ServersOptions) *Servers {
	return &Servers{options: options.withDefaults(), entries: make(map[string]*serverEntry)}
}

// State returns what is known of a server; one that was never heard of is live.
func (s *Servers) State(id string) State {
	known, ok := s.entries[id]
	if !ok {
		return Live
	}
	return known.state
}

// States returns every state that the table holds, sorted by ID.
func (s *Servers) States() []ServerChange {
	states := make([]ServerChange, 0, len(s.ids))
	for _, id := range s.ids {
		states = append(states, ServerChange{ID: id, State: s.entries[id].state})
	}
	return states
}

// TakeChanges returns the changes of state since the last call, in order.
func (s *Servers) TakeChanges() []ServerChange {
	changes := s.changes
	s.changes = nil
	return changes
}

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

func (s *Servers) setState(id string, known *serverEntry, state State) {
	if known.state == state {
		return
	}
	known.state = state
	s.changes = append(s.changes, ServerChange{ID: id, State: state})
}

// Report takes in one observation.
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

// lateReplyTime is how late a reply may be that tells neither its age nor the
// incarnation of its server.
const lateReplyTime = 2 * time.Second

// lateness is the age of a report, or the greatest one that is likely.
func (e *serverEntry) lateness(report ServerReport) time.Duration {
	if report.Source == FromReply && report.Incarnation == "" && report.Age == 0 {
		return lateReplyTime
	}
	return report.Age
}

// updateIncarnation starts the entry afresh when the server itself tells a new incarnation.
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

// recordConnectFailure counts a failure to connect.
func (s *Servers) recordConnectFailure(now time.Duration, id string, known *serverEntry) {
	if known.failures == 0 {
		known.failingSince = now
	}
	known.failures++
	if known.state == Live && known.failures >= s.options.SuspectFailures {
		s.setState(id, known, Suspect)
	}
}

// ListedServer is a server that the machine list names.
type ListedServer struct {
	ID          string
	Leaving     bool
	Incarnation string
}

// ObserveList takes in what the machine list says. Its silence on a server
// tells nothing, and an empty list tells nothing at all.
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

// observeIncarnation takes the list's word for the incarnation of a server that
// has not told its own.
func (s *Servers) observeIncarnation(now time.Duration, server ListedServer, known *serverEntry) {
	if server.Incarnation == "" || server.Incarnation == known.incarnation {
		return
	}
	report := ServerReport{Condition: ServerAnswered, Incarnation: server.Incarnation}
	s.updateIncarnation(now, server.ID, known, report)
	known.selfReported = false
}

// Tick ends suspicions and leavings whose time has come. While more than half
// of the servers can't be reached, the fault is taken to be this node's, and no
// suspect becomes gone.
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

func (s *Servers) goneTimeout(known *serverEntry) time.Duration {
	if known.listed {
		return s.options.ListedGoneTimeout
	}
	return s.options.UnlistedGoneTimeout
}
