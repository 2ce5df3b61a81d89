package telemetry

import (
	"sync"
	"unsafe"

	"github.com/banksail/banksail/dispatch"
)

// Explanation describes how a request was executed and why it got its answer.
type Explanation struct {
	RequestID string `json:"request_id"`
	Node      string `json:"node"`
	Service   string `json:"service"`
	Class     string `json:"class"`
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
	Snapshot  uint64 `json:"snapshot"`
	// Coverage is the fraction of the key space that the answer covered.
	Coverage float64         `json:"coverage"`
	Steps    []dispatch.Step `json:"steps"`
}

// Default limits of Explanations, used for options that are not positive.
const (
	DefaultExplanations     = 4096
	DefaultExplanationBytes = 8 << 20
)

// Estimated sizes of an explanation without steps and of a step, in bytes. They are close to the
// memory that Go uses.
const (
	explanationOverhead = 512
	stepBytes           = int(unsafe.Sizeof(dispatch.Step{}))
)

// ExplanationsOptions limits the explanations that are kept.
type ExplanationsOptions struct {
	// Requests is the maximum number of explanations.
	Requests int
	// Bytes is the maximum total size of the explanations in bytes, as estimated.
	Bytes int
}

// Explanations keeps the explanations of the most recent requests. It is safe for concurrent use.
type Explanations struct {
	options ExplanationsOptions

	mutex sync.Mutex
	// mutex guards the fields below. Invariants: ring holds count explanations starting at first,
	// oldest first, and bytes is their total estimated size; byRequest maps each of their request
	// IDs to the index in ring of the newest explanation with that ID.
	ring      []Explanation
	first     int
	count     int
	bytes     int
	byRequest map[string]int
}

// NewExplanations returns an empty set of explanations.
func NewExplanations(options ExplanationsOptions) *Explanations {
	if options.Requests <= 0 {
		options.Requests = DefaultExplanations
	}
	if options.Bytes <= 0 {
		options.Bytes = DefaultExplanationBytes
	}
	return &Explanations{
		options:   options,
		ring:      make([]Explanation, options.Requests),
		byRequest: make(map[string]int),
	}
}

// Add adds an explanation and evicts the oldest ones over the limits. The newest is kept even if
// it alone exceeds the byte limit.
func (e *Explanations) Add(explanation Explanation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.count == len(e.ring) {
		e.evictOldest()
	}
	index := (e.first + e.count) % len(e.ring)
	e.ring[index] = explanation
	e.byRequest[explanation.RequestID] = index
	e.count++
	e.bytes += estimateSize(explanation)
	for e.bytes > e.options.Bytes && e.count > 1 {
		e.evictOldest()
	}
}

func (e *Explanations) evictOldest() {
	oldest := e.ring[e.first]
	if e.byRequest[oldest.RequestID] == e.first {
		delete(e.byRequest, oldest.RequestID)
	}
	e.bytes -= estimateSize(oldest)
	e.ring[e.first] = Explanation{}
	e.first = (e.first + 1) % len(e.ring)
	e.count--
}

func estimateSize(explanation Explanation) int {
	return explanationOverhead + stepBytes*len(explanation.Steps)
}

// Find returns the newest explanation of a request, if one is kept.
func (e *Explanations) Find(requestID string) (Explanation, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index, found := e.byRequest[requestID]
	if !found {
		return Explanation{}, false
	}
	return e.ring[index], true
}
