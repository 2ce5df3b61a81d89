package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the smallest gap between the clocks that counts as a suspension. The
	// clocks are read one after the other and the thread may be preempted in between, so
	// smaller gaps can be reading errors.
	minSuspension = 50 * time.Millisecond
	// readInterval is how long a reading is reused, in monotonic time. A reading takes about
	// 0.3 µs, and a node asks for the time on every event.
	readInterval = time.Millisecond
	// maxReadAttempts limits the attempts to read both clocks without being preempted.
	maxReadAttempts = 3
)

// Epoch is a starting point for measuring elapsed time, including time during which the machine
// was suspended. The monotonic clock stops during a suspension, so ages that are computed from it
// alone would be too low.
type Epoch struct {
	start            time.Time
	suspendedAtStart time.Duration
}

// NewEpoch returns an Epoch that starts now.
func NewEpoch() Epoch { return Epoch{start: time.Now(), suspendedAtStart: SuspendedTime()} }

// Elapsed returns the time since the epoch, including suspensions.
func (e Epoch) Elapsed() time.Duration {
	return time.Since(e.start) + SuspendedTime() - e.suspendedAtStart
}

var machineSuspensions = suspensionCounter{read: readClocks}

// SuspendedTime returns the total time for which the machine has been suspended since the first
// call. It never decreases.
func SuspendedTime() time.Duration { return machineSuspensions.total() }

// suspensionCounter sums up the time that the monotonic clock does not count.
type suspensionCounter struct {
	// read returns the monotonic and the boot-time clock. ok is false if they could not be
	// read at nearly the same time.
	read func() (monotonic, boot time.Duration, ok bool)

	mutex sync.Mutex
	// mutex guards the fields below.
	initialized bool
	readAt      time.Duration // monotonic time of the last reading, since processStart
	baseOffset  time.Duration // boot time minus monotonic time, at the first reading or last suspension
	suspended   time.Duration
}

// total returns the accumulated suspended time, and reads the clocks first if the last reading
// is older than readInterval. If the clocks cannot be read, it returns the last total; the next
// successful reading includes what was missed.
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

// processStart is an arbitrary reference time, earlier than any reading.
var processStart = time.Now()

// readClocks reads the boot-time clock, which keeps running during a suspension, between two
// readings of the monotonic clock, which does not. It retries if the two readings of the monotonic
// clock are too far apart.
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
