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

// Rate and mix of the callers' requests.
const (
	busyInterval     = 30 * time.Millisecond
	recoveryInterval = 500 * time.Millisecond
	probeInterval    = 100 * time.Millisecond
	// callerGracePeriod is how long a caller waits for a response beyond the
	// request's deadline.
	callerGracePeriod = 3 * time.Second
	// Shares of requests, from 0 to 1.
	noticeShare        = 0.25
	nonRepeatableShare = 0.15
	urgentShare        = 0.4
	abandonShare       = 0.05
	duplicateShare     = 0.3
	// maxDuplicateDelay limits the delay until a duplicate of a request is
	// sent.
	maxDuplicateDelay = 100 * time.Millisecond
	// retryShare is the share of non-repeatable requests that the caller sends
	// again when their outcome is unknown; maxRetryDelay limits the delay until
	// then.
	retryShare    = 0.7
	maxRetryDelay = 2 * time.Second
	// maxAnswerBytes limits how much of a response body is read.
	maxAnswerBytes = 4 << 20
)

// callerHost simulates the callers of one node.
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
	// inFlight tracks the requests in flight.
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

// close closes the caller's idle connections.
func (c *callerHost) close() { c.base.CloseIdleConnections() }

// run sends requests until end: at a high rate while faults are injected, at a
// low rate while the system recovers, and then probes at a medium rate that
// show whether it has recovered.
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

// burst sends count requests concurrently.
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

// plannedRequest is a request to send, with the client behavior planned for it.
type plannedRequest struct {
	call history.Call
	// abandonAfter is the time after which the caller cancels the request; zero
	// means never.
	abandonAfter time.Duration
	// duplicateAfter is the delay until the caller sends a duplicate to the
	// same node; zero means never.
	duplicateAfter time.Duration
	// retryAfter is the delay until the caller sends the request again, to
	// retryNode, if its outcome is unknown; zero means never.
	retryAfter time.Duration
	retryNode  *nodeHost
	// resendDeadline is the deadline of a duplicate or retry.
	resendDeadline time.Duration
}

// nextRequest generates the next request. A probe is a repeatable search with
// fixed parameters.
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

// send sends a request and, if planned, a duplicate while the first may be in
// flight, and a retry after the first ended with an unknown outcome.
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

// resend returns the same request with the deadline of a duplicate or retry,
// which the caller does not cancel early.
func (p plannedRequest) resend() plannedRequest {
	p.call.Abandoned, p.abandonAfter = false, 0
	p.call.Deadline = p.resendDeadline
	return p
}

// isOutcomeUnknown reports whether the caller cannot know if its request ran.
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

// recordDeadline records the deadline of a request's first call, from which
// sentAt derives when its sub-requests were sent.
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

// queryDocument is the JSON body of a query.
type queryDocument struct {
	RequestID       string          `json:"request_id"`
	Class           string          `json:"class"`
	DeadlineMillis  float64         `json:"deadline_ms"`
	MinimumCoverage float64         `json:"minimum_coverage"`
	Repeatable      bool            `json:"repeatable"`
	Body            json.RawMessage `json:"body"`
}

// sendQuery sends the query to the node over HTTP and parses the response.
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
