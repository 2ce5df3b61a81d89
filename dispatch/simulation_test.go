package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
)

// simulation drives a dispatcher with random servers, callers and faults on a virtual clock and
// checks invariants. Its seed determines the run.
type simulation struct {
	random     *rand.Rand
	d          *Dispatcher
	now        time.Duration
	queue      scheduledEvents
	sequence   int
	timersSet  int
	config     Configured
	service    time.Duration // mean service time of a sub-request
	leaving    map[string]bool
	queries    map[QueryID]*callerQuery
	attempts   map[AttemptID]*serverAttempt
	log        []string
	violations []string
	firstSends int
	extraSends int
}

// callerQuery is a query as seen by its caller.
type callerQuery struct {
	Query
	arrived  time.Duration
	outcome  *Outcome
	finishes int
	// anyMayHaveRun is set once a server may have run a part of the query.
	anyMayHaveRun bool
	// mustNotSend is set once nothing more of the query may be sent.
	mustNotSend bool
}

// serverAttempt is a sub-request as seen by its server.
type serverAttempt struct {
	Send
	query    *callerQuery
	reported bool
	// mayHaveRun is set once the server may have run the sub-request.
	mayHaveRun bool
	body       string
}

// scheduledEvent is a callback scheduled on the virtual clock.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type scheduledEvents []scheduledEvent

func (e scheduledEvents) Len() int { return len(e) }
func (e scheduledEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e scheduledEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *scheduledEvents) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *scheduledEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	simulationGroups   = 4
	simulationReplicas = 3
	simulationQueries  = 60
	maxHedgeShare      = 0.5 // highest HedgeShare in configuration
)

func newSimulation(seed uint64, options Options) *simulation {
	options.Seed = seed
	sim := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		d:        New(options),
		config:   configuration(simulationGroups, simulationReplicas),
		leaving:  make(map[string]bool),
		queries:  make(map[QueryID]*callerQuery),
		attempts: make(map[AttemptID]*serverAttempt),
	}
	sim.config.Classes[0].MinimumCoverage = float64(seed%4) / 4
	sim.service = 5 * time.Millisecond
	if seed%3 == 0 {
		sim.slowDownServers()
	}
	sim.after(0, func() { sim.step(sim.config) })
	sim.reportSnapshots()
	for id := range QueryID(simulationQueries) {
		sim.after(sim.randomDelay(200*time.Millisecond), func() { sim.arrive(id + 1) })
	}
	for range 12 {
		sim.after(sim.randomDelay(200*time.Millisecond), sim.injectFault)
	}
	return sim
}

// slowDownServers makes the servers too slow for the offered load.
func (sim *simulation) slowDownServers() {
	sim.service = 30 * time.Millisecond
	for _, g := range sim.config.Service.Groups {
		for i := range g.Servers {
			g.Servers[i].Slots = 1
		}
	}
}

func (sim *simulation) randomDelay(bound time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(bound)))
}

func (sim *simulation) after(delay time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.queue, scheduledEvent{at: sim.now + delay, sequence: sim.sequence, do: do})
}

// run processes all scheduled events and checks the final state.
func (sim *simulation) run() {
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.do()
	}
	sim.checkEnd()
}

func (sim *simulation) reportViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, values...))
}

func (sim *simulation) step(event Event) {
	for _, action := range sim.d.Step(sim.now, event) {
		sim.log = append(sim.log, fmt.Sprintf("%v %T %+v", sim.now, action, action))
		switch action := action.(type) {
		case Send:
			sim.serve(action)
		case Finish:
			sim.checkOutcome(action)
		case SetTimer:
			sim.timersSet++
			sim.after(max(action.At-sim.now, 0), func() { sim.step(TimerFired{}) })
		}
	}
}

func (sim *simulation) reportSnapshots() {
	for _, g := range sim.config.Service.Groups {
		for _, s := range g.Servers {
			held := []SnapshotID{7, 8}[:1+sim.random.IntN(2)]
			sim.after(0, func() { sim.step(ServerReported{Server: s.ID, Snapshots: held}) })
		}
	}
}

func (sim *simulation) arrive(id QueryID) {
	q := &callerQuery{arrived: sim.now, Query: Query{
		ID:         id,
		Class:      []string{"urgent", "batch"}[sim.random.IntN(2)],
		Remaining:  time.Millisecond + sim.randomDelay(150*time.Millisecond),
		Repeatable: sim.random.IntN(3) > 0,
	}}
	sim.queries[id] = q
	sim.step(QueryArrived{Query: q.Query})
	if sim.random.IntN(10) == 0 {
		sim.after(sim.randomDelay(20*time.Millisecond), func() { sim.disconnectCaller(q) })
	}
}

// disconnectCaller disconnects the caller of a query, which must then end at once.
func (sim *simulation) disconnectCaller(q *callerQuery) {
	sim.step(CallerGone{Query: q.ID})
	if q.finishes != 1 {
		sim.reportViolation("query %d goes on without its caller", q.ID)
	}
}

// serve checks that a sub-request may be sent and schedules the server's answer.
func (sim *simulation) serve(action Send) {
	q := sim.queries[action.Query]
	s := &serverAttempt{Send: action, query: q}
	sim.attempts[action.Attempt] = s
	if action.Kind == FirstSend {
		sim.firstSends++
	} else {
		sim.extraSends++
	}
	if sim.leaving[action.Server] {
		sim.reportViolation("attempt %d sent to %s, which is leaving", action.Attempt, action.Server)
	}
	if q.finishes > 0 {
		sim.reportViolation("attempt %d sent after the final answer", action.Attempt)
	}
	if q.mustNotSend {
		sim.reportViolation("attempt %d of a query of which nothing more may be sent", action.Attempt)
	}
	sim.checkNotRepeated(s)
	delay := time.Duration(sim.random.ExpFloat64() * float64(sim.service))
	sim.after(min(delay, 300*time.Millisecond), func() { sim.answer(s) })
}

// answer reports the end of an attempt, with a randomly chosen result.
func (sim *simulation) answer(s *serverAttempt) {
	s.reported = true
	reply := Reply{Snapshot: s.Snapshot, Range: s.Range, Snapshots: []SnapshotID{7, 8}[:1+sim.random.IntN(2)]}
	choice := sim.random.IntN(40)
	mayRun := true
	switch choice {
	case 0:
		sim.markMayHaveRun(s)
		s.query.mustNotSend = !s.query.Repeatable
		sim.step(AttemptFailed{Attempt: s.Attempt, Delivery: DeliveryUnknown, Reason: "cut"})
		return
	case 1:
		sim.step(AttemptFailed{Attempt: s.Attempt, Delivery: NotDelivered, Reason: "refused"})
		return
	case 2:
		reply.Status, reply.RetryAfter, mayRun = ReplyShed, sim.randomDelay(10*time.Millisecond), false
	case 3:
		reply.Status, reply.Snapshots, mayRun = ReplyUnknownSnapshot, nil, false
	case 4:
		reply.Status, mayRun = ReplyNotOwner, false
	case 5:
		reply.Status, mayRun = ReplyDraining, false
		sim.leaving[s.Server] = true
		sim.after(sim.randomDelay(50*time.Millisecond), func() { sim.changeState(s.Server, ServerLive) })
	case 6:
		reply.Status = ReplyError
	case 7: // reply to another query
		reply.Status, reply.Range = ReplyDone, coverage.Range{Start: 1, End: 2}
	case 8:
		reply.Status, reply.Snapshot = ReplyDone, 99
	default:
		reply.Status = ReplyDone
	}
	if mayRun {
		sim.markMayHaveRun(s)
	}
	if mayRun && choice <= 8 {
		s.query.mustNotSend = !s.query.Repeatable
	}
	s.body = fmt.Sprint(s.Attempt)
	reply.Body = s.body
	sim.step(AttemptReplied{Attempt: s.Attempt, Reply: reply})
}

// markMayHaveRun records that a server ran, or may have run, a part of the query.
func (sim *simulation) markMayHaveRun(s *serverAttempt) {
	s.query.anyMayHaveRun = true
	s.mayHaveRun = true
}

// checkNotRepeated checks that no part of a non-repeatable query is sent while or after a
// server may have run it.
func (sim *simulation) checkNotRepeated(again *serverAttempt) {
	if again.query.Repeatable {
		return
	}
	for _, s := range sim.attempts {
		if s == again || s.query != again.query || s.reported && !s.mayHaveRun {
			continue
		}
		if _, overlap := s.Range.Intersect(again.Range); overlap {
			sim.reportViolation("attempt %d repeats attempt %d, which may run", again.Attempt, s.Attempt)
		}
	}
}

func (sim *simulation) changeState(server string, state ServerState) {
	sim.leaving[server] = state == ServerLeaving || state == ServerGone
	sim.step(ServerChanged{Server: server, State: state})
}

// injectFault applies a random fault or change to the service.
func (sim *simulation) injectFault() {
	group := sim.config.Service.Groups[sim.random.IntN(len(sim.config.Service.Groups))]
	server := group.Servers[sim.random.IntN(len(group.Servers))].ID
	switch sim.random.IntN(5) {
	case 0:
		sim.repartition()
	case 1:
		sim.changeState(server, ServerSuspect)
	case 2:
		sim.changeState(server, ServerGone)
		sim.after(sim.randomDelay(50*time.Millisecond), func() { sim.changeState(server, ServerLive) })
	case 3:
		sim.step(NodesChanged{Live: 1 + sim.random.IntN(30)})
	default:
		sim.changeState(server, ServerLeaving)
		sim.after(sim.randomDelay(50*time.Millisecond), func() { sim.changeState(server, ServerLive) })
	}
}

// repartition moves the boundaries between groups.
func (sim *simulation) repartition() {
	sim.config.Revision++
	sim.config.Service.Groups = slices.Clone(sim.config.Service.Groups)
	start := uint64(0)
	for i := range sim.config.Service.Groups {
		g := &sim.config.Service.Groups[i]
		end := uint64((i + 1) * keysPerGroup)
		if i+1 < simulationGroups {
			end += sim.random.Uint64N(keysPerGroup/2) - keysPerGroup/4
		}
		g.Range = coverage.Range{Start: start, End: end}
		start = end
	}
	sim.step(sim.config)
}
