// Package history records callers' requests and answers, the sub-requests that
// servers executed, and the configurations that were accepted and in force. Check
// verifies the record against the invariants that must hold under any failure.
//
// Times are durations since an epoch chosen by the recorder.
package history

import (
	"sync"
	"time"

	"github.com/banksail/banksail/coverage"
)

// CallID identifies a Call within a history or journal.
type CallID uint64

// Call is one transmission of a request from a caller to a node. A request that is
// retried has several calls.
type Call struct {
	ID CallID `json:"id"`
	// RequestID is assigned by the caller. All calls of a request share it.
	RequestID  string        `json:"request_id"`
	Node       string        `json:"node"`
	Service    string        `json:"service"`
	Class      string        `json:"class"`
	Repeatable bool          `json:"repeatable"`
	Deadline   time.Duration `json:"deadline_ns"`
	// MinimumCoverage is the lowest coverage, from 0 to 1, that the caller
	// accepts. The node must refuse the request if it can't reach it.
	MinimumCoverage float64 `json:"minimum_coverage"`
	// Abandoned is set if the caller cancelled the call before its deadline.
	Abandoned bool          `json:"abandoned,omitempty"`
	At        time.Duration `json:"at_ns"`
}

// AnswerKind is how a call ended for its caller.
type AnswerKind string

// Kinds of answers.
const (
	// AnswerResult is a result with parts.
	AnswerResult AnswerKind = "result"
	// AnswerRefusal is a problem document.
	AnswerRefusal AnswerKind = "refusal"
	// AnswerBroken means that the connection ended without an answer, or that
	// the answer could not be parsed.
	AnswerBroken AnswerKind = "broken"
	// AnswerUnreachable means that no connection to the node could be opened.
	AnswerUnreachable AnswerKind = "unreachable"
)

// Execution is the node's statement on whether the request was executed.
type Execution string

// Values of Execution.
const (
	ExecutionDone    Execution = "done"
	ExecutionNotRun  Execution = "not_run"
	ExecutionUnknown Execution = "unknown"
	ExecutionPartial Execution = "partial"
)

// Answer is the outcome of a call as its caller saw it.
type Answer struct {
	Call      CallID           `json:"call"`
	At        time.Duration    `json:"at_ns"`
	Kind      AnswerKind       `json:"kind"`
	Execution Execution        `json:"execution,omitempty"`
	Reason    string           `json:"reason,omitempty"`
	RequestID string           `json:"request_id,omitempty"`
	Snapshot  uint64           `json:"snapshot,omitempty"`
	Coverage  float64          `json:"coverage,omitempty"`
	Complete  bool             `json:"complete,omitempty"`
	Parts     []Part           `json:"parts,omitempty"`
	Missing   []coverage.Range `json:"missing,omitempty"`
	// Detail is the error of a broken answer or the title of a refusal.
	Detail string `json:"detail,omitempty"`
}

// Part is one server's part of an answer.
type Part struct {
	// Range is the key range that the part covers according to the node.
	Range coverage.Range `json:"range"`
	// Server, RequestID and Snapshot are read from the server's response body.
	// Snapshot is zero if the body has no items.
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	Snapshot  uint64 `json:"snapshot"`
	// ContentMatches is set if the body holds exactly the items of the range.
	ContentMatches bool `json:"whole"`
}

// Attempt is a sub-request that arrived at a server.
type Attempt struct {
	Server    string         `json:"server"`
	AttemptID string         `json:"attempt_id"`
	RequestID string         `json:"request_id"`
	Service   string         `json:"service"`
	Snapshot  uint64         `json:"snapshot"`
	Range     coverage.Range `json:"range"`
	// SentAt is when the node decided to send the attempt, as far as known.
	// ArrivedAt is when the server read it.
	SentAt    time.Duration `json:"sent_at_ns"`
	ArrivedAt time.Duration `json:"arrived_at_ns"`
	// Executed is set if the server executed it, completely or in part.
	Executed bool `json:"executed"`
	// Status is the status of the server's response.
	Status string `json:"status,omitempty"`
}

// KeySpace is the key space of a service.
type KeySpace struct {
	Service string         `json:"service"`
	Range   coverage.Range `json:"range"`
}

// Accepted is a configuration revision that the store accepted.
type Accepted struct {
	Revision uint64        `json:"revision"`
	Digest   string        `json:"digest"`
	PlanID   string        `json:"plan_id,omitempty"`
	At       time.Duration `json:"at_ns"`
}

// InForce is the observation that a configuration was in force at a node.
type InForce struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	// Digest is empty when only the revision was observed.
	Digest string        `json:"digest,omitempty"`
	At     time.Duration `json:"at_ns"`
}

// ConfirmationResult is the outcome of a confirmation reported to its operator.
type ConfirmationResult string

// Results of confirmations.
const (
	ConfirmationApplied  ConfirmationResult = "applied"
	ConfirmationConflict ConfirmationResult = "conflict"
	ConfirmationUnknown  ConfirmationResult = "unknown"
	ConfirmationFailed   ConfirmationResult = "not_applied"
)

// Confirmation is an operator's confirmation of a plan, with its outcome.
type Confirmation struct {
	Operator string             `json:"operator"`
	PlanID   string             `json:"plan_id"`
	Result   ConfirmationResult `json:"result"`
	Revision uint64             `json:"revision,omitempty"`
	At       time.Duration      `json:"at_ns"`
}

// ServerLeaving is a period in which a server was leaving and announced this to
// nodes.
type ServerLeaving struct {
	Server string        `json:"server"`
	At     time.Duration `json:"at_ns"`
	// Until is when the server returned; zero if it did not.
	Until time.Duration `json:"until_ns,omitempty"`
}

// NodeRun is one run of a node's process.
type NodeRun struct {
	Node  string        `json:"node"`
	Start time.Duration `json:"start_ns"`
	// StopRequestedAt is when a planned stop began; zero if there was none.
	StopRequestedAt time.Duration `json:"stop_asked_ns,omitempty"`
	// End is when the process ended; zero if it was still running when
	// recording ended.
	End time.Duration `json:"end_ns,omitempty"`
	// Killed is set if an injected fault ended the process.
	Killed bool `json:"killed,omitempty"`
}

// DisturbanceKind is how a node is impaired during a Disturbance.
type DisturbanceKind string

// Kinds of disturbances.
const (
	// Frozen means that the node's process is suspended.
	Frozen DisturbanceKind = "frozen"
	// Isolated means that the node reaches only its callers, which it must
	// still answer.
	Isolated DisturbanceKind = "parted"
)

// Disturbance is a period in which a node was frozen or isolated.
type Disturbance struct {
	Kind DisturbanceKind `json:"kind"`
	Host string          `json:"host"`
	From time.Duration   `json:"from_ns"`
	To   time.Duration   `json:"to_ns"`
}

// History is the record of one run.
type History struct {
	KeySpaces     []KeySpace      `json:"key_spaces"`
	Calls         []Call          `json:"calls"`
	Answers       []Answer        `json:"answers"`
	Attempts      []Attempt       `json:"attempts"`
	Accepted      []Accepted      `json:"accepted"`
	InForce       []InForce       `json:"in_force"`
	Confirmations []Confirmation  `json:"confirmations"`
	Leaving       []ServerLeaving `json:"leaving"`
	Runs          []NodeRun       `json:"runs"`
	Disturbances  []Disturbance   `json:"disturbances"`
	// FaultsEnd is when the last fault ended.
	FaultsEnd time.Duration `json:"faults_end_ns"`
	// End is when recording ended.
	End time.Duration `json:"end_ns"`
}

// Recorder builds a History in memory. It is safe for concurrent use.
type Recorder struct {
	epoch time.Time
	// mutex guards history and lastCall.
	mutex    sync.Mutex
	history  History
	lastCall CallID
}

// NewRecorder returns a Recorder whose times count from epoch.
func NewRecorder(epoch time.Time) *Recorder { return &Recorder{epoch: epoch} }

// Now returns the time since the epoch.
func (r *Recorder) Now() time.Duration { return time.Since(r.epoch) }

// Call records a call with the next ID and the current time, and returns the ID.
func (r *Recorder) Call(call Call) CallID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastCall++
	call.ID = r.lastCall
	call.At = r.Now()
	r.history.Calls = append(r.history.Calls, call)
	return call.ID
}

// Answer records the answer to a call with the current time.
func (r *Recorder) Answer(answer Answer) {
	answer.At = r.Now()
	r.Update(func(h *History) { h.Answers = append(h.Answers, answer) })
}

// Update calls change with the history while holding the recorder's lock.
func (r *Recorder) Update(change func(*History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.history)
}

// Finish sets the end of the history to the current time and returns the history.
// The recorder must not be used afterwards.
func (r *Recorder) Finish() *History {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.End = r.Now()
	history := r.history
	return &history
}
