package emulator

import (
	"context"
	"errors"
	"sync"
)

// errQueueFull is returned by slots.acquire if the queue is full.
var errQueueFull = errors.New("emulator: queue is full")

// slots is a semaphore with a bounded FIFO queue: it limits the requests that run
// concurrently and those that wait for a slot.
type slots struct {
	// mutex guards the fields below. Invariant: requests wait only while all
	// slots are in use.
	mutex      sync.Mutex
	size       int
	queueLimit int
	running    int
	waiting    []chan struct{}
}

// acquire waits for a slot. It returns errQueueFull if the queue is full, or the
// context's error; after nil the caller must call release.
func (s *slots) acquire(ctx context.Context) error {
	granted, err := s.enqueue()
	if err != nil || granted == nil {
		return err
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	if !s.leaveQueue(granted) {
		s.release()
	}
	return ctx.Err()
}

// enqueue acquires a free slot and returns nil, or joins the queue and returns a
// channel that is closed when a slot is granted.
func (s *slots) enqueue() (chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running < s.size {
		s.running++
		return nil, nil
	}
	if len(s.waiting) >= s.queueLimit {
		return nil, errQueueFull
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	return granted, nil
}

// leaveQueue removes a waiter from the queue. It returns false if the waiter has
// already been granted a slot.
func (s *slots) leaveQueue(granted chan struct{}) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for index, waiting := range s.waiting {
		if waiting == granted {
			s.waiting = append(s.waiting[:index], s.waiting[index+1:]...)
			return true
		}
	}
	return false
}

// release frees a slot or grants it to the first waiter in the queue.
func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

func (s *slots) counts() (running, queued int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running, len(s.waiting)
}
