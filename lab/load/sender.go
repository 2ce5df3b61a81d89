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
	"github.com/banksail/banksail/lab/profile"
)

const (
	maximumAnswerBytes = 64 << 20
	// unstatedDeadline bounds the wait for a query that states no deadline.
	unstatedDeadline = 2 * time.Minute
	// deadlineAllowance is the time past its deadline that an answer may take.
	deadlineAllowance = 5 * time.Second
)

// query is the body of a query to the caller API.
type query struct {
	RequestID       string          `json:"request_id"`
	Class           string          `json:"class"`
	DeadlineMillis  float64         `json:"deadline_ms,omitempty"`
	MinimumCoverage float64         `json:"minimum_coverage,omitempty"`
	Repeatable      bool            `json:"repeatable"`
	Body            json.RawMessage `json:"body"`
}

// answer is what the generator reads of an answer; other fields are left out.
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

// refusal is what the generator reads of a refusal.
type refusal struct {
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
}

// outcome is what became of one query.
type outcome struct {
	latency time.Duration
	// answer is nil unless the node answered.
	answer *answer
	// refusal is nil unless the node refused.
	refusal *refusal
	// failure is set when neither came.
	failure error
	// wrong tells what is wrong with the answer.
	wrong error
}

// sender sends queries to one node.
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

// send asks once and waits for the answer.
func (s *sender) send(share profile.Share, requestID string) outcome {
	start := time.Now()
	data, code, err := s.post(share, requestID)
	result := outcome{latency: time.Since(start)}
	switch {
	case err != nil:
		result.failure = err
	case code == http.StatusOK:
		s.readAnswer(&result, data, requestID)
	default:
		readRefusal(&result, data, code)
	}
	return result
}

func (s *sender) post(share profile.Share, requestID string) ([]byte, int, error) {
	body, err := json.Marshal(query{
		RequestID:       requestID,
		Class:           share.Class,
		DeadlineMillis:  s.options.Deadline.Seconds() * float64(time.Second/time.Millisecond),
		MinimumCoverage: s.options.MinimumCoverage,
		Repeatable:      share.Repeatable,
		Body:            json.RawMessage(`{"match":"load"}`),
	})
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.wait())
	defer cancel()
	reply, err := httpcall.Send(ctx, s.options.Transport, httpcall.Call{
		Method:  http.MethodPost,
		Address: s.options.Address,
		Path:    "/v1/services/" + url.PathEscape(share.Service) + "/queries",
		Header:  http.Header{"Content-Type": {httpcall.JSON}},
		Body:    body,
		Limit:   maximumAnswerBytes,
	})
	return reply.Body, reply.Code, err
}

func (s *sender) wait() time.Duration {
	if s.options.Deadline == 0 {
		return unstatedDeadline
	}
	return s.options.Deadline + deadlineAllowance
}

func (s *sender) readAnswer(result *outcome, data []byte, requestID string) {
	read := &answer{}
	if err := json.Unmarshal(data, read); err != nil {
		result.failure = fmt.Errorf("reading the answer: %w", err)
		return
	}
	result.answer = read
	result.wrong = checkAnswer(read, requestID, s.options.ItemStride)
}

func readRefusal(result *outcome, data []byte, code int) {
	read := &refusal{}
	if err := json.Unmarshal(data, read); err != nil || read.Execution == "" {
		result.failure = fmt.Errorf("HTTP status %d without a problem document", code)
		return
	}
	result.refusal = read
}
