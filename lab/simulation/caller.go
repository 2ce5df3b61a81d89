package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/lab/history"
)

// Pace and mix of the callers' requests.
const (
	busyInterval  = 30 * time.Millisecond
	quietInterval = 500 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	// callerPatience is how long beyond its deadline a caller waits.
	callerPatience = 3 * time.Second
	// Shares of requests.
	noticeShare    = 0.25
	onceShare      = 0.15
	urgentShare    = 0.4
	abandonShare   = 0.05
	duplicateShare = 0.3
	// duplicateDelay bounds the time after which a request is sent again.
	duplicateDelay = 100 * time.Millisecond
	// retryShare is the share of requests whose callers send them again when
	// they can't know the outcome, and retryDelay bounds the time until then.
	retryShare = 0.7
	retryDelay = 2 * time.Second
	// maximumAnswerBytes bounds what is read of an answer.
	maximumAnswerBytes = 4 << 20
)

// callerHost is a caller beside its node.
type callerHost struct {
	system *System
	node   *nodeHost
	client *http.Client
	base   *http.Transport

	// mutex guards random, sent and deadlines.
	mutex     sync.Mutex
	random    *rand.Rand
	sent      int
	deadlines map[string]time.Duration
	// calls counts the calls under way.
	calls sync.WaitGroup
}

func newCallerHost(s *System, index int, host *nodeHost) (*callerHost, error) {
	process, err := s.network.Start(callerIP(index))
	if err != nil {
		return nil, err
	}
	base := newTransport(process)
	transport := http.RoundTripper(base)
	if hook := s.options.Hooks.Caller; hook != nil {
		transport = hook(transport)
	}
	return &callerHost{
		system: s, node: host, client: &http.Client{Transport: transport}, base: base,
		random:    rand.New(rand.NewPCG(s.options.Seed, uint64(index))),
		deadlines: make(map[string]time.Duration),
	}, nil
}

// close ends the caller's connections.
func (c *callerHost) close() { c.base.CloseIdleConnections() }

// run sends requests: many while faults may happen, few while the system
// recovers, and again more to see that it has.
func (c *callerHost) run(ctx context.Context, faultsEnd, end time.Duration) {
	whole := faultsEnd + c.system.options.Checker.RecoveryBound
	for ctx.Err() == nil {
		now := c.system.recorder.Now()
		interval := busyInterval
		switch {
		case now >= end:
			c.calls.Wait()
			return
		case now >= whole:
			interval = probeInterval
		case now >= faultsEnd:
			interval = quietInterval
		}
		planned := c.draw(now >= whole)
		c.calls.Go(func() { c.send(ctx, planned) })
		time.Sleep(c.jitter(interval))
	}
}

// burst sends a number of requests at once.
func (c *callerHost) burst(count int) {
	for range count {
		next := c.draw(false)
		c.calls.Go(func() { c.send(context.Background(), next) })
	}
}

func (c *callerHost) jitter(mean time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}

// planned is a request that the caller is about to send.
type planned struct {
	call history.Call
	// abandonAfter ends the call early; zero means never.
	abandonAfter time.Duration
	// againAfter sends it once more; zero means never.
	againAfter time.Duration
	// retryAfter sends it once more, to retryAt, if its outcome is open; zero
	// means never.
	retryAfter time.Duration
	retryAt    *nodeHost
	// againDeadline is the time that the caller waits then.
	againDeadline time.Duration
}

// draw picks the next request; probes are plain searches.
func (c *callerHost) draw(probe bool) planned {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent++
	next := planned{call: history.Call{
		RequestID: fmt.Sprintf("%s-%d", c.node.name, c.sent), Node: c.node.name,
		Service: searchService, Class: bulkClass, Repeatable: true, Deadline: time.Second,
	}}
	if probe {
		return next
	}
	call := &next.call
	if c.random.Float64() < urgentShare {
		call.Class = urgentClass
		call.Deadline = time.Duration(100+c.random.IntN(300)) * time.Millisecond
	}
	if c.random.Float64() < noticeShare {
		call.Service = noticeService
		call.Repeatable = false
	} else if c.random.Float64() < onceShare {
		call.Repeatable = false
	}
	call.MinimumCoverage = []float64{0, 0.5, 1}[c.random.IntN(3)]
	if c.random.Float64() < abandonShare {
		call.Abandoned = true
		next.abandonAfter = time.Duration(1+c.random.IntN(50)) * time.Millisecond
	}
	next.againDeadline = call.Deadline/4 + time.Duration(c.random.Int64N(int64(call.Deadline)*3/4))
	if !call.Repeatable && c.random.Float64() < duplicateShare {
		next.againAfter = time.Duration(1 + c.random.Int64N(int64(duplicateDelay)))
	}
	if !call.Repeatable && c.random.Float64() < retryShare {
		next.retryAfter = time.Duration(1 + c.random.Int64N(int64(retryDelay)))
		next.retryAt = c.system.nodes[c.random.IntN(len(c.system.nodes))]
	}
	return next
}

// send sends a request, and again if that is planned: while the first sending
// may be under way, or after an end that leaves its outcome open.
func (c *callerHost) send(ctx context.Context, next planned) {
	var first sync.WaitGroup
	var answer history.Answer
	first.Go(func() { answer = c.call(ctx, next, c.node) })
	if next.againAfter > 0 {
		time.Sleep(next.againAfter)
		c.call(ctx, next.again(), c.node)
	}
	first.Wait()
	if next.retryAfter > 0 && leavesOpen(answer) {
		time.Sleep(next.retryAfter)
		c.call(ctx, next.again(), next.retryAt)
	}
}

// again is the same request, sent by a caller who waits for less time.
func (p planned) again() planned {
	p.call.Abandoned, p.abandonAfter = false, 0
	p.call.Deadline = p.againDeadline
	return p
}

// leavesOpen reports whether the caller can't know if its request ran.
func leavesOpen(answer history.Answer) bool {
	return answer.Kind != history.AnswerResult && answer.Execution != history.ExecutionNotRun
}

// call sends a request to a node once and records how it ended.
func (c *callerHost) call(ctx context.Context, next planned, host *nodeHost) history.Answer {
	c.rememberDeadline(next.call)
	next.call.Node = host.name
	next.call.ID = c.system.recorder.Call(next.call)
	patience := next.call.Deadline + callerPatience
	if next.abandonAfter > 0 {
		patience = next.abandonAfter
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	answer := c.exchange(ctx, next.call, host)
	answer.Call = next.call.ID
	c.system.recorder.Answer(answer)
	return answer
}

// rememberDeadline keeps when a request is due, for telling when its
// sub-requests were sent.
func (c *callerHost) rememberDeadline(call history.Call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, again := c.deadlines[call.RequestID]; !again {
		c.deadlines[call.RequestID] = c.system.recorder.Now() + call.Deadline
	}
}

func (c *callerHost) deadlineOf(requestID string) (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	deadline, ok := c.deadlines[requestID]
	return deadline, ok
}

// queryDocument is the JSON form of a query.
type queryDocument struct {
	RequestID       string          `json:"request_id"`
	Class           string          `json:"class"`
	DeadlineMillis  float64         `json:"deadline_ms"`
	MinimumCoverage float64         `json:"minimum_coverage"`
	Repeatable      bool            `json:"repeatable"`
	Body            json.RawMessage `json:"body"`
}

// exchange asks the node over HTTP.
func (c *callerHost) exchange(ctx context.Context, call history.Call, host *nodeHost) history.Answer {
	document, err := json.Marshal(queryDocument{
		RequestID: call.RequestID, Class: call.Class,
		DeadlineMillis:  float64(call.Deadline) / float64(time.Millisecond),
		MinimumCoverage: call.MinimumCoverage, Repeatable: call.Repeatable,
		Body: json.RawMessage(`{"find":"x"}`),
	})
	if err != nil {
		return history.AnswerFromError(err)
	}
	url := "http://" + address(host.ip, callerPort) + "/v1/services/" + call.Service + "/queries"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(document))
	if err != nil {
		return history.AnswerFromError(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return history.AnswerFromError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return history.AnswerFromError(err)
	}
	return history.ParseAnswer(response.StatusCode, data, itemStride)
}
