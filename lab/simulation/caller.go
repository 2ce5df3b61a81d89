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
	busyInterval     = 30 * time.Millisecond
	recoveryInterval = 500 * time.Millisecond
	probeInterval    = 100 * time.Millisecond
	// callerGracePeriod is how long beyond its deadline a caller waits.
	callerGracePeriod = 3 * time.Second
	// Shares of requests.
	noticeShare        = 0.25
	nonRepeatableShare = 0.15
	urgentShare        = 0.4
	abandonShare       = 0.05
	duplicateShare     = 0.3
	// maxDuplicateDelay bounds the time after which a request is sent again.
	maxDuplicateDelay = 100 * time.Millisecond
	// retryShare is the share of requests whose callers send them again when
	// they can't know the outcome, and maxRetryDelay bounds the time until then.
	retryShare    = 0.7
	maxRetryDelay = 2 * time.Second
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 4 << 20
)

// callerHost is a caller beside its node.
type callerHost struct {
	system *System
	node   *nodeHost
	client *http.Client
	base   *http.Transport

	// mutex guards random, sentCount and deadlines.
	mutex     sync.Mutex
	random    *rand.Rand
	sentCount int
	deadlines map[string]time.Duration
	// inFlight counts the calls under way.
	inFlight sync.WaitGroup
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
	recoveryEnd := faultsEnd + c.system.options.Checker.RecoveryBound
	for ctx.Err() == nil {
		now := c.system.recorder.Now()
		interval := busyInterval
		switch {
		case now >= end:
			c.inFlight.Wait()
			return
		case now >= recoveryEnd:
			interval = probeInterval
		case now >= faultsEnd:
			interval = recoveryInterval
		}
		next := c.nextRequest(now >= recoveryEnd)
		c.inFlight.Go(func() { c.send(ctx, next) })
		time.Sleep(c.jitter(interval))
	}
}

// burst sends a number of requests at once.
func (c *callerHost) burst(count int) {
	for range count {
		next := c.nextRequest(false)
		c.inFlight.Go(func() { c.send(context.Background(), next) })
	}
}

func (c *callerHost) jitter(mean time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}

// plannedRequest is a request that the caller is about to send.
type plannedRequest struct {
	call history.Call
	// abandonAfter ends the call early; zero means never.
	abandonAfter time.Duration
	// duplicateAfter sends it once more; zero means never.
	duplicateAfter time.Duration
	// retryAfter sends it once more, to retryNode, if its outcome is open; zero
	// means never.
	retryAfter time.Duration
	retryNode  *nodeHost
	// resendDeadline is the time that the caller waits then.
	resendDeadline time.Duration
}

// nextRequest picks the next request; probes are plain searches.
func (c *callerHost) nextRequest(probe bool) plannedRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sentCount++
	next := plannedRequest{call: history.Call{
		RequestID: fmt.Sprintf("%s-%d", c.node.name, c.sentCount), Node: c.node.name,
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
	} else if c.random.Float64() < nonRepeatableShare {
		call.Repeatable = false
	}
	call.MinimumCoverage = []float64{0, 0.5, 1}[c.random.IntN(3)]
	if c.random.Float64() < abandonShare {
		call.Abandoned = true
		next.abandonAfter = time.Duration(1+c.random.IntN(50)) * time.Millisecond
	}
	next.resendDeadline = call.Deadline/4 + time.Duration(c.random.Int64N(int64(call.Deadline)*3/4))
	if !call.Repeatable && c.random.Float64() < duplicateShare {
		next.duplicateAfter = time.Duration(1 + c.random.Int64N(int64(maxDuplicateDelay)))
	}
	if !call.Repeatable && c.random.Float64() < retryShare {
		next.retryAfter = time.Duration(1 + c.random.Int64N(int64(maxRetryDelay)))
		next.retryNode = c.system.nodes[c.random.IntN(len(c.system.nodes))]
	}
	return next
}

// send sends a request, and again if that is planned: while the first sending
// may be under way, or after an end that leaves its outcome open.
func (c *callerHost) send(ctx context.Context, next plannedRequest) {
	var first sync.WaitGroup
	var answer history.Answer
	first.Go(func() { answer = c.call(ctx, next, c.node) })
	if next.duplicateAfter > 0 {
		time.Sleep(next.duplicateAfter)
		c.call(ctx, next.resend(), c.node)
	}
	first.Wait()
	if next.retryAfter > 0 && isOutcomeUnknown(answer) {
		time.Sleep(next.retryAfter)
		c.call(ctx, next.resend(), next.retryNode)
	}
}

// resend is the same request, sent by a caller who waits for less time.
func (p plannedRequest) resend() plannedRequest {
	p.call.Abandoned, p.abandonAfter = false, 0
	p.call.Deadline = p.resendDeadline
	return p
}

// isOutcomeUnknown reports whether the caller can't know if its request ran.
func isOutcomeUnknown(answer history.Answer) bool {
	return answer.Kind != history.AnswerResult && answer.Execution != history.ExecutionNotRun
}

// call sends a request to a node once and records how it ended.
func (c *callerHost) call(ctx context.Context, next plannedRequest, host *nodeHost) history.Answer {
	c.recordDeadline(next.call)
	next.call.Node = host.name
	next.call.ID = c.system.recorder.Call(next.call)
	timeout := next.call.Deadline + callerGracePeriod
	if next.abandonAfter > 0 {
		timeout = next.abandonAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := c.sendQuery(ctx, next.call, host)
	answer.Call = next.call.ID
	c.system.recorder.Answer(answer)
	return answer
}

// recordDeadline keeps when a request is due, for telling when its
// sub-requests were sent.
func (c *callerHost) recordDeadline(call history.Call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.deadlines[call.RequestID]; !known {
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

// sendQuery asks the node over HTTP.
func (c *callerHost) sendQuery(ctx context.Context, call history.Call, host *nodeHost) history.Answer {
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return history.AnswerFromError(err)
	}
	return history.ParseAnswer(response.StatusCode, data, itemStride)
}
