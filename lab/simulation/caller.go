package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/lab/emulator"
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
	if !call.Repeatable && c.random.Float64() < duplicateShare {
		next.againAfter = time.Duration(1 + c.random.Int64N(int64(duplicateDelay)))
	}
	return next
}

// send sends a request, and again if that is planned and the same process of
// the node still runs: what another process did, no node remembers.
func (c *callerHost) send(ctx context.Context, next planned) {
	run, _ := c.node.current()
	var first sync.WaitGroup
	first.Go(func() { c.call(ctx, next) })
	if next.againAfter > 0 {
		time.Sleep(next.againAfter)
		if now, running := c.node.current(); running && now == run {
			again := next
			again.call.Abandoned, again.abandonAfter = false, 0
			c.call(ctx, again)
		}
	}
	first.Wait()
}

// call sends a request once and records how it ended.
func (c *callerHost) call(ctx context.Context, next planned) {
	c.rememberDeadline(next.call)
	next.call.ID = c.system.recorder.Call(next.call)
	patience := next.call.Deadline + callerPatience
	if next.abandonAfter > 0 {
		patience = next.abandonAfter
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	answer := c.exchange(ctx, next.call)
	answer.Call = next.call.ID
	c.system.recorder.Answer(answer)
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
func (c *callerHost) exchange(ctx context.Context, call history.Call) history.Answer {
	document, err := json.Marshal(queryDocument{
		RequestID: call.RequestID, Class: call.Class,
		DeadlineMillis:  float64(call.Deadline) / float64(time.Millisecond),
		MinimumCoverage: call.MinimumCoverage, Repeatable: call.Repeatable,
		Body: json.RawMessage(`{"find":"x"}`),
	})
	if err != nil {
		return broken(err)
	}
	url := "http://" + address(c.node.ip, callerPort) + "/v1/services/" + call.Service + "/queries"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(document))
	if err != nil {
		return broken(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return broken(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return broken(err)
	}
	return ParseAnswer(response.StatusCode, data)
}

// broken tells a connection that was never made from an answer that never came.
func broken(err error) history.Answer {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return history.Answer{Kind: history.AnswerUnreachable, Detail: err.Error()}
	}
	return history.Answer{Kind: history.AnswerBroken, Detail: err.Error()}
}

// ParseAnswer reads a node's answer to a query whose back ends are the emulator's.
func ParseAnswer(status int, data []byte) history.Answer {
	if status != http.StatusOK {
		return parseProblem(data)
	}
	var document caller.Answer
	if err := json.Unmarshal(data, &document); err != nil {
		return broken(err)
	}
	answer := history.Answer{
		Kind: history.AnswerResult, Execution: history.ExecutionDone, Reason: document.Reason,
		RequestID: document.RequestID, Snapshot: document.Snapshot, Coverage: document.Coverage,
		Complete: document.Complete, Missing: document.Missing,
	}
	for _, part := range document.Parts {
		answer.Parts = append(answer.Parts, parsePart(part))
	}
	return answer
}

func parseProblem(data []byte) history.Answer {
	var problem caller.Problem
	if err := json.Unmarshal(data, &problem); err != nil {
		return broken(err)
	}
	return history.Answer{
		Kind: history.AnswerRefusal, Execution: history.Execution(problem.Execution),
		Reason: problem.Reason, RequestID: problem.RequestID, Detail: problem.Title,
	}
}

// parsePart compares a part with what the emulator holds for its range.
func parsePart(part caller.Part) history.Part {
	parsed := history.Part{Range: part.Range}
	var result emulator.Result
	if json.Unmarshal(part.Body, &result) != nil {
		return parsed
	}
	parsed.Server, parsed.RequestID = result.Server, result.RequestID
	if len(result.Items) > 0 {
		parsed.Snapshot = result.Items[0].Snapshot
	}
	parsed.Whole = sameItems(result.Items, emulator.Items(part.Range, parsed.Snapshot, itemStride))
	return parsed
}

func sameItems(got, want []emulator.Item) bool {
	if len(got) != len(want) {
		return false
	}
	for index := range got {
		if got[index] != want[index] {
			return false
		}
	}
	return true
}
