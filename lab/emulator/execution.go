package emulator

import (
	"net/http"
	"sync"

	"github.com/banksail/banksail/coverage"
)

// ExecutionsPath is where a back end's execution history is read (GET).
const ExecutionsPath = "/v1/executions"

// maximumExecutions bounds the history that a server keeps for reading; the
// oldest entries go first. The callback sees all.
const maximumExecutions = 100_000

// Execution is one sub-request that a server received.
type Execution struct {
	Server     string         `json:"server"`
	AttemptID  string         `json:"attempt_id"`
	RequestID  string         `json:"request_id"`
	Service    string         `json:"service"`
	Class      string         `json:"class"`
	Snapshot   uint64         `json:"snapshot"`
	Range      coverage.Range `json:"range"`
	Repeatable bool           `json:"repeatable"`
	// Executed says whether the server began to run the sub-request.
	Executed bool `json:"executed"`
	// Completed says whether it ran to its end.
	Completed bool `json:"completed"`
	// Outcome tells what became of it, for readers.
	Outcome string `json:"outcome"`
	// ArrivedUnixNanoseconds is when the server had read it, by its wall clock.
	ArrivedUnixNanoseconds int64 `json:"arrived_unix_ns"`
}

// ExecutionHistory is the reply to a GET of ExecutionsPath.
type ExecutionHistory struct {
	Server string `json:"server"`
	// Dropped counts the entries that no longer fit.
	Dropped    int         `json:"forgotten"`
	Executions []Execution `json:"executions"`
}

// outcomeRunning is the outcome of a sub-request that did not end yet.
const outcomeRunning = "running"

// recorder keeps a server's execution history.
type recorder struct {
	server   string
	callback func(Execution)

	// mutex guards the fields below and what entries point to. Invariant:
	// entries holds the newest executions in the order in which they arrived.
	mutex   sync.Mutex
	entries []*Execution
	dropped int
}

// begin adds a sub-request, so that one cut short is in the history too.
func (r *recorder) begin(execution Execution) *Execution {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	execution.Outcome = outcomeRunning
	entry := &execution
	r.entries = append(r.entries, entry)
	if len(r.entries) > maximumExecutions {
		excess := len(r.entries) - maximumExecutions/2
		r.entries = append([]*Execution(nil), r.entries[excess:]...)
		r.dropped += excess
	}
	return entry
}

// update changes an entry.
func (r *recorder) update(entry *Execution, change func(*Execution)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(entry)
}

// end closes an entry and reports it.
func (r *recorder) end(entry *Execution, outcome string) {
	r.update(entry, func(changed *Execution) { changed.Outcome = outcome })
	if r.callback != nil {
		r.callback(*entry)
	}
}

func (r *recorder) history() ExecutionHistory {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	history := ExecutionHistory{Server: r.server, Dropped: r.dropped, Executions: []Execution{}}
	for _, entry := range r.entries {
		history.Executions = append(history.Executions, *entry)
	}
	return history
}

func (r *recorder) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, r.history())
}
