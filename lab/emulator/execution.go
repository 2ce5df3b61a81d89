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
}

// ExecutionHistory is the reply to a GET of ExecutionsPath.
type ExecutionHistory struct {
	Server string `json:"server"`
	// Forgotten counts the entries that no longer fit.
	Forgotten  int         `json:"forgotten"`
	Executions []Execution `json:"executions"`
}

// recorder keeps a server's execution history.
type recorder struct {
	server   string
	callback func(Execution)

	// mutex guards the fields below. Invariant: entries holds the newest
	// executions in the order in which they ended.
	mutex     sync.Mutex
	entries   []Execution
	forgotten int
}

func (r *recorder) record(execution Execution) {
	r.append(execution)
	if r.callback != nil {
		r.callback(execution)
	}
}

func (r *recorder) append(execution Execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, execution)
	if len(r.entries) > maximumExecutions {
		excess := len(r.entries) - maximumExecutions/2
		r.entries = append([]Execution(nil), r.entries[excess:]...)
		r.forgotten += excess
	}
}

func (r *recorder) history() ExecutionHistory {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return ExecutionHistory{
		Server:     r.server,
		Forgotten:  r.forgotten,
		Executions: append([]Execution{}, r.entries...),
	}
}

func (r *recorder) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, r.history())
}
