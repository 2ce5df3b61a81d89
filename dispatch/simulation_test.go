package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/coverage"
)

// simulation drives a dispatcher with random servers, callers and faults on a
// virtual clock, and checks what must hold. A world is named by its seed.
type simulation struct {
	random     *rand.Rand
	d          *Dispatcher
	now        time.Duration
	queue      scheduledEvents
	sequence   int
	wakes      int
	config     Configured
	service    time.Duration // mean time of a sub-request
	leaving    map[string]bool
	queries    map[QueryID]*callerQuery
	attempts   map[AttemptID]*serverAttempt
	log        []string
	violations []string
	firstSends int
	extraSends int
}

// callerQuery is a query as the caller sees it.
type callerQuery struct {
	Query
	arrived  time.Duration
	outcome  *Outcome
	finishes int
	// anyMayHaveRun says that a server ran, or may have run, a part.
	anyMayHaveRun bool
	// mustNotSend says that nothing more may be sent.
	mustNotSend bool
}

// serverAttempt is a sub-request as its server sees it.
type serverAttempt struct {
	Send
	query    *callerQuery
	reported bool
	// mayHaveRun is set once the server ran, or may have run, it.
	mayHaveRun bool
	body       string
}

// scheduledEvent is an event to come.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type scheduledEvents []scheduledEvent

func (h scheduledEvents) Len() int { return len(h) }
func (h scheduledEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h scheduledEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *scheduledEvents) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *scheduledEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	simulationGroups   = 4
	simulationReplicas = 3
	simulationQueries  = 60
	maxHedgeShare      = 0.5 // greatest hedge share of configuration
)

func newSimulation(seed uint64, options Options) *simulation {
	options.Seed = seed
	w := &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		d:        New(options),
		config:   configuration(simulationGroups, simulationReplicas),
		leaving:  make(map[string]bool),
		queries:  make(map[QueryID]*callerQuery),
		attempts: make(map[AttemptID]*serverAttempt),
	}
	w.config.Classes[0].MinimumCoverage = float64(seed%4) / 4
	w.service = 5 * time.Millisecond
	if seed%3 == 0 {
		w.slowDownServers()
	}
	w.after(0, func() { w.step(w.config) })
	w.observeAll()
	for id := range QueryID(simulationQueries) {
		w.after(w.randomDelay(200*time.Millisecond), func() { w.arrive(id + 1) })
	}
	for range 12 {
		w.after(w.randomDelay(200*time.Millisecond), w.injectFault)
	}
	return w
}

// slowDownServers makes the servers too slow for the queries.
func (w *simulation) slowDownServers() {
	w.service = 30 * time.Millisecond
	for _, g := range w.config.Service.Groups {
		for i := range g.Servers {
			g.Servers[i].Slots = 1
		}
	}
}

func (w *simulation) randomDelay(bound time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(bound)))
}

func (w *simulation) after(delay time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, scheduledEvent{at: w.now + delay, sequence: w.sequence, do: do})
}

// run plays the world to its end.
func (w *simulation) run() {
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(scheduledEvent)
		w.now = next.at
		next.do()
	}
	w.checkEnd()
}

func (w *simulation) reportViolation(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}

func (w *simulation) step(event Event) {
	for _, action := range w.d.Step(w.now, event) {
		w.log = append(w.log, fmt.Sprintf("%v %T %+v", w.now, action, action))
		switch action := action.(type) {
		case Send:
			w.serve(action)
		case Finish:
			w.checkOutcome(action)
		case SetTimer:
			w.wakes++
			w.after(max(action.At-w.now, 0), func() { w.step(TimerFired{}) })
		}
	}
}

func (w *simulation) observeAll() {
	for _, g := range w.config.Service.Groups {
		for _, s := range g.Servers {
			held := []SnapshotID{7, 8}[:1+w.random.IntN(2)]
			w.after(0, func() { w.step(ServerReported{Server: s.ID, Snapshots: held}) })
		}
	}
}

func (w *simulation) arrive(id QueryID) {
	q := &callerQuery{arrived: w.now, Query: Query{
		ID:         id,
		Class:      []string{"urgent", "batch"}[w.random.IntN(2)],
		Remaining:  time.Millisecond + w.randomDelay(150*time.Millisecond),
		Repeatable: w.random.IntN(3) > 0,
	}}
	w.queries[id] = q
	w.step(QueryArrived{Query: q.Query})
	if w.random.IntN(10) == 0 {
		w.after(w.randomDelay(20*time.Millisecond), func() { w.disconnectCaller(q) })
	}
}

// disconnectCaller lets the caller of a query go: it is over at once.
func (w *simulation) disconnectCaller(q *callerQuery) {
	w.step(CallerGone{Query: q.ID})
	if q.finishes != 1 {
		w.reportViolation("query %d goes on without its caller", q.ID)
	}
}

// serve lets a server answer a sub-request, or not.
func (w *simulation) serve(action Send) {
	q := w.queries[action.Query]
	s := &serverAttempt{Send: action, query: q}
	w.attempts[action.Attempt] = s
	if action.Kind == FirstSend {
		w.firstSends++
	} else {
		w.extraSends++
	}
	if w.leaving[action.Server] {
		w.reportViolation("attempt %d sent to %s, which is leaving", action.Attempt, action.Server)
	}
	if q.finishes > 0 {
		w.reportViolation("attempt %d sent after the final answer", action.Attempt)
	}
	if q.mustNotSend {
		w.reportViolation("attempt %d of a query of which nothing more may be sent", action.Attempt)
	}
	w.checkNotRepeated(s)
	delay := time.Duration(w.random.ExpFloat64() * float64(w.service))
	w.after(min(delay, 300*time.Millisecond), func() { w.answer(s) })
}

// answer reports the one end of an attempt.
func (w *simulation) answer(s *serverAttempt) {
	s.reported = true
	reply := Reply{Snapshot: s.Snapshot, Range: s.Range, Snapshots: []SnapshotID{7, 8}[:1+w.random.IntN(2)]}
	choice := w.random.IntN(40)
	mayRun := true
	switch choice {
	case 0:
		w.markMayHaveRun(s)
		s.query.mustNotSend = !s.query.Repeatable
		w.step(AttemptFailed{Attempt: s.Attempt, Delivery: DeliveryUnknown, Reason: "cut"})
		return
	case 1:
		w.step(AttemptFailed{Attempt: s.Attempt, Delivery: NotDelivered, Reason: "refused"})
		return
	case 2:
		reply.Status, reply.RetryAfter, mayRun = ReplyShed, w.randomDelay(10*time.Millisecond), false
	case 3:
		reply.Status, reply.Snapshots, mayRun = ReplyUnknownSnapshot, nil, false
	case 4:
		reply.Status, mayRun = ReplyNotOwner, false
	case 5:
		reply.Status, mayRun = ReplyDraining, false
		w.leaving[s.Server] = true
		w.after(w.randomDelay(50*time.Millisecond), func() { w.changeState(s.Server, ServerLive) })
	case 6:
		reply.Status = ReplyError
	case 7: // another query's reply
		reply.Status, reply.Range = ReplyDone, coverage.Range{Start: 1, End: 2}
	case 8:
		reply.Status, reply.Snapshot = ReplyDone, 99
	default:
		reply.Status = ReplyDone
	}
	if mayRun {
		w.markMayHaveRun(s)
	}
	if mayRun && choice <= 8 {
		s.query.mustNotSend = !s.query.Repeatable
	}
	s.body = fmt.Sprint(s.Attempt)
	reply.Body = s.body
	w.step(AttemptReplied{Attempt: s.Attempt, Reply: reply})
}

// markMayHaveRun notes that a server ran, or may have run, a part.
func (w *simulation) markMayHaveRun(s *serverAttempt) {
	s.query.anyMayHaveRun = true
	s.mayHaveRun = true
}

// checkNotRepeated checks that no part of a query that is not repeatable is sent
// while, or after, a server may run it.
func (w *simulation) checkNotRepeated(again *serverAttempt) {
	if again.query.Repeatable {
		return
	}
	for _, s := range w.attempts {
		if s == again || s.query != again.query || s.reported && !s.mayHaveRun {
			continue
		}
		if _, overlap := s.Range.Intersect(again.Range); overlap {
			w.reportViolation("attempt %d repeats attempt %d, which may run", again.Attempt, s.Attempt)
		}
	}
}

func (w *simulation) changeState(server string, state ServerState) {
	w.leaving[server] = state == ServerLeaving || state == ServerGone
	w.step(ServerChanged{Server: server, State: state})
}

// injectFault does something to the service.
func (w *simulation) injectFault() {
	group := w.config.Service.Groups[w.random.IntN(len(w.config.Service.Groups))]
	server := group.Servers[w.random.IntN(len(group.Servers))].ID
	switch w.random.IntN(5) {
	case 0:
		w.repartition()
	case 1:
		w.changeState(server, ServerSuspect)
	case 2:
		w.changeState(server, ServerGone)
		w.after(w.randomDelay(50*time.Millisecond), func() { w.changeState(server, ServerLive) })
	case 3:
		w.step(NodesChanged{Live: 1 + w.random.IntN(30)})
	default:
		w.changeState(server, ServerLeaving)
		w.after(w.randomDelay(50*time.Millisecond), func() { w.changeState(server, ServerLive) })
	}
}

// repartition moves the bounds between groups.
func (w *simulation) repartition() {
	w.config.Revision++
	w.config.Service.Groups = slices.Clone(w.config.Service.Groups)
	start := uint64(0)
	for i := range w.config.Service.Groups {
		g := &w.config.Service.Groups[i]
		end := uint64((i + 1) * keysPerGroup)
		if i+1 < simulationGroups {
			end += w.random.Uint64N(keysPerGroup/2) - keysPerGroup/4
		}
		g.Range = coverage.Range{Start: start, End: end}
		start = end
	}
	w.step(w.config)
}
