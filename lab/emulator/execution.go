package emulator

import (
	"net/http"
	"sync"

	"github.com/banksail/banksail/coverage"
)

// ExecutionsPath is the HTTP path of a back end's execution history (GET).
const ExecutionsPath = "/v1/executions"

// maximumExecutions bounds the entries of a server's execution history. When it
// is exceeded, the older half is evicted. ServerOptions.OnExecution is called
// for every execution regardless.
const maximumExecutions = 100_000

// Execution is the record of one sub-request that a server received.
type Execution struct {
	Server     string         `json:"server"`
	AttemptID  string         `json:"attempt_id"`
	RequestID  string         `json:"request_id"`
	Service    string         `json:"service"`
	Class      string         `json:"class"`
	Snapshot   uint64         `json:"snapshot"`
	Range      coverage.Range `json:"range"`
	Repeatable bool           `json:"repeatable"`
	// Executed is true once the server has started executing the sub-request.
	Executed bool `json:"executed"`
	// Completed is true once the execution has run for its full service time.
	Completed bool `json:"completed"`
	// Outcome describes the result for human readers: a backend.Status, the
	// fault or cancellation that ended the sub-request, or "running".
	Outcome string `json:"outcome"`
	// ArrivedUnixNanoseconds is the server's wall-clock time, in nanoseconds
	// since the Unix epoch, at which it had read the sub-request.
	ArrivedUnixNanoseconds int64 `json:"arrived_unix_ns"`
}

// ExecutionHistory is the reply to a GET of ExecutionsPath.
type ExecutionHistory struct {
	Server string `json:"server"`
	// Dropped is the number of entries evicted because the history was full.
	Dropped    int         `json:"forgotten"`
	Executions []Execution `json:"executions"`
}

// outcomeRunning is the outcome of a sub-request that is still in progress.
const outcomeRunning = "running"

// recorder keeps a server's execution history and serves it over HTTP.
type recorder struct {
	server   string
	callback func(Execution)

	// mutex guards the fields below and the executions that entries point to.
	// Invariant: entries holds the most recent executions in order of arrival.
	mutex   sync.Mutex
	entries []*Execution
	dropped int
}

// begin adds a sub-request to the history on arrival, so that the history also
// contains those that are interrupted. It returns the entry for update and end.
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

// update applies change to an entry under the recorder's lock.
func (r *recorder) update(entry *Execution, change func(*Execution)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(entry)
}

// end sets the final outcome of an entry and passes it to the callback.
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
