package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest time without the steady clock that is taken for a
	// suspension; the two clocks are read one after the other, on a processor that is shared.
	minSuspension = 50 * time.Millisecond
	// readInterval is the time on the steady clock for which a reading counts: a reading takes
	// some 0.3 µs, and a node asks for the time with each event.
	readInterval = time.Millisecond
	// maxReadAttempts bounds the readings that are interrupted.
	maxReadAttempts = 3
)

// Epoch is a moment from which time is counted on while the machine is suspended. The steady
// clock stands still then, so that what it alone dates seems younger than it is.
type Epoch struct {
	start            time.Time
	suspendedAtStart time.Duration
}

// NewEpoch returns the present as an epoch.
func NewEpoch() Epoch { return Epoch{start: time.Now(), suspendedAtStart: SuspendedTime()} }

// Elapsed is the time since the epoch.
func (e Epoch) Elapsed() time.Duration {
	return time.Since(e.start) + SuspendedTime() - e.suspendedAtStart
}

var machineSuspensions = suspensionCounter{read: readClocks}

// SuspendedTime is the time for which the machine has been suspended since this was first asked
// for. It never decreases.
func SuspendedTime() time.Duration { return machineSuspensions.total() }

// suspensionCounter adds up what the steady clock has missed.
type suspensionCounter struct {
	// read returns both clocks; ok is false when they could not be read together.
	read func() (monotonic, boot time.Duration, ok bool)

	mutex sync.Mutex
	// mutex guards the fields below.
	initialized bool
	readAt      time.Duration // on the steady clock
	baseOffset  time.Duration // by which the other clock is ahead
	suspended   time.Duration
}

func (s *suspensionCounter) total() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Since(processStart)
	if s.initialized && now-s.readAt < readInterval {
		return s.suspended
	}
	s.readAt = now
	monotonic, boot, ok := s.read()
	if !ok {
		return s.suspended
	}
	switch offset := boot - monotonic; {
	case !s.initialized:
		s.initialized, s.baseOffset = true, offset
	case offset-s.baseOffset >= minSuspension:
		s.suspended += offset - s.baseOffset
		s.baseOffset = offset
	}
	return s.suspended
}

// processStart is any moment before all others.
var processStart = time.Now()

// readClocks reads the clock that counts on in between two readings of the one that does not.
func readClocks() (monotonic, boot time.Duration, ok bool) {
	for range maxReadAttempts {
		before, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, 0, false
		}
		boot, err = readClock(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, 0, false
		}
		after, err := readClock(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, 0, false
		}
		if after-before < minSuspension/2 {
			return before, boot, true
		}
	}
	return 0, 0, false
}

func readClock(id int32) (time.Duration, error) {
	var read unix.Timespec
	if err := unix.ClockGettime(id, &read); err != nil {
		return 0, err
	}
	return time.Duration(read.Nano()), nil
}
