package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/internal/httpcall"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/profile"
)

const (
	maximumAnswerBytes = 64 << 20
	// defaultAnswerTimeout is the timeout of a query that states no deadline.
	defaultAnswerTimeout = 2 * time.Minute
	// deadlineAllowance is how long the sender waits for an answer after the
	// query's deadline.
	deadlineAllowance = 5 * time.Second
)

// query is the request body of a query to the caller API.
type query struct {
	RequestID       string          `json:"request_id"`
	Class           string          `json:"class"`
	DeadlineMillis  float64         `json:"deadline_ms,omitempty"`
	MinimumCoverage float64         `json:"minimum_coverage,omitempty"`
	Repeatable      bool            `json:"repeatable"`
	Body            json.RawMessage `json:"body"`
}

// answer holds the fields of an answer that the generator needs.
type answer struct {
	RequestID string           `json:"request_id"`
	Snapshot  uint64           `json:"snapshot"`
	Coverage  *float64         `json:"coverage"`
	Complete  bool             `json:"complete"`
	Missing   []coverage.Range `json:"missing"`
	Parts     []part           `json:"parts"`
}

type part struct {
	Range coverage.Range  `json:"range"`
	Body  json.RawMessage `json:"body"`
}

// refusal holds the fields of a refusal's problem document that the generator needs.
type refusal struct {
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
}

// outcome is the outcome of one query.
type outcome struct {
	latency time.Duration
	// answer is set if the node answered.
	answer *answer
	// refusal is set if the node refused the query.
	refusal *refusal
	// failure is set if the node neither answered nor refused.
	failure error
	// answerError is the error found when verifying the answer.
	answerError error
}

// sender sends queries to nodes and records them in the journal.
type sender struct {
	options Options
}

func newSender(options Options) *sender {
	return &sender{options: options}
}

func (s *sender) close() {
	if pooled, ok := s.options.Transport.(interface{ CloseIdleConnections() }); ok {
		pooled.CloseIdleConnections()
	}
}

// retry is one planned retry of a query.
type retry struct {
	address string
	// delay is the time to wait before the retry.
	delay time.Duration
}

// sendWithRetries sends a query and, until it is answered, makes the planned
// retries. It returns the outcome of the last attempt.
func (s *sender) sendWithRetries(kind profile.QueryKind, requestID string, retries []retry) outcome {
	result := s.send(kind, requestID, s.options.Address)
	for _, next := range retries {
		if result.answer != nil {
			break
		}
		time.Sleep(next.delay)
		result = s.send(kind, requestID, next.address)
	}
	return result
}

// send sends a query once and waits for the answer.
func (s *sender) send(kind profile.QueryKind, requestID, address string) outcome {
	call := s.journalCall(kind, requestID, address)
	start := time.Now()
	data, code, err := s.postQuery(kind, requestID, address)
	result := outcome{latency: time.Since(start)}
	s.journalAnswer(call, data, code, err)
	switch {
	case err != nil:
		result.failure = err
	case code == http.StatusOK:
		s.parseAnswer(&result, data, requestID)
	default:
		parseRefusal(&result, data, code)
	}
	return result
}

// journalCall writes a call to the journal, if there is one.
func (s *sender) journalCall(kind profile.QueryKind, requestID, address string) history.CallID {
	if s.options.Journal == nil {
		return 0
	}
	return s.options.Journal.Call(history.Call{
		RequestID: requestID, Node: address, Service: kind.Service, Class: kind.Class,
		Repeatable: kind.Repeatable, Deadline: s.options.Deadline, MinimumCoverage: s.options.MinimumCoverage,
	})
}

// journalAnswer writes the outcome of a call to the journal, if there is one.
func (s *sender) journalAnswer(call history.CallID, data []byte, code int, err error) {
	if s.options.Journal == nil {
		return
	}
	var answer history.Answer
	if err != nil {
		answer = history.AnswerFromError(err)
	} else {
		answer = history.ParseAnswer(code, data, s.options.ItemStride)
	}
	answer.Call = call
	s.options.Journal.Answer(answer)
}

func (s *sender) postQuery(kind profile.QueryKind, requestID, address string) ([]byte, int, error) {
	body, err := json.Marshal(query{
		RequestID:       requestID,
		Class:           kind.Class,
		DeadlineMillis:  s.options.Deadline.Seconds() * float64(time.Second/time.Millisecond),
		MinimumCoverage: s.options.MinimumCoverage,
		Repeatable:      kind.Repeatable,
		Body:            json.RawMessage(`{"match":"load"}`),
	})
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.answerTimeout())
	defer cancel()
	reply, err := httpcall.Send(ctx, s.options.Transport, httpcall.Call{
		Method:       http.MethodPost,
		Address:      address,
		Path:         "/v1/services/" + url.PathEscape(kind.Service) + "/queries",
		Header:       http.Header{"Content-Type": {httpcall.JSON}},
		Body:         body,
		MaxBodyBytes: maximumAnswerBytes,
	})
	return reply.Body, reply.Code, err
}

func (s *sender) answerTimeout() time.Duration {
	if s.options.Deadline == 0 {
		return defaultAnswerTimeout
	}
	return s.options.Deadline + deadlineAllowance
}

func (s *sender) parseAnswer(result *outcome, data []byte, requestID string) {
	read := &answer{}
	if err := json.Unmarshal(data, read); err != nil {
		result.failure = fmt.Errorf("reading the answer: %w", err)
		return
	}
	result.answer = read
	result.answerError = checkAnswer(read, requestID, s.options.ItemStride)
}

func parseRefusal(result *outcome, data []byte, code int) {
	read := &refusal{}
	if err := json.Unmarshal(data, read); err != nil || read.Execution == "" {
		result.failure = fmt.Errorf("HTTP status %d without a problem document", code)
		return
	}
	result.refusal = read
}
