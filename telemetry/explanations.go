package telemetry

import (
	"sync"

	"github.com/banksail/banksail/dispatch"
)

// Explanation tells why a request got the answer it got.
type Explanation struct {
	RequestID string `json:"request_id"`
	Node      string `json:"node"`
	Service   string `json:"service"`
	Class     string `json:"class"`
	Execution string `json:"execution"`
	Reason    string `json:"reason"`
	Snapshot  uint64 `json:"snapshot"`
	// Coverage is the true fraction of the key space that the answer held.
	Coverage float64         `json:"coverage"`
	Steps    []dispatch.Step `json:"steps"`
}

// Explanations keeps the explanations of the most recent requests.
type Explanations struct {
	mutex sync.Mutex
	// mutex guards the fields below. Every entry of byRequest is the index in
	// ring of the newest explanation with that request ID.
	ring      []Explanation
	next      int
	byRequest map[string]int
}

// NewExplanations keeps at most capacity explanations; capacity is at least one.
func NewExplanations(capacity int) *Explanations {
	return &Explanations{
		ring:      make([]Explanation, 0, max(capacity, 1)),
		byRequest: make(map[string]int),
	}
}

// Add keeps an explanation, in place of the oldest when all places are taken.
func (e *Explanations) Add(explanation Explanation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.ring) < cap(e.ring) {
		e.ring = append(e.ring, explanation)
	} else {
		e.forget(e.next)
		e.ring[e.next] = explanation
	}
	e.byRequest[explanation.RequestID] = e.next
	e.next = (e.next + 1) % cap(e.ring)
}

// forget drops the index of a place that is about to be reused, unless a newer
// explanation has the same request ID.
func (e *Explanations) forget(place int) {
	requestID := e.ring[place].RequestID
	if e.byRequest[requestID] == place {
		delete(e.byRequest, requestID)
	}
}

// Find returns the newest explanation of a request.
func (e *Explanations) Find(requestID string) (Explanation, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	place, found := e.byRequest[requestID]
	if !found {
		return Explanation{}, false
	}
	return e.ring[place], true
}
