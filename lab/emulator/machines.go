package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/banksail/banksail/internal/strictjson"
	"github.com/banksail/banksail/internal/validation"
	"github.com/banksail/banksail/machinelist"
)

const maximumMachineBytes = 4 << 10

// MachineListFaults selects the faults that a MachineListServer injects. The zero
// value injects none.
type MachineListFaults struct {
	// Down makes reads fail with 503.
	Down bool `json:"down"`
	// LagMilliseconds is the age of the list that reads return.
	LagMilliseconds float64 `json:"lag_ms" validate:"min=0,max=600000"`
	// KeepRemoved keeps listing machines as live after their removal.
	KeepRemoved bool `json:"keep_gone"`
	// Empty makes reads return a list without machines.
	Empty bool `json:"empty"`
}

// MachineListServer emulates the machine list. Machines are changed by PUT and
// DELETE of /v1/machines/{id}.
type MachineListServer struct {
	endpoint
	validate *validator.Validate

	// mutex guards the fields below. Invariants: versions are ordered by version
	// number; the last one lists the same machines as machines, plus those that
	// KeepRemoved retains; changed is closed and replaced whenever versions or
	// faults change.
	mutex    sync.Mutex
	machines []machinelist.Machine
	versions []listVersion
	faults   MachineListFaults
	changed  chan struct{}
}

// listVersion is a version of the list and the time from which it applied.
type listVersion struct {
	since time.Time
	list  machinelist.List
}

// maximumVersions bounds the versions kept for delayed reads.
const maximumVersions = 1024

// NewMachineListServer returns a server whose list has version 1 and holds the
// given machines.
func NewMachineListServer(machines ...machinelist.Machine) *MachineListServer {
	if machines == nil {
		machines = []machinelist.Machine{}
	}
	server := &MachineListServer{
		endpoint: newEndpoint(),
		validate: validation.New("json"),
		changed:  make(chan struct{}),
		machines: slices.Clone(machines),
		versions: []listVersion{{list: machinelist.List{Version: 1, Machines: slices.Clone(machines)}}},
	}
	server.mux.HandleFunc("GET "+machinelist.Path, server.getList)
	server.mux.HandleFunc("PUT "+machinelist.Path+"/{id}", server.putMachine)
	server.mux.HandleFunc("DELETE "+machinelist.Path+"/{id}", server.deleteMachine)
	handleFaults(server.mux, server.Faults, server.SetFaults)
	return server
}

// RaiseInitialVersion raises the version of the initial list to at least the
// given one, so that clients which watched a previous process see this list as
// newer. It has no effect once the list has changed.
func (s *MachineListServer) RaiseInitialVersion(version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if first := &s.versions[0]; len(s.versions) == 1 {
		first.list.Version = max(first.list.Version, version)
	}
	s.notify()
}

// Faults returns the fault settings.
func (s *MachineListServer) Faults() MachineListFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the fault settings. Clearing KeepRemoved publishes a version
// without the removed machines.
func (s *MachineListServer) SetFaults(faults MachineListFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keepCleared := s.faults.KeepRemoved && !faults.KeepRemoved
	s.faults = faults
	if keepCleared {
		s.appendVersion(s.machines)
		return
	}
	s.notify()
}

// Upsert adds a machine or replaces the one with the same ID.
func (s *MachineListServer) Upsert(machine machinelist.Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = machinelist.Upsert(s.machines, machine)
	s.appendVersion(machinelist.Upsert(s.latest().Machines, machine))
}

// Remove removes a machine and reports whether it was registered. While
// KeepRemoved is set, the published list still contains the machine.
func (s *MachineListServer) Remove(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept, found := machinelist.Remove(s.machines, id)
	if !found {
		return false
	}
	s.machines = kept
	if !s.faults.KeepRemoved {
		s.appendVersion(kept)
	}
	return true
}

func (s *MachineListServer) latest() machinelist.List {
	return s.versions[len(s.versions)-1].list
}

// appendVersion publishes a list of the given machines under the next version
// number. The caller holds mutex.
func (s *MachineListServer) appendVersion(machines []machinelist.Machine) {
	list := machinelist.List{Version: s.latest().Version + 1, Machines: slices.Clone(machines)}
	s.versions = append(s.versions, listVersion{since: time.Now(), list: list})
	if excess := len(s.versions) - maximumVersions; excess > 0 {
		s.versions = slices.Clone(s.versions[excess:])
	}
	s.notify()
}

func (s *MachineListServer) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// visibleList returns the list that a read returns now, a channel that is closed
// on the next change, and the time until a version delayed by LagMilliseconds
// becomes visible, zero if there is none. It returns machinelist.ErrUnavailable
// while the list is down.
func (s *MachineListServer) visibleList() (machinelist.List, <-chan struct{}, time.Duration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Down {
		return machinelist.List{}, nil, 0, machinelist.ErrUnavailable
	}
	lag := durationOf(s.faults.LagMilliseconds)
	shown := s.versions[0]
	next := time.Duration(0)
	for _, version := range s.versions[1:] {
		if left := lag - time.Since(version.since); left > 0 {
			next = left
			break
		}
		shown = version
	}
	list := shown.list
	if s.faults.Empty {
		list.Machines = []machinelist.Machine{}
	}
	return list, s.changed, next, nil
}

func (s *MachineListServer) getList(writer http.ResponseWriter, request *http.Request) {
	list, err := s.readList(request)
	switch {
	case err == nil:
		writeJSON(writer, http.StatusOK, list)
	case errors.Is(err, machinelist.ErrUnchanged):
		writer.WriteHeader(http.StatusNotModified)
	case errors.Is(err, errInvalidRequest):
		writeProblem(writer, http.StatusBadRequest, err)
	case errors.Is(err, machinelist.ErrUnavailable):
		writeProblem(writer, http.StatusServiceUnavailable, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *MachineListServer) readList(request *http.Request) (machinelist.List, error) {
	query := request.URL.Query()
	if !query.Has(machinelist.AfterParameter) {
		list, _, _, err := s.visibleList()
		return list, err
	}
	after, wait, err := parseWatch(query, machinelist.AfterParameter, machinelist.WaitParameter, machinelist.MaximumWait)
	if err != nil {
		return machinelist.List{}, err
	}
	return s.watch(request.Context(), after, wait)
}

// watch returns the list once a version greater than after is visible. It returns
// machinelist.ErrUnchanged if there is none within the given wait.
func (s *MachineListServer) watch(ctx context.Context, after uint64, wait time.Duration) (machinelist.List, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		list, changed, next, err := s.visibleList()
		if err != nil || list.Version > after {
			return list, err
		}
		if err := awaitChange(ctx, changed, next, timeout.C); err != nil {
			return machinelist.List{}, err
		}
	}
}

// awaitChange returns nil when the visible list may have changed: on a signal of
// changed, or after next if that is positive. It returns
// machinelist.ErrUnchanged on time-out and the context's error on cancellation.
func awaitChange(ctx context.Context, changed <-chan struct{}, next time.Duration, timeout <-chan time.Time) error {
	var lagElapsed <-chan time.Time
	if next > 0 {
		timer := time.NewTimer(next)
		defer timer.Stop()
		lagElapsed = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-lagElapsed:
		return nil
	case <-timeout:
		return machinelist.ErrUnchanged
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *MachineListServer) putMachine(writer http.ResponseWriter, request *http.Request) {
	machine, err := s.decodeMachine(request)
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, err)
		return
	}
	s.Upsert(machine)
	writeJSON(writer, http.StatusOK, machine)
}

func (s *MachineListServer) decodeMachine(request *http.Request) (machinelist.Machine, error) {
	machine := machinelist.Machine{}
	if err := strictjson.Decode(request.Body, strictjson.Limits{Bytes: maximumMachineBytes}, &machine); err != nil {
		return machine, fmt.Errorf("%w: %w", errInvalidRequest, err)
	}
	if err := s.validate.Struct(machine); err != nil {
		return machine, fmt.Errorf("%w: %w", errInvalidRequest, err)
	}
	if machine.ID != request.PathValue("id") {
		return machine, invalidField("id", "is not the one in the path")
	}
	return machine, nil
}

func (s *MachineListServer) deleteMachine(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	if !s.Remove(id) {
		writeProblem(writer, http.StatusNotFound, fmt.Errorf("%w: no machine %q", errInvalidRequest, id))
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
