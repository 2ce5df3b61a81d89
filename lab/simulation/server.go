package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
)

// Capacity and speed of the simulated back ends.
const (
	serverSlots = 4
	serviceMean = policy.Milliseconds(10)
	// straggleBase is the base service time of a slow server. The straggle factor is
	// the delay of the fault divided by it.
	straggleBase = 10 * time.Millisecond
)

// maxRequestBytes limits how much of a sub-request's body is read for
// recording.
const maxRequestBytes = 1 << 20

// server is a host that runs a back end, whose process may be restarted.
type server struct {
	system *System
	index  int
	name   string
	ip     string
	ranges []coverage.Range
	faults faultSettings[emulator.ServerFaults]

	// mutex guards the fields below, and serializes restarts.
	mutex       sync.Mutex
	incarnation int
	stub        *emulator.Server
	http        *http.Server
	// leavingSince is when the current process began to leave; zero if it is
	// not leaving.
	leavingSince time.Duration
	// arrivals holds the received sub-requests by attempt ID, for their
	// execution records.
	arrivals map[string]arrival
}

// arrival holds when a sub-request was sent and when it reached the server.
type arrival struct {
	at     time.Duration
	sentAt time.Duration
}

// startOptions sets up a server's process. With zero connections the limit of
// the run's options applies.
type startOptions struct {
	connections int
	coldStart   time.Duration
}

func newServer(s *System, index int) (*server, error) {
	srv := &server{
		system: s, index: index, name: serverName(index), ip: serverIP(index),
		arrivals: make(map[string]arrival),
	}
	for group, members := range s.layout.searchGroups() {
		for _, member := range members {
			if member == index {
				srv.ranges = []coverage.Range{s.layout.ranges(0)[group]}
			}
		}
	}
	srv.faults.set = srv.setFaults
	return srv, srv.start(startOptions{})
}

func (srv *server) setFaults(faults emulator.ServerFaults) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if srv.stub != nil {
		srv.stub.SetFaults(faults)
	}
}

// service returns the name of the service that the server belongs to.
func (srv *server) service() string {
	if srv.ranges == nil {
		return noticeService
	}
	return searchService
}

// start starts a new process on the server's host. Active faults apply to the
// new process too, except that it is not draining.
func (srv *server) start(opts startOptions) error {
	process, err := srv.system.network.Start(srv.ip)
	if err != nil {
		return err
	}
	listener, err := process.Listen(address(srv.ip, serverPort))
	if err != nil {
		return err
	}
	srv.mutex.Lock()
	srv.incarnation++
	incarnation := srv.incarnationName()
	seed := srv.system.options.Seed*1000 + uint64(srv.index*100+srv.incarnation)
	stub, err := emulator.NewServer(emulator.ServerOptions{
		ID: srv.name, Service: srv.service(), Ranges: srv.ranges, Slots: serverSlots,
		Connections: srv.system.options.Connections, ServiceTime: emulator.Distribution{Kind: emulator.Exponential, Mean: serviceMean},
		ColdStart: opts.coldStart, ColdFactor: coldStartFactor, ItemStride: itemStride,
		Incarnation: incarnation, Seed: seed, OnExecution: srv.recordExecution,
	})
	if err == nil {
		srv.stub = stub
		srv.http = &http.Server{Handler: srv.handler(stub)}
	}
	httpServer := srv.http
	srv.mutex.Unlock()
	if err != nil {
		return err
	}
	srv.endLeaving()
	srv.faults.update(func(f *emulator.ServerFaults) { f.Draining = false })
	srv.updateMachineList(machinelist.StateLive, incarnation)
	limit := srv.system.options.Connections
	if opts.connections > 0 {
		limit = opts.connections
	}
	go func() { _ = httpServer.Serve(network.LimitListener(listener, limit)) }()
	return nil
}

// beginLeaving makes the process drain, marks it as leaving in the machine
// list, or both.
func (srv *server) beginLeaving(draining, listed bool) {
	srv.faults.update(func(f *emulator.ServerFaults) { f.Draining = draining })
	srv.mutex.Lock()
	srv.leavingSince = srv.system.recorder.Now()
	incarnation := srv.incarnationName()
	srv.mutex.Unlock()
	if listed {
		srv.updateMachineList(machinelist.StateLeaving, incarnation)
	}
}

// endLeaving records that a new process replaced one that was leaving, if so.
func (srv *server) endLeaving() {
	srv.mutex.Lock()
	since := srv.leavingSince
	srv.leavingSince = 0
	srv.mutex.Unlock()
	if since == 0 {
		return
	}
	now := srv.system.recorder.Now()
	srv.system.recorder.Update(func(h *history.History) {
		h.Leaving = append(h.Leaving, history.ServerLeaving{Server: srv.name, At: since, Until: now})
	})
}

// isLeaving reports whether the current process is leaving.
func (srv *server) isLeaving() bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.leavingSince != 0
}

// updateMachineList writes the server's entry of the machine list.
func (srv *server) updateMachineList(state machinelist.State, incarnation string) {
	srv.system.platform.updateMachineList(machinelist.Machine{
		ID: srv.name, Address: address(srv.ip, serverPort), Zone: zoneOf(srv.index),
		Role: machinelist.RoleServer, State: state, Incarnation: incarnation,
	})
}

// incarnationName returns the incarnation of the current process. The caller
// must hold the mutex.
func (srv *server) incarnationName() string {
	return fmt.Sprintf("%s-%d", srv.name, srv.incarnation)
}

// kill kills the process.
func (srv *server) kill(mode network.KillMode) {
	srv.system.network.Kill(srv.ip, mode)
	srv.shutDown()
}

func (srv *server) shutDown() {
	srv.mutex.Lock()
	httpServer := srv.http
	srv.mutex.Unlock()
	_ = httpServer.Close()
}

// handler wraps the back end's handler to record received sub-requests, and
// applies the hooks.
func (srv *server) handler(stub http.Handler) http.Handler {
	inner := stub
	if hook := srv.system.options.Hooks.InnerServer; hook != nil {
		inner = hook(srv.name, inner)
	}
	outer := http.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == backend.QueryPath {
			srv.recordArrival(request)
		}
		inner.ServeHTTP(writer, request)
	}))
	if hook := srv.system.options.Hooks.Server; hook != nil {
		outer = hook(srv.name, outer)
	}
	return outer
}

// recordArrival records the arrival of a sub-request and leaves its body
// readable.
func (srv *server) recordArrival(request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxRequestBytes))
	if err != nil {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(data))
	var query backend.Request
	if json.Unmarshal(data, &query) != nil {
		return
	}
	now := srv.system.recorder.Now()
	remaining := policy.Milliseconds(query.RemainingMilliseconds).Duration()
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.arrivals[query.AttemptID] = arrival{at: now, sentAt: srv.system.sentAt(query.RequestID, remaining, now)}
}

// recordExecution records the outcome of a sub-request.
func (srv *server) recordExecution(execution emulator.Execution) {
	srv.mutex.Lock()
	arrived := srv.arrivals[execution.AttemptID]
	srv.mutex.Unlock()
	srv.system.recorder.Update(func(h *history.History) {
		h.Attempts = append(h.Attempts, history.Attempt{
			Server: execution.Server, AttemptID: execution.AttemptID, RequestID: execution.RequestID,
			Service: execution.Service, Snapshot: execution.Snapshot, Range: execution.Range,
			SentAt: arrived.sentAt, ArrivedAt: arrived.at,
			Executed: execution.Executed, Status: execution.Outcome,
		})
	})
}

// sentAt returns when the node decided to send a sub-request: the request's
// deadline minus the time that remained according to the sub-request, but no
// later than its arrival.
func (s *System) sentAt(requestID string, remaining, arrivedAt time.Duration) time.Duration {
	for _, caller := range s.callers {
		if deadline, ok := caller.deadlineOf(requestID); ok {
			return min(deadline-remaining, arrivedAt)
		}
	}
	return arrivedAt
}
