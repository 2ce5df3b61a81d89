// Package baseline holds simple policies to compare the dispatcher with. Each
// decides through the same method as dispatch.Dispatcher, on the same events.
//
// naive sends each part round robin and waits for all. fixed-hedge also sends a
// part again when it is not answered after a fixed delay. strict-priority limits
// what each node has in flight at a server and queues the rest in strict order
// of class. oracle knows each service time.
package baseline

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// mostAttempts bounds the servers that a part is sent to.
const mostAttempts = 2

// onlySnapshot is the snapshot that the baselines ask for.
const onlySnapshot dispatch.SnapshotID = 1

// refusalWait is what refused callers are told to wait.
const refusalWait = time.Second

// LatencyOracle tells how long a sub-request would take from being sent now until
// its reply.
type LatencyOracle func(id dispatch.QueryID, part coverage.Range, server string) time.Duration

// Options configures a Dispatcher. The zero value is naive.
type Options struct {
	// HedgeDelay sends a part again when it was not answered for so long; zero
	// means never.
	HedgeDelay time.Duration
	// InFlightLimit bounds what the node has in flight at a server; zero means
	// no limit. Queries beyond it queue in strict order of class.
	InFlightLimit int
	// QueueLimit bounds the queue; more are refused.
	QueueLimit int
	// LatencyOracle makes the machine ask the server that will answer first.
	LatencyOracle LatencyOracle
	// FirstServer is where round robin starts, so that nodes differ.
	FirstServer int
}

// Dispatcher is a baseline.
type Dispatcher struct {
	options  Options
	now      time.Duration
	actions  []dispatch.Action
	service  policy.Service
	known    bool
	classes  map[string]policy.Class
	next     []int
	inFlight map[string]int
	gone     map[string]bool
	queries  map[dispatch.QueryID]*query
	attempts map[dispatch.AttemptID]*attempt
	last     dispatch.AttemptID
	waiting  []*query
	timers   timers
	wakeAt   time.Duration
}

type query struct {
	dispatch.Query
	class    policy.Class
	arrived  time.Duration
	deadline time.Duration
	parts    []*part
	open     int
}

type part struct {
	group  policy.Group
	tried  int
	first  int
	asked  []string
	active []dispatch.AttemptID
	server string
	done   bool
	closed bool
}

type attempt struct {
	query  *query
	part   *part
	server string
}

// New returns a baseline.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options:  options,
		classes:  make(map[string]policy.Class),
		inFlight: make(map[string]int),
		gone:     make(map[string]bool),
		queries:  make(map[dispatch.QueryID]*query),
		attempts: make(map[dispatch.AttemptID]*attempt),
	}
}

// Step takes one event and returns the actions to carry out.
func (m *Dispatcher) Step(now time.Duration, event dispatch.Event) []dispatch.Action {
	m.now = now
	m.actions = nil
	switch typed := event.(type) {
	case dispatch.QueryArrived:
		m.arrive(typed.Query)
	case dispatch.AttemptReplied:
		m.replied(typed)
	case dispatch.AttemptFailed:
		m.failed(typed)
	case dispatch.Configured:
		m.configure(typed)
	case dispatch.ServerChanged:
		m.gone[typed.Server] = typed.State == dispatch.ServerLeaving || typed.State == dispatch.ServerGone
	case dispatch.TimerFired:
		m.wakeAt = 0
	}
	m.expire()
	m.admitWaiting()
	m.wake()
	return m.actions
}

func (m *Dispatcher) emit(action dispatch.Action) { m.actions = append(m.actions, action) }

func (m *Dispatcher) configure(event dispatch.Configured) {
	m.known = true
	m.service = event.Service
	m.next = make([]int, len(event.Service.Groups))
	for index := range m.next {
		m.next[index] = m.options.FirstServer
	}
	for _, class := range event.Classes {
		m.classes[class.Name] = class
	}
}

func (m *Dispatcher) arrive(asked dispatch.Query) {
	class, known := m.classes[asked.Class]
	if !m.known || !known {
		m.refuse(asked.ID, dispatch.ReasonNoConfiguration)
		return
	}
	arrived := &query{Query: asked, class: class, arrived: m.now, deadline: m.now + asked.Remaining}
	if m.options.InFlightLimit == 0 {
		m.start(arrived)
		return
	}
	m.enqueue(arrived)
}

func (m *Dispatcher) start(started *query) {
	m.queries[started.ID] = started
	started.open = len(m.service.Groups)
	m.addTimer(timer{at: started.deadline, query: started})
	for index, group := range m.service.Groups {
		first := m.next[index]
		m.next[index]++
		started.parts = append(started.parts, &part{group: group, first: first})
	}
	for _, piece := range started.parts {
		m.send(started, piece, dispatch.FirstSend)
		if m.options.HedgeDelay > 0 && started.Repeatable {
			m.addTimer(timer{at: m.now + m.options.HedgeDelay, query: started, part: piece})
		}
	}
}

// send asks the next server for a part; it tells whether there was one.
func (m *Dispatcher) send(asking *query, piece *part, kind dispatch.SendKind) bool {
	server, ok := m.choose(asking, piece)
	if !ok {
		return false
	}
	m.last++
	m.attempts[m.last] = &attempt{query: asking, part: piece, server: server.ID}
	piece.asked = append(piece.asked, server.ID)
	piece.active = append(piece.active, m.last)
	m.inFlight[server.ID]++
	m.emit(dispatch.Send{
		Attempt:   m.last,
		Query:     asking.ID,
		Server:    server.ID,
		Address:   server.Address,
		Range:     piece.group.Range,
		Snapshot:  onlySnapshot,
		Remaining: asking.deadline - m.now,
		Kind:      kind,
	})
	return true
}

// choose picks the server by round robin, or the one that answers first, of
// those that were not asked.
func (m *Dispatcher) choose(asking *query, piece *part) (policy.Server, bool) {
	if piece.tried >= mostAttempts {
		return policy.Server{}, false
	}
	var best policy.Server
	bestTime := time.Duration(-1)
	count := len(piece.group.Servers)
	for offset := range count {
		candidate := piece.group.Servers[(piece.first+offset)%count]
		if m.gone[candidate.ID] || contains(piece.asked, candidate.ID) || m.full(candidate.ID) {
			continue
		}
		takes := time.Duration(0)
		if m.options.LatencyOracle != nil {
			takes = m.options.LatencyOracle(asking.ID, piece.group.Range, candidate.ID)
		}
		if bestTime < 0 || takes < bestTime {
			best, bestTime = candidate, takes
		}
	}
	if bestTime < 0 {
		return policy.Server{}, false
	}
	piece.tried++
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
