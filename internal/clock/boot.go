package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leastSuspension is the shortest time without the steady clock that is taken for a
	// suspension; the two clocks are read one after the other, on a processor that is shared.
	leastSuspension = 50 * time.Millisecond
	// readPause is the time on the steady clock for which a reading counts: a reading takes
	// some 0.3 µs, and a node asks for the time with each event.
	readPause = time.Millisecond
	// readTries bounds the readings that are interrupted.
	readTries = 3
)

// Epoch is a moment from which time is counted on while the machine is suspended. The steady
// clock stands still then, so that what it alone dates seems younger than it is.
type Epoch struct {
	at        time.Time
	suspended time.Duration
}

// NewEpoch returns the present as an epoch.
func NewEpoch() Epoch { return Epoch{at: time.Now(), suspended: SuspendedTime()} }

// Elapsed is the time since the epoch.
func (e Epoch) Elapsed() time.Duration { return time.Since(e.at) + SuspendedTime() - e.suspended }

var machine = suspensions{read: readClocks}

// SuspendedTime is the time for which the machine has been suspended since this was first asked
// for. It never decreases.
func SuspendedTime() time.Duration { return machine.total() }

// suspensions adds up what the steady clock has missed.
type suspensions struct {
	// read returns both clocks; ok is false when they could not be read together.
	read func() (steady, boot time.Duration, ok bool)

	mutex sync.Mutex
	// mutex guards the fields below.
	begun  bool
	readAt time.Duration // on the steady clock
	least  time.Duration // by which the other clock is ahead
	sum    time.Duration
}

func (s *suspensions) total() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Since(processStart)
	if s.begun && now-s.readAt < readPause {
		return s.sum
	}
	s.readAt = now
	steady, boot, ok := s.read()
	if !ok {
		return s.sum
	}
	switch ahead := boot - steady; {
	case !s.begun:
		s.begun, s.least = true, ahead
	case ahead-s.least >= leastSuspension:
		s.sum += ahead - s.least
		s.least = ahead
	}
	return s.sum
}

// processStart is any moment before all others.
var processStart = time.Now()

// readClocks reads the clock that counts on in between two readings of the one that does not.
func readClocks() (steady, boot time.Duration, ok bool) {
	for range readTries {
		before, err := clockOf(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, 0, false
		}
		boot, err = clockOf(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, 0, false
		}
		after, err := clockOf(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, 0, false
		}
		if after-before < leastSuspension/2 {
			return before, boot, true
		}
	}
	return 0, 0, false
}

func clockOf(id int32) (time.Duration, error) {
	var read unix.Timespec
	if err := unix.ClockGettime(id, &read); err != nil {
		return 0, err
	}
	return time.Duration(read.Nano()), nil
}
