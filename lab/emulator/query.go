package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/internal/strictjson"
)

const maximumQueryBytes = 4 << 20

// serveQuery receives one sub-request.
func (s *Server) serveQuery(writer http.ResponseWriter, request *http.Request) {
	query := &backend.Request{}
	err := strictjson.Decode(request.Body, strictjson.Limits{Bytes: maximumQueryBytes}, query)
	if err == nil {
		err = validateQuery(query)
	}
	if err != nil {
		s.respond(writer, &backend.Reply{AttemptID: query.AttemptID, Status: backend.StatusInvalid, Message: err.Error()})
		return
	}
	visit := &visit{server: s, query: query, entry: s.recorder.begin(newExecution(s.options.ID, query))}
	reply, outcome := visit.run(request.Context())
	s.recorder.end(visit.entry, outcome)
	visit.deliver(request.Context(), writer, reply)
}

func validateQuery(query *backend.Request) error {
	switch {
	case query.AttemptID == "":
		return invalid("attempt_id", "is missing")
	case query.RequestID == "":
		return invalid("request_id", "is missing")
	case query.Service == "":
		return invalid("service", "is missing")
	case query.Class == "":
		return invalid("class", "is missing")
	case query.Snapshot == 0:
		return invalid("snapshot", "is missing")
	case query.Range.Validate() != nil:
		return invalid("range", "is empty or missing")
	case query.RemainingMilliseconds <= 0:
		return invalid("remaining_ms", "must be positive")
	}
	return nil
}

func newExecution(server string, query *backend.Request) Execution {
	return Execution{
		Server:     server,
		AttemptID:  query.AttemptID,
		RequestID:  query.RequestID,
		Service:    query.Service,
		Class:      query.Class,
		Snapshot:   query.Snapshot,
		Range:      query.Range,
		Repeatable: query.Repeatable,

		ArrivedUnixNanoseconds: time.Now().UnixNano(),
	}
}

// visit carries one sub-request through the server.
type visit struct {
	server *Server
	query  *backend.Request
	faults ServerFaults
	entry  *Execution
}

// run decides and executes. It returns the reply, nil when the connection is
// to close without one, and the outcome for the history.
func (v *visit) run(caller context.Context) (*backend.Reply, string) {
	caller, err := v.server.thawedContext(caller)
	if err != nil {
		return nil, "ended while frozen"
	}
	ctx, cancel := context.WithTimeout(caller, durationOf(v.query.RemainingMilliseconds))
	defer cancel()
	v.faults = v.server.Faults()
	if v.server.chance(v.faults.CloseBeforeShare) {
		return nil, "closed before execution"
	}
	if refusal := v.refuse(); refusal != nil {
		return refusal, string(refusal.Status)
	}
	err = v.server.slots.acquire(ctx)
	if errors.Is(err, errShed) {
		return v.shed(), string(backend.StatusShed)
	}
	if err != nil {
		return v.shed(), "ended in the queue"
	}
	defer v.server.slots.release()
	return v.execute(ctx)
}

// refuse returns the reply to a request that the server won't execute.
func (v *visit) refuse() *backend.Reply {
	switch {
	case v.faults.Draining:
		return v.reply(backend.StatusDraining)
	case v.server.options.Service != "" && v.query.Service != v.server.options.Service:
		return v.reply(backend.StatusNotOwner)
	case !v.server.holds(v.faults, v.query.Range):
		return v.reply(backend.StatusNotOwner)
	case !slices.Contains(v.server.snapshots(v.faults), v.query.Snapshot):
		return v.reply(backend.StatusUnknownSnapshot)
	case v.server.chance(v.faults.ShedShare):
		return v.shed()
	}
	return nil
}

// execute holds a slot for the service time.
func (v *visit) execute(ctx context.Context) (*backend.Reply, string) {
	v.server.recorder.update(v.entry, func(entry *Execution) { entry.Executed = true })
	if err := clock.Sleep(ctx, v.server.serviceTime(v.faults)); err != nil {
		return nil, "ended during execution"
	}
	if _, err := v.server.thawedContext(ctx); err != nil {
		return nil, "ended while frozen during execution"
	}
	v.server.recorder.update(v.entry, func(entry *Execution) { entry.Completed = true })
	if v.server.chance(v.faults.ErrorShare) {
		return v.reply(backend.StatusError), string(backend.StatusError)
	}
	if v.server.chance(v.faults.CloseAfterShare) {
		return nil, "closed after execution"
	}
	return v.done(), string(backend.StatusDone)
}

func (v *visit) done() *backend.Reply {
	snapshot := v.query.Snapshot
	if v.server.chance(v.faults.WrongSnapshotShare) {
		snapshot++
	}
	reply := v.reply(backend.StatusDone)
	keys := v.query.Range
	reply.Snapshot = &snapshot
	reply.Range = &keys
	reply.Body = encodeResult(Result{
		RequestID: v.query.RequestID,
		Server:    v.server.options.ID,
		Items:     Items(keys, snapshot, v.server.options.ItemStride),
	})
	return reply
}

func (v *visit) shed() *backend.Reply {
	reply := v.reply(backend.StatusShed)
	reply.RetryAfterMilliseconds = float64(retryAfter) / float64(time.Millisecond)
	return reply
}

func (v *visit) reply(status backend.Status) *backend.Reply {
	return &backend.Reply{
		AttemptID: v.query.AttemptID,
		Status:    status,
		Snapshots: v.server.snapshots(v.faults),
		Load:      v.server.reportedLoad(v.faults),
		Draining:  v.faults.Draining,
	}
}

// deliver sends the reply under the faults that act on it.
func (v *visit) deliver(ctx context.Context, writer http.ResponseWriter, reply *backend.Reply) {
	if reply == nil {
		panic(http.ErrAbortHandler)
	}
	if err := clock.Sleep(ctx, durationOf(v.faults.ReplyDelayMilliseconds)); err != nil {
		panic(http.ErrAbortHandler)
	}
	other := v.server.exchangeLast(reply)
	if other != nil && v.server.chance(v.faults.CrossShare) {
		reply = other
	}
	if v.server.chance(v.faults.TruncateShare) {
		truncate(writer, reply)
	}
	v.server.respond(writer, reply)
}

// exchangeLast remembers the newest reply and returns the one before it.
func (s *Server) exchangeLast(reply *backend.Reply) *backend.Reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := s.last
	s.last = reply
	return last
}

func (s *Server) respond(writer http.ResponseWriter, reply *backend.Reply) {
	writeJSON(writer, reply.Status.HTTPCode(), reply)
}

// truncate sends half of the reply and cuts the connection.
func truncate(writer http.ResponseWriter, reply *backend.Reply) {
	data, err := json.Marshal(reply)
	if err == nil {
		writer.WriteHeader(reply.Status.HTTPCode())
		_, _ = writer.Write(data[:len(data)/2])
		_ = http.NewResponseController(writer).Flush()
	}
	panic(http.ErrAbortHandler)
}
