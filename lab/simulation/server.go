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

// Size and speed of simulated back ends.
const (
	serverSlots = 4
	serviceMean = policy.Milliseconds(10)
	// straggleBase is what a straggling server's service time is a multiple of.
	straggleBase = 10 * time.Millisecond
)

// maximumRequestBytes bounds what is read of one sub-request for recording.
const maximumRequestBytes = 1 << 20

// server is one back end on its host. Its process may be restarted.
type server struct {
	system *System
	index  int
	name   string
	ip     string
	ranges []coverage.Range
	faults switches[emulator.ServerFaults]

	// mutex guards the fields below, and serialises restarts.
	mutex       sync.Mutex
	incarnation int
	stub        *emulator.Server
	http        *http.Server
	// leavingSince is when the present process began to leave; zero if it didn't.
	leavingSince time.Duration
	// arrivals holds what arrived and has no execution record yet, by attempt ID.
	arrivals map[string]arrival
}

// arrival is what is known of a sub-request when it reaches a server.
type arrival struct {
	at     time.Duration
	sentAt time.Duration
}

// serverStart is how a server's process is started.
type serverStart struct {
	connections int
	coldStart   time.Duration
}

func newServer(s *System, index int) (*server, error) {
	one := &server{
		system: s, index: index, name: serverName(index), ip: serverIP(index),
		arrivals: make(map[string]arrival),
	}
	for group, members := range s.layout.searchGroups() {
		for _, member := range members {
			if member == index {
				one.ranges = []coverage.Range{s.layout.ranges(0)[group]}
			}
		}
	}
	one.faults.set = one.setFaults
	return one, one.start(serverStart{})
}

func (one *server) setFaults(faults emulator.ServerFaults) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if one.stub != nil {
		one.stub.SetFaults(faults)
	}
}

// service is the one that the server belongs to.
func (one *server) service() string {
	if one.ranges == nil {
		return noticeService
	}
	return searchService
}

// start runs a new process on the server's host. Only the faults that belong to
// the data it holds outlive the process.
func (one *server) start(how serverStart) error {
	process, err := one.system.network.Start(one.ip)
	if err != nil {
		return err
	}
	listener, err := process.Listen(address(one.ip, serverPort))
	if err != nil {
		return err
	}
	one.mutex.Lock()
	one.incarnation++
	incarnation := one.incarnationName()
	seed := one.system.options.Seed*1000 + uint64(one.index*100+one.incarnation)
	stub, err := emulator.NewServer(emulator.ServerOptions{
		ID: one.name, Service: one.service(), Ranges: one.ranges, Slots: serverSlots,
		Connections: one.system.options.Connections, ServiceTime: emulator.Distribution{Kind: emulator.Exponential, Mean: serviceMean},
		ColdStart: how.coldStart, ColdFactor: coldFactor, ItemStride: itemStride,
		Incarnation: incarnation, Seed: seed, OnExecution: one.executed,
	})
	if err == nil {
		one.stub = stub
		one.http = &http.Server{Handler: one.handler(stub)}
	}
	web := one.http
	one.mutex.Unlock()
	if err != nil {
		return err
	}
	one.endLeaving()
	one.faults.change(func(f *emulator.ServerFaults) { f.Draining = false })
	one.list(machinelist.StateLive, incarnation)
	limit := one.system.options.Connections
	if how.connections > 0 {
		limit = how.connections
	}
	go func() { _ = web.Serve(network.LimitListener(listener, limit)) }()
	return nil
}

// beginLeaving makes the process drain, tells the machine list, or both.
func (one *server) beginLeaving(itself, listed bool) {
	one.faults.change(func(f *emulator.ServerFaults) { f.Draining = itself })
	one.mutex.Lock()
	one.leavingSince = one.system.recorder.Now()
	incarnation := one.incarnationName()
	one.mutex.Unlock()
	if listed {
		one.list(machinelist.StateLeaving, incarnation)
	}
}

// endLeaving records that a new process took the place of one that left.
func (one *server) endLeaving() {
	one.mutex.Lock()
	since := one.leavingSince
	one.leavingSince = 0
	one.mutex.Unlock()
	if since == 0 {
		return
	}
	now := one.system.recorder.Now()
	one.system.recorder.Update(func(h *history.History) {
		h.Leaving = append(h.Leaving, history.ServerLeaving{Server: one.name, At: since, Until: now})
	})
}

// leaves reports whether the present process is leaving.
func (one *server) leaves() bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.leavingSince != 0
}

// list tells the machine list of the server.
func (one *server) list(state machinelist.State, incarnation string) {
	one.system.platform.list(machinelist.Machine{
		ID: one.name, Address: address(one.ip, serverPort), Zone: zoneOf(one.index),
		Role: machinelist.RoleServer, State: state, Incarnation: incarnation,
	})
}

// incarnationName names the present process. The lock is held.
func (one *server) incarnationName() string {
	return fmt.Sprintf("%s-%d", one.name, one.incarnation)
}

// kill ends the process.
func (one *server) kill(mode network.KillMode) {
	one.system.network.Kill(one.ip, mode)
	one.end()
}

func (one *server) end() {
	one.mutex.Lock()
	web := one.http
	one.mutex.Unlock()
	_ = web.Close()
}

// handler records what reaches the back end.
func (one *server) handler(stub http.Handler) http.Handler {
	inner := stub
	if hook := one.system.options.Hooks.Recorded; hook != nil {
		inner = hook(one.name, inner)
	}
	outer := http.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == backend.QueryPath {
			one.arrived(request)
		}
		inner.ServeHTTP(writer, request)
	}))
	if hook := one.system.options.Hooks.Server; hook != nil {
		outer = hook(one.name, outer)
	}
	return outer
}

// arrived notes a sub-request's arrival; its body stays readable.
func (one *server) arrived(request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, maximumRequestBytes))
	if err != nil {
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(data))
	var query backend.Request
	if json.Unmarshal(data, &query) != nil {
		return
	}
	now := one.system.recorder.Now()
	remaining := policy.Milliseconds(query.RemainingMilliseconds).Duration()
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.arrivals[query.AttemptID] = arrival{at: now, sentAt: one.system.sentAt(query.RequestID, remaining, now)}
}

// executed records what became of a sub-request.
func (one *server) executed(execution emulator.Execution) {
	one.mutex.Lock()
	arrived := one.arrivals[execution.AttemptID]
	one.mutex.Unlock()
	one.system.recorder.Update(func(h *history.History) {
		h.Attempts = append(h.Attempts, history.Attempt{
			Server: execution.Server, AttemptID: execution.AttemptID, RequestID: execution.RequestID,
			Service: execution.Service, Snapshot: execution.Snapshot, Range: execution.Range,
			SentAt: arrived.sentAt, ArrivedAt: arrived.at,
			Executed: execution.Executed, Status: execution.Outcome,
		})
	})
}

// sentAt works out when the node decided to send: the time that was left then
// is the time from there to the request's deadline.
func (s *System) sentAt(requestID string, remaining, arrivedAt time.Duration) time.Duration {
	for _, caller := range s.callers {
		if deadline, ok := caller.deadlineOf(requestID); ok {
			return min(deadline-remaining, arrivedAt)
		}
	}
	return arrivedAt
}
