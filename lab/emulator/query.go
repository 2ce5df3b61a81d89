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

// serveQuery handles one sub-request: it decodes and validates the request,
// executes it and sends the reply. Only valid requests enter the execution
// history.
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
	received := &attempt{server: s, query: query, entry: s.recorder.begin(newExecution(s.options.ID, query))}
	reply, outcome := received.handle(request.Context())
	s.recorder.end(received.entry, outcome)
	received.sendReply(request.Context(), writer, reply)
}

func validateQuery(query *backend.Request) error {
	switch {
	case query.AttemptID == "":
		return invalidField("attempt_id", "is missing")
	case query.RequestID == "":
		return invalidField("request_id", "is missing")
	case query.Service == "":
		return invalidField("service", "is missing")
	case query.Class == "":
		return invalidField("class", "is missing")
	case query.Snapshot == 0:
		return invalidField("snapshot", "is missing")
	case query.Range.Validate() != nil:
		return invalidField("range", "is empty or missing")
	case query.RemainingMilliseconds <= 0:
		return invalidField("remaining_ms", "must be positive")
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

// attempt is the state of one sub-request while the server handles it.
type attempt struct {
	server *Server
	query  *backend.Request
	faults ServerFaults
	entry  *Execution
}

// handle refuses, queues or executes the request. It returns the reply, or nil
// if the connection is to be closed without one, and the outcome for the
// execution history.
func (a *attempt) handle(caller context.Context) (*backend.Reply, string) {
	caller, err := a.server.waitUntilThawed(caller)
	if err != nil {
		return nil, "ended while frozen"
	}
	ctx, cancel := context.WithTimeout(caller, durationOf(a.query.RemainingMilliseconds))
	defer cancel()
	a.faults = a.server.Faults()
	if a.server.drawFault(a.faults.CloseBeforeShare) {
		return nil, "closed before execution"
	}
	if refusal := a.checkRefusal(); refusal != nil {
		return refusal, string(refusal.Status)
	}
	err = a.server.slots.acquire(ctx)
	if errors.Is(err, errQueueFull) {
		return a.shedReply(), string(backend.StatusShed)
	}
	if err != nil {
		return a.shedReply(), "ended in the queue"
	}
	defer a.server.slots.release()
	return a.execute(ctx)
}

// checkRefusal returns the reply to a request that the server refuses to execute,
// or nil if it accepts the request.
func (a *attempt) checkRefusal() *backend.Reply {
	switch {
	case a.faults.Draining:
		return a.newReply(backend.StatusDraining)
	case a.server.options.Service != "" && a.query.Service != a.server.options.Service:
		return a.newReply(backend.StatusNotOwner)
	case !a.server.holdsRange(a.faults, a.query.Range):
		return a.newReply(backend.StatusNotOwner)
	case !slices.Contains(a.server.snapshots(a.faults), a.query.Snapshot):
		return a.newReply(backend.StatusUnknownSnapshot)
	case a.server.drawFault(a.faults.ShedShare):
		return a.shedReply()
	}
	return nil
}

// execute runs the request for its service time; the caller holds a slot. It
// returns the reply, or nil if the connection is to be closed without one, and
// the outcome for the execution history.
func (a *attempt) execute(ctx context.Context) (*backend.Reply, string) {
	a.server.recorder.update(a.entry, func(entry *Execution) { entry.Executed = true })
	if err := clock.Sleep(ctx, a.server.serviceTime(a.faults)); err != nil {
		return nil, "ended during execution"
	}
	if _, err := a.server.waitUntilThawed(ctx); err != nil {
		return nil, "ended while frozen during execution"
	}
	a.server.recorder.update(a.entry, func(entry *Execution) { entry.Completed = true })
	if a.server.drawFault(a.faults.ErrorShare) {
		return a.newReply(backend.StatusError), string(backend.StatusError)
	}
	if a.server.drawFault(a.faults.CloseAfterShare) {
		return nil, "closed after execution"
	}
	return a.doneReply(), string(backend.StatusDone)
}

func (a *attempt) doneReply() *backend.Reply {
	snapshot := a.query.Snapshot
	if a.server.drawFault(a.faults.WrongSnapshotShare) {
		snapshot++
	}
	reply := a.newReply(backend.StatusDone)
	keys := a.query.Range
	reply.Snapshot = &snapshot
	reply.Range = &keys
	reply.Body = encodeResult(Result{
		RequestID: a.query.RequestID,
		Server:    a.server.options.ID,
		Items:     Items(keys, snapshot, a.server.options.ItemStride),
	})
	return reply
}

func (a *attempt) shedReply() *backend.Reply {
	reply := a.newReply(backend.StatusShed)
	reply.RetryAfterMilliseconds = float64(retryAfter) / float64(time.Millisecond)
	return reply
}

func (a *attempt) newReply(status backend.Status) *backend.Reply {
	return &backend.Reply{
		AttemptID: a.query.AttemptID,
		Status:    status,
		Snapshots: a.server.snapshots(a.faults),
		Load:      a.server.reportedLoad(a.faults),
		Draining:  a.faults.Draining,
	}
}

// sendReply sends the reply, subject to the faults that delay, swap or truncate
// replies. A nil reply closes the connection.
func (a *attempt) sendReply(ctx context.Context, writer http.ResponseWriter, reply *backend.Reply) {
	if reply == nil {
		panic(http.ErrAbortHandler)
	}
	if err := clock.Sleep(ctx, durationOf(a.faults.ReplyDelayMilliseconds)); err != nil {
		panic(http.ErrAbortHandler)
	}
	other := a.server.swapLastReply(reply)
	if other != nil && a.server.drawFault(a.faults.SwappedReplyShare) {
		reply = other
	}
	if a.server.drawFault(a.faults.TruncateShare) {
		truncate(writer, reply)
	}
	a.server.respond(writer, reply)
}

// swapLastReply stores the reply as the most recent one and returns the previous
// one, nil if there is none.
func (s *Server) swapLastReply(reply *backend.Reply) *backend.Reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	last := s.lastReply
	s.lastReply = reply
	return last
}

func (s *Server) respond(writer http.ResponseWriter, reply *backend.Reply) {
	writeJSON(writer, reply.Status.HTTPCode(), reply)
}

// truncate sends half of the reply and closes the connection.
func truncate(writer http.ResponseWriter, reply *backend.Reply) {
	data, err := json.Marshal(reply)
	if err == nil {
		writer.WriteHeader(reply.Status.HTTPCode())
		_, _ = writer.Write(data[:len(data)/2])
		_ = http.NewResponseController(writer).Flush()
	}
	panic(http.ErrAbortHandler)
}
