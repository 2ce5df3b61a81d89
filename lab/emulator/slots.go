package emulator

import (
	"context"
	"errors"
	"sync"
)

// errQueueFull: the server's queue is full.
var errQueueFull = errors.New("emulator: queue is full")

// slots runs a bounded number of requests at once and queues a bounded number
// in arrival order.
type slots struct {
	// mutex guards the fields below. Invariant: a request waits only while all
	// slots are taken.
	mutex      sync.Mutex
	size       int
	queueLimit int
	running    int
	waiting    []chan struct{}
}

// acquire waits for a slot; the error is errQueueFull or the context's.
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

// enqueue takes a free slot, for which it returns nil, or a place in the queue.
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

// leaveQueue gives a place in the queue up; it is false when its slot was granted.
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

// release frees a slot or hands it to the first in the queue.
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
