// Package history records what callers asked and got, what servers ran, and
// which configurations were accepted and in force, and judges the record
// against the invariants that must hold under any failure.
//
// Times are durations since an epoch that the recorder picks.
package history

import (
	"sync"
	"time"

	"github.com/banksail/banksail/coverage"
)

// CallID numbers one sending of a request by a caller.
type CallID uint64

// Call is one sending of a request by a caller to a node.
type Call struct {
	ID CallID `json:"id"`
	// RequestID is the caller's name for the request; a request that is sent
	// again keeps it.
	RequestID  string        `json:"request_id"`
	Node       string        `json:"node"`
	Service    string        `json:"service"`
	Class      string        `json:"class"`
	Repeatable bool          `json:"repeatable"`
	Deadline   time.Duration `json:"deadline_ns"`
	// MinimumCoverage is the least coverage that the caller accepts; answers
	// below it must be refusals.
	MinimumCoverage float64 `json:"minimum_coverage"`
	// Abandoned says that the caller gave up before the deadline.
	Abandoned bool          `json:"abandoned,omitempty"`
	At        time.Duration `json:"at_ns"`
}

// AnswerKind tells how a call ended for its caller.
type AnswerKind string

// Kinds of answers.
const (
	// AnswerResult holds parts.
	AnswerResult AnswerKind = "result"
	// AnswerRefusal is a problem document.
	AnswerRefusal AnswerKind = "refusal"
	// AnswerBroken means that the connection ended without an answer, or that
	// the answer could not be understood.
	AnswerBroken AnswerKind = "broken"
	// AnswerUnreachable means that no connection to the node could be opened.
	AnswerUnreachable AnswerKind = "unreachable"
)

// Execution is what an answer says of the request's execution.
type Execution string

// What answers say.
const (
	ExecutionDone    Execution = "done"
	ExecutionNotRun  Execution = "not_run"
	ExecutionUnknown Execution = "unknown"
	ExecutionPartial Execution = "partial"
)

// Answer is the end of a call.
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
	// Detail is the error or text behind a broken answer or a refusal.
	Detail string `json:"detail,omitempty"`
}

// Part is one part of an answer, with the server's own account in its body.
type Part struct {
	// Range is what the node says that the part covers.
	Range coverage.Range `json:"range"`
	// Server, RequestID and Snapshot are what the body says. Snapshot is zero
	// when the body holds nothing from which it could be read.
	Server    string `json:"server"`
	RequestID string `json:"request_id"`
	Snapshot  uint64 `json:"snapshot"`
	// ContentMatches says that the body holds all that the range holds and no more.
	ContentMatches bool `json:"whole"`
}

// Attempt is a sub-request that reached a server.
type Attempt struct {
	Server    string         `json:"server"`
	AttemptID string         `json:"attempt_id"`
	RequestID string         `json:"request_id"`
	Service   string         `json:"service"`
	Snapshot  uint64         `json:"snapshot"`
	Range     coverage.Range `json:"range"`
	// SentAt is when the node decided to send, as far as is known; ArrivedAt is
	// when the server read it.
	SentAt    time.Duration `json:"sent_at_ns"`
	ArrivedAt time.Duration `json:"arrived_at_ns"`
	// Executed says that the server ran it, wholly or in part.
	Executed bool `json:"executed"`
	// Status is the server's reply.
	Status string `json:"status,omitempty"`
}

// KeySpace tells the whole key space of a service.
type KeySpace struct {
	Service string         `json:"service"`
	Range   coverage.Range `json:"range"`
}

// Accepted is a configuration that the store took.
type Accepted struct {
	Revision uint64        `json:"revision"`
	Digest   string        `json:"digest"`
	PlanID   string        `json:"plan_id,omitempty"`
	At       time.Duration `json:"at_ns"`
}

// InForce is a configuration that a node put in force.
type InForce struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	// Digest is empty when only the revision was observed.
	Digest string        `json:"digest,omitempty"`
	At     time.Duration `json:"at_ns"`
}

// ConfirmationResult is what an operator was told of a confirmation.
type ConfirmationResult string

// Results of confirmations.
const (
	ConfirmationApplied  ConfirmationResult = "applied"
	ConfirmationConflict ConfirmationResult = "conflict"
	ConfirmationUnknown  ConfirmationResult = "unknown"
	ConfirmationFailed   ConfirmationResult = "not_applied"
)

// Confirmation is an operator's confirmation of a plan and its result.
type Confirmation struct {
	Operator string             `json:"operator"`
	PlanID   string             `json:"plan_id"`
	Result   ConfirmationResult `json:"result"`
	Revision uint64             `json:"revision,omitempty"`
	At       time.Duration      `json:"at_ns"`
}

// ServerLeaving says that a server began to leave, visibly to nodes.
type ServerLeaving struct {
	Server string        `json:"server"`
	At     time.Duration `json:"at_ns"`
	// Until is when the server came back; zero if it didn't.
	Until time.Duration `json:"until_ns,omitempty"`
}

// NodeRun is one run of a node's process.
type NodeRun struct {
	Node  string        `json:"node"`
	Start time.Duration `json:"start_ns"`
	// StopRequestedAt is when a planned stop began; zero if none did.
	StopRequestedAt time.Duration `json:"stop_asked_ns,omitempty"`
	// End is when the process ended; zero if it still ran at the end.
	End time.Duration `json:"end_ns,omitempty"`
	// Killed says that the process was ended by a fault.
	Killed bool `json:"killed,omitempty"`
}

// DisturbanceKind tells what a disturbed node can't do.
type DisturbanceKind string

// Kinds of disturbances.
const (
	// Frozen nodes do nothing at all.
	Frozen DisturbanceKind = "frozen"
	// Isolated nodes reach nobody but their callers, whom they must answer.
	Isolated DisturbanceKind = "parted"
)

// Disturbance is a time in which a node could not take part.
type Disturbance struct {
	Kind DisturbanceKind `json:"kind"`
	Host string          `json:"host"`
	From time.Duration   `json:"from_ns"`
	To   time.Duration   `json:"to_ns"`
}

// History is one run's record.
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

// Recorder collects a History from several goroutines.
type Recorder struct {
	epoch time.Time
	// mutex guards history and lastCall.
	mutex    sync.Mutex
	history  History
	lastCall CallID
}

// NewRecorder starts a record whose times count from epoch.
func NewRecorder(epoch time.Time) *Recorder { return &Recorder{epoch: epoch} }

// Now is the time since the epoch.
func (r *Recorder) Now() time.Duration { return time.Since(r.epoch) }

// Call records a call, giving it its ID and time.
func (r *Recorder) Call(call Call) CallID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastCall++
	call.ID = r.lastCall
	call.At = r.Now()
	r.history.Calls = append(r.history.Calls, call)
	return call.ID
}

// Answer records the end of a call at the present time.
func (r *Recorder) Answer(answer Answer) {
	answer.At = r.Now()
	r.Update(func(h *History) { h.Answers = append(h.Answers, answer) })
}

// Update changes the history under the recorder's lock.
func (r *Recorder) Update(change func(*History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.history)
}

// Finish returns the history; recording must have ended.
func (r *Recorder) Finish() *History {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.End = r.Now()
	history := r.history
	return &history
}
