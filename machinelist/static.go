package machinelist

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Static is an in-memory machine list that its owner changes. Its methods may
// be called from several goroutines.
type Static struct {
	// mutex guards the fields below. Invariant: version grows and changed is
	// closed and replaced with each change.
	mutex    sync.Mutex
	version  uint64
	machines []Machine
	down     bool
	changed  chan struct{}
}

var _ Conn = (*Static)(nil)

// NewStatic returns a list of the given machines at version 1.
func NewStatic(machines ...Machine) *Static {
	return &Static{version: 1, machines: slices.Clone(machines), changed: make(chan struct{})}
}

// Set replaces the machines.
func (s *Static) Set(machines ...Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = slices.Clone(machines)
	s.publishChange()
}

// Upsert adds a machine or replaces the one with its ID.
func (s *Static) Upsert(machine Machine) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines = Upsert(s.machines, machine)
	s.publishChange()
}

// Remove takes a machine out; it reports whether the list had it.
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

// SetDown makes reads fail with ErrUnavailable until it is called with false.
func (s *Static) SetDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get reads the list.
func (s *Static) Get(context.Context) (List, error) {
	list, _, err := s.read()
	return list, err
}

// Watch waits until the list's version is greater than after, at most wait.
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
		return List{}, nil, fmt.Errorf("%w: switched down", ErrUnavailable)
	}
	return List{Version: s.version, Machines: slices.Clone(s.machines)}, s.changed, nil
}

// publishChange makes a change known; mutex is held.
func (s *Static) publishChange() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}
