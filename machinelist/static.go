package machinelist

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Static is an in-memory machine list that is changed through its methods. It is safe for
// concurrent use.
type Static struct {
	// mutex guards the fields below. Invariant: each change of the machines increments version,
	// and each change of the machines or of down closes and replaces changed.
	mutex    sync.Mutex
	version  uint64
	machines []Machine
	down     bool
	changed  chan struct{}
}

var _ Conn = (*Static)(nil)

// NewStatic returns a list of the given machines with version 1.
func NewStatic(machines ...Machine) *Static {
	return &Static{version: 1, machines: slices.Clone(machines), changed: make(chan struct{})}
}

// Set replaces all machines.
func (s *Static) Set(machines ...Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = slices.Clone(machines)
	s.publishChange()
}

// Upsert adds a machine or replaces the one with the same ID.
func (s *Static) Upsert(machine Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = Upsert(s.machines, machine)
	s.publishChange()
}

// Remove removes a machine and reports whether it was in the list.
func (s *Static) Remove(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept, found := Remove(s.machines, id)
	if found {
		s.machines = kept
		s.publishChange()
	}
	return found
}

// SetDown makes reads fail with ErrUnavailable while down is true.
func (s *Static) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns the current list.
func (s *Static) Get(context.Context) (List, error) {
	list, _, err := s.read()
	return list, err
}

// Watch returns the list as soon as its version is greater than after. It returns ErrUnchanged if
// that does not happen within wait.
func (s *Static) Watch(ctx context.Context, after uint64, wait time.Duration) (List, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		list, changed, err := s.read()
		if err != nil {
			return List{}, err
		}
		if list.Version > after {
			return list, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return List{}, ErrUnchanged
		case <-ctx.Done():
			return List{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Static) read() (List, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return List{}, nil, fmt.Errorf("%w: list is set to be down", ErrUnavailable)
	}
	return List{Version: s.version, Machines: slices.Clone(s.machines)}, s.changed, nil
}

// publishChange increments the version and wakes the watches. The caller holds the mutex.
func (s *Static) publishChange() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}
