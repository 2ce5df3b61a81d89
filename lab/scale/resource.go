package scale

import (
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// calibrationRounds is the number of empty measurements that tell the cost of one.
const calibrationRounds = 2000

// Stopwatch sums the processor time of the calling thread around steps. It must
// be used from one goroutine, locked to its thread. Work of the garbage
// collector on other threads isn't counted.
type Stopwatch struct {
	overhead time.Duration
	total    time.Duration
	count    int
}

// NewStopwatch locks the calling goroutine to its thread and measures what an
// empty measurement costs, to be taken off each later one.
func NewStopwatch() (*Stopwatch, error) {
	runtime.LockOSThread()
	if _, err := threadTime(); err != nil {
		runtime.UnlockOSThread()
		return nil, err
	}
	watch := &Stopwatch{}
	for range calibrationRounds {
		watch.Time(func() {})
	}
	return &Stopwatch{overhead: watch.total / calibrationRounds}, nil
}

// Close lets the goroutine leave its thread.
func (s *Stopwatch) Close() { runtime.UnlockOSThread() }

// Time runs step and adds its processor time.
func (s *Stopwatch) Time(step func()) {
	begin, _ := threadTime()
	step()
	end, _ := threadTime()
	s.total += max(end-begin-s.overhead, 0)
	s.count++
}

// Total is the processor time of all steps.
func (s *Stopwatch) Total() time.Duration { return s.total }

// Reset forgets all steps.
func (s *Stopwatch) Reset() { s.total, s.count = 0, 0 }

func threadTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0, fmt.Errorf("scale: thread time: %w", err)
	}
	return time.Duration(now.Nano()), nil
}

// liveHeap collects garbage and returns the bytes that are still in use.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}

// heapOf returns the bytes that stay in use after build, together with what was built.
func heapOf[T any](build func() T) (T, float64) {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return built, float64(int64(after) - int64(before))
}
