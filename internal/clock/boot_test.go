package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// During a suspension the boot-time clock advances and the monotonic clock does not. A gap below
// minSuspension is not counted; a suspension while the clocks cannot be read is counted later.
func TestSuspendedTimeAccumulates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, offset, readable := time.Now(), 3*time.Hour, true
		s := suspensionCounter{read: func() (monotonic, boot time.Duration, ok bool) {
			return time.Since(began), time.Since(began) + offset, readable
		}}
		want := func(what string, want time.Duration) {
			t.Helper()
			time.Sleep(2 * readInterval)
			if got := s.total(); got != want {
				t.Errorf("%s: suspended for %s, want %s", what, got, want)
			}
		}
		want("at first", 0)
		offset += 10 * time.Second
		want("after a suspension", 10*time.Second)
		offset += minSuspension / 2
		want("readings that lie apart", 10*time.Second)
		offset -= minSuspension / 2
		readable = false
		offset += 5 * time.Second
		want("clocks that can't be read", 10*time.Second)
		readable = true
		want("and can be again", 15*time.Second)
	})
}

func TestElapsedIncludesMonotonicTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := NewEpoch()
		time.Sleep(3 * time.Second)
		if got := epoch.Elapsed(); got != 3*time.Second {
			t.Errorf("elapsed time is %s, want 3s", got)
		}
	})
}
