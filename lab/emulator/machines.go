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

// MachineListFaults switches faults of a machine list. The zero value has none.
type MachineListFaults struct {
	// Down makes reads fail with 503.
	Down bool `json:"down"`
	// LagMilliseconds makes what reads show that old.
	LagMilliseconds float64 `json:"lag_ms" validate:"min=0,max=600000"`
	// KeepRemoved goes on naming machines as live after they were removed.
	KeepRemoved bool `json:"keep_gone"`
	// Empty answers with no machines.
	Empty bool `json:"empty"`
}

// MachineListServer is the machine list's stand-in. PUT and DELETE of
// /v1/machines/{id} change it.
type MachineListServer struct {
	endpoint
	validate *validator.Validate

	// mutex guards the fields below. Invariant: versions are in order, each
	// newer than the one before; the last one shows machines, but for those that
	// the KeepRemoved fault keeps; changed is closed and replaced with each change
	// of versions or faults.
	mutex    sync.Mutex
	machines []machinelist.Machine
	versions []listVersion
	faults   MachineListFaults
	changed  chan struct{}
}

// listVersion is the list as it was from a time on.
type listVersion struct {
	since time.Time
	list  machinelist.List
}

// maximumVersions bounds the old versions kept for lagging reads.
const maximumVersions = 1024

// NewMachineListServer returns a list of the given machines.
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

// RaiseInitialVersion raises the version of the first list, so that watchers of an earlier
// process see this one's list as newer.
func (s *MachineListServer) RaiseInitialVersion(version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if first := &s.versions[0]; len(s.versions) == 1 {
		first.list.Version = max(first.list.Version, version)
	}
	s.notify()
}

// Faults returns the fault switches.
func (s *MachineListServer) Faults() MachineListFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the fault switches.
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

// Upsert adds a machine or replaces the one with its ID.
func (s *MachineListServer) Upsert(machine machinelist.Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = machinelist.Upsert(s.machines, machine)
	s.appendVersion(machinelist.Upsert(s.latest().Machines, machine))
}

// Remove takes a machine out; it reports whether the list had it. With the
// KeepRemoved fault the list goes on naming it until the fault is switched off.
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

// appendVersion appends a version; mutex is held.
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

// visibleList is what a read shows now: the list, the channel that tells of a
// change, and the time until a lagging change shows; zero when none waits.
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

// watch waits until a version greater than after shows, at most wait.
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

// awaitChange returns nil when it is time to look again.
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
