// Package baseline provides simple policies with which dispatch.Dispatcher is
// compared. Each handles the same events through the same Step method.
//
// The naive policy sends each part to a server chosen by round robin and waits for
// all parts. The fixed-hedge policy also hedges a part that is not answered within
// a fixed delay. The strict-priority policy limits the sub-requests that each node
// has in flight at a server and queues further queries in strict order of class.
// The oracle policy knows each latency in advance and sends to the fastest server.
package baseline

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// maxAttempts is the maximum number of servers to which a part is sent.
const maxAttempts = 2

// onlySnapshot is the snapshot that the baselines request.
const onlySnapshot dispatch.SnapshotID = 1

// refusalRetryAfter is the retry delay that refused callers get.
const refusalRetryAfter = time.Second

// LatencyOracle returns the time from sending a sub-request now until its reply.
type LatencyOracle func(id dispatch.QueryID, part coverage.Range, server string) time.Duration

// Options configures a Dispatcher. The zero value gives the naive policy.
type Options struct {
	// HedgeDelay is the time after which an unanswered part of a repeatable query
	// is hedged; zero disables hedges.
	HedgeDelay time.Duration
	// InFlightLimit is the maximum number of sub-requests that the node has in
	// flight at a server; zero means no limit. Queries that cannot start within
	// the limit are queued in strict order of class.
	InFlightLimit int
	// QueueLimit is the maximum length of the queue; further queries are refused.
	QueueLimit int
	// LatencyOracle, if set, makes the dispatcher choose the server that will
	// answer first.
	LatencyOracle LatencyOracle
	// FirstServer is the offset at which round robin starts in each group, so that
	// nodes start at different servers.
	FirstServer int
}

// Dispatcher makes the decisions of a baseline policy at one node. It implements
// cluster.Dispatcher and is not safe for concurrent use.
type Dispatcher struct {
	options      Options
	now          time.Duration
	actions      []dispatch.Action
	service      policy.Service
	isConfigured bool
	classes      map[string]policy.Class
	nextServer   []int
	inFlight     map[string]int
	unavailable  map[string]bool
	queries      map[dispatch.QueryID]*query
	attempts     map[dispatch.AttemptID]*attempt
	lastAttempt  dispatch.AttemptID
	queue        []*query
	timers       timerQueue
	timerAt      time.Duration
}

type query struct {
	dispatch.Query
	class     policy.Class
	arrived   time.Duration
	deadline  time.Duration
	parts     []*part
	openParts int
}

type part struct {
	group           policy.Group
	attemptCount    int
	firstServer     int
	triedServers    []string
	pendingAttempts []dispatch.AttemptID
	server          string
	answered        bool
	closed          bool
}

type attempt struct {
	query  *query
	part   *part
	server string
}

// New returns a Dispatcher. It refuses queries until a Configured event arrives.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options:     options,
		classes:     make(map[string]policy.Class),
		inFlight:    make(map[string]int),
		unavailable: make(map[string]bool),
		queries:     make(map[dispatch.QueryID]*query),
		attempts:    make(map[dispatch.AttemptID]*attempt),
	}
}

// Step handles one event and returns the actions to execute.
func (m *Dispatcher) Step(now time.Duration, event dispatch.Event) []dispatch.Action {
	m.now = now
	m.actions = nil
	switch typed := event.(type) {
	case dispatch.QueryArrived:
		m.handleArrival(typed.Query)
	case dispatch.AttemptReplied:
		m.handleReply(typed)
	case dispatch.AttemptFailed:
		m.handleFailure(typed)
	case dispatch.Configured:
		m.configure(typed)
	case dispatch.ServerChanged:
		m.unavailable[typed.Server] = typed.State == dispatch.ServerLeaving || typed.State == dispatch.ServerGone
	case dispatch.TimerFired:
		m.timerAt = 0
	}
	m.fireTimers()
	m.startQueued()
	m.updateTimer()
	return m.actions
}

func (m *Dispatcher) emit(action dispatch.Action) { m.actions = append(m.actions, action) }

func (m *Dispatcher) configure(event dispatch.Configured) {
	m.isConfigured = true
	m.service = event.Service
	m.nextServer = make([]int, len(event.Service.Groups))
	for index := range m.nextServer {
		m.nextServer[index] = m.options.FirstServer
	}
	for _, class := range event.Classes {
		m.classes[class.Name] = class
	}
}

func (m *Dispatcher) handleArrival(requested dispatch.Query) {
	class, known := m.classes[requested.Class]
	if !m.isConfigured || !known {
		m.refuse(requested.ID, dispatch.ReasonNoConfiguration)
		return
	}
	arrived := &query{Query: requested, class: class, arrived: m.now, deadline: m.now + requested.Remaining}
	if m.options.InFlightLimit == 0 {
		m.start(arrived)
		return
	}
	m.enqueue(arrived)
}

func (m *Dispatcher) start(started *query) {
	m.queries[started.ID] = started
	started.openParts = len(m.service.Groups)
	m.addTimer(timer{at: started.deadline, query: started})
	for index, group := range m.service.Groups {
		firstServer := m.nextServer[index]
		m.nextServer[index]++
		started.parts = append(started.parts, &part{group: group, firstServer: firstServer})
	}
	for _, current := range started.parts {
		m.send(started, current, dispatch.FirstSend)
		if m.options.HedgeDelay > 0 && started.Repeatable {
			m.addTimer(timer{at: m.now + m.options.HedgeDelay, query: started, part: current})
		}
	}
}

// send sends a part to the next server and reports whether a server was available.
func (m *Dispatcher) send(requesting *query, current *part, kind dispatch.SendKind) bool {
	server, ok := m.chooseServer(requesting, current)
	if !ok {
		return false
	}
	m.lastAttempt++
	m.attempts[m.lastAttempt] = &attempt{query: requesting, part: current, server: server.ID}
	current.triedServers = append(current.triedServers, server.ID)
	current.pendingAttempts = append(current.pendingAttempts, m.lastAttempt)
	m.inFlight[server.ID]++
	m.emit(dispatch.Send{
		Attempt:   m.lastAttempt,
		Query:     requesting.ID,
		Server:    server.ID,
		Address:   server.Address,
		Range:     current.group.Range,
		Snapshot:  onlySnapshot,
		Remaining: requesting.deadline - m.now,
		Kind:      kind,
	})
	return true
}

// chooseServer chooses, among the available servers to which the part was not sent
// yet, the next one by round robin or, with a LatencyOracle, the one that will
// answer first. It returns false if there is none.
func (m *Dispatcher) chooseServer(requesting *query, current *part) (policy.Server, bool) {
	if current.attemptCount >= maxAttempts {
		return policy.Server{}, false
	}
	var best policy.Server
	bestTime := time.Duration(-1)
	count := len(current.group.Servers)
	for offset := range count {
		candidate := current.group.Servers[(current.firstServer+offset)%count]
		if m.unavailable[candidate.ID] || contains(current.triedServers, candidate.ID) || m.atLimit(candidate.ID) {
			continue
		}
		latency := time.Duration(0)
		if m.options.LatencyOracle != nil {
			latency = m.options.LatencyOracle(requesting.ID, current.group.Range, candidate.ID)
		}
		if bestTime < 0 || latency < bestTime {
			best, bestTime = candidate, latency
		}
	}
	if bestTime < 0 {
		return policy.Server{}, false
	}
	current.attemptCount++
	return best, true
}

func contains(list []string, wanted string) bool {
	for _, listed := range list {
		if listed == wanted {
			return true
		}
	}
	return false
}
