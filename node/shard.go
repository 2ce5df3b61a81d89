package node

import (
	"context"
	"sync"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
)

// Dispatcher decides how the queries of one service are run;
// *dispatch.Dispatcher implements it.
type Dispatcher interface {
	Step(now time.Duration, event dispatch.Event) []dispatch.Action
}

// sender sends one sub-request and returns its result as an AttemptReplied or
// AttemptFailed event.
type sender interface {
	sendSubRequest(ctx context.Context, outgoing *subRequest) dispatch.Event
}

// shardOptions configures a shard.
type shardOptions struct {
	service string
	// attemptPrefix is the prefix of the attempt IDs on the wire. It is unique
	// across shards, nodes and incarnations.
	attemptPrefix string
	dispatcher    Dispatcher
	sender        sender
	// now returns the time since the node was created.
	now func() time.Duration
	// counters count the shard's sub-requests.
	counters sendCounters
	// background is cancelled when the node aborts; it bounds every
	// sub-request.
	background context.Context
	// running counts the sub-requests whose result was not yet passed to the
	// shard.
	running *sync.WaitGroup
	// workers run the sub-requests.
	workers *workers
}

// shard drives the dispatcher of one service. It serialises the events,
// executes the resulting actions, and keeps the state that the dispatcher does
// not: waiting callers and cancellations.
type shard struct {
	options shardOptions

	mutex sync.Mutex
	// mutex serialises Step and guards the fields below. Invariants: queries
	// holds exactly the queries that were submitted and have no Finish action
	// yet; attempts holds exactly the attempts that were sent and whose result
	// was not yet passed to the dispatcher; the timer does not run once closed
	// is set.
	queries   map[dispatch.QueryID]*pendingQuery
	attempts  map[dispatch.AttemptID]*subRequest
	lastQuery dispatch.QueryID
	timer     *time.Timer
	// keySpace is the key space in the service's current configuration.
	keySpace coverage.Range
	closed   bool
}

// pendingQuery is a query without a final outcome.
type pendingQuery struct {
	id        dispatch.QueryID
	request   caller.Request
	arrivedAt time.Duration
	// keySpace is the service's key space when the first sub-request was sent.
	keySpace coverage.Range
	// sent reports that a sub-request was sent to a server.
	sent bool
	// context bounds all attempts by the query's deadline. release cancels it
	// once the query has its outcome and running, the number of attempts in
	// flight, is zero.
	context context.Context
	release context.CancelFunc
	running int
	// done receives the final outcome; its buffer holds one.
	done chan queryResult
}

// queryResult is a query's final outcome and the time the query took.
type queryResult struct {
	outcome  dispatch.Outcome
	duration time.Duration
}

func newShard(options shardOptions) *shard {
	return &shard{
		options:  options,
		queries:  make(map[dispatch.QueryID]*pendingQuery),
		attempts: make(map[dispatch.AttemptID]*subRequest),
	}
}

// step passes an event to the dispatcher and executes the resulting actions.
func (s *shard) step(event dispatch.Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stepLocked(event)
}

func (s *shard) stepLocked(event dispatch.Event) {
	now := s.options.now()
	for _, action := range s.options.dispatcher.Step(now, event) {
		switch action := action.(type) {
		case dispatch.Send:
			s.send(action)
		case dispatch.Cancel:
			s.cancelAttempt(action.Attempt)
		case dispatch.Finish:
			s.finish(now, action)
		case dispatch.SetTimer:
			s.setTimer(action.At - now)
		}
	}
}

// submit passes a request to the dispatcher. The outcome is sent to the done
// channel of the returned query.
func (s *shard) submit(request caller.Request) *pendingQuery {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastQuery++
	query := &pendingQuery{
		id:        s.lastQuery,
		request:   request,
		arrivedAt: s.options.now(),
		done:      make(chan queryResult, 1),
	}
	s.queries[query.id] = query
	s.stepLocked(dispatch.QueryArrived{Query: dispatch.Query{
		ID:              query.id,
		RequestID:       request.RequestID,
		Class:           request.Class,
		Remaining:       request.Deadline,
		MinimumCoverage: request.MinimumCoverage,
		Repeatable:      request.Repeatable,
	}})
	return query
}

// configure applies a new configuration of the service.
func (s *shard) configure(event dispatch.Configured) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keySpace = event.Service.KeySpace
	s.stepLocked(event)
}

// cancelQuery informs the dispatcher that the caller disconnected. A
// non-repeatable query that was already sent continues: cancelling it would not
// undo it, and its outcome should be recorded.
func (s *shard) cancelQuery(query *pendingQuery) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.queries[query.id] == nil || query.sent && !query.request.Repeatable {
		return
	}
	s.stepLocked(dispatch.CallerGone{Query: query.id})
}

func (s *shard) send(action dispatch.Send) {
	query := s.queries[action.Query]
	if query.context == nil {
		query.context, query.release = context.WithTimeout(s.options.background, action.Remaining)
	}
	if !query.sent {
		query.sent = true
		query.keySpace = s.keySpace
	}
	query.running++
	s.options.counters.count(action.Kind)
	ctx, cancel := context.WithCancel(query.context)
	outgoing := &subRequest{
		send:          action,
		query:         query,
		attemptPrefix: s.options.attemptPrefix,
		cancel:        cancel,
	}
	s.attempts[action.Attempt] = outgoing
	s.options.running.Add(1)
	s.options.workers.start(job{serviceShard: s, context: ctx, outgoing: outgoing})
}

// runAttempt sends one sub-request and passes its result to the dispatcher.
func (s *shard) runAttempt(ctx context.Context, outgoing *subRequest) {
	defer s.options.running.Done()
	event := s.options.sender.sendSubRequest(ctx, outgoing)
	if _, failed := event.(dispatch.AttemptFailed); failed {
		s.options.counters.failures.Inc()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.attempts, outgoing.send.Attempt)
	outgoing.cancel()
	s.stepLocked(event)
	outgoing.query.running--
	s.releaseIfDone(outgoing.query)
}

func (s *shard) cancelAttempt(attempt dispatch.AttemptID) {
	if sent := s.attempts[attempt]; sent != nil {
		sent.cancel()
	}
}

// releaseIfDone cancels the context of a query that has its outcome and no
// attempts in flight.
func (s *shard) releaseIfDone(query *pendingQuery) {
	if query.release != nil && query.running == 0 && s.queries[query.id] != query {
		query.release()
	}
}

func (s *shard) finish(now time.Duration, action dispatch.Finish) {
	query := s.queries[action.Query]
	delete(s.queries, action.Query)
	query.done <- queryResult{outcome: action.Outcome, duration: now - query.arrivedAt}
	s.releaseIfDone(query)
}

func (s *shard) setTimer(after time.Duration) {
	if s.closed {
		return
	}
	after = max(after, 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(after, s.timerFired)
		return
	}
	s.timer.Reset(after)
}

// pendingRequestIDs returns the request IDs of the queries without a final
// outcome.
func (s *shard) pendingRequestIDs() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	requestIDs := make([]string, 0, len(s.queries))
	for _, query := range s.queries {
		requestIDs = append(requestIDs, query.request.RequestID)
	}
	return requestIDs
}

// timerFired passes the expiry of the dispatcher's timer to it.
func (s *shard) timerFired() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.stepLocked(dispatch.TimerFired{})
	}
}

// closeIfIdle closes the shard if it has no queries and no attempts, and
// reports whether it did.
func (s *shard) closeIfIdle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	idle := len(s.queries) == 0 && len(s.attempts) == 0
	if idle {
		s.closeLocked()
	}
	return idle
}

// close stops the timer; the dispatcher gets no further TimerFired event.
func (s *shard) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closeLocked()
}

func (s *shard) closeLocked() {
	s.closed = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
