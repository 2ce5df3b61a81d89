package telemetry

import (
	"sync"
	"unsafe"

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

// Bounds of Explanations, used where an option is zero.
const (
	DefaultExplanations     = 4096
	DefaultExplanationBytes = 8 << 20
)

// Sizes by which explanations are counted; they are close to what Go takes.
const (
	explanationOverhead = 512
	stepBytes           = int(unsafe.Sizeof(dispatch.Step{}))
)

// ExplanationsOptions bounds Explanations.
type ExplanationsOptions struct {
	// Requests is the greatest number of explanations.
	Requests int
	// Bytes bounds what they take together.
	Bytes int
}

// Explanations keeps the explanations of the most recent requests.
type Explanations struct {
	options ExplanationsOptions

	mutex sync.Mutex
	// mutex guards the fields below. Invariants: ring holds count explanations
	// from first on, the oldest first, and bytes is what they take; byRequest
	// maps each of their request IDs to the index of the newest with that ID.
	ring      []Explanation
	first     int
	count     int
	bytes     int
	byRequest map[string]int
}

// NewExplanations keeps none yet.
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

// Add keeps an explanation and forgets the oldest ones beyond the bounds. The
// newest stays even if it alone is beyond them.
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

// Find returns the newest explanation of a request.
func (e *Explanations) Find(requestID string) (Explanation, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	index, found := e.byRequest[requestID]
	if !found {
		return Explanation{}, false
	}
	return e.ring[index], true
}
