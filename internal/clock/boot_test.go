package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// The machine is suspended for 10 s: the steady clock stands still, the other one goes on.
func TestSuspensionsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, ahead, sound := time.Now(), 3*time.Hour, true
		s := suspensions{read: func() (steady, boot time.Duration, ok bool) {
			return time.Since(began), time.Since(began) + ahead, sound
		}}
		want := func(what string, want time.Duration) {
			t.Helper()
			time.Sleep(2 * readPause)
			if got := s.total(); got != want {
				t.Errorf("%s: suspended for %s, want %s", what, got, want)
			}
		}
		want("at first", 0)
		ahead += 10 * time.Second
		want("after a suspension", 10*time.Second)
		ahead += leastSuspension / 2
		want("readings that lie apart", 10*time.Second)
		ahead -= leastSuspension / 2
		sound = false
		ahead += 5 * time.Second
		want("clocks that can't be read", 10*time.Second)
		sound = true
		want("and can be again", 15*time.Second)
	})
}

func TestEpochsCountTheSteadyClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		epoch := NewEpoch()
		time.Sleep(3 * time.Second)
		if got := epoch.Elapsed(); got != 3*time.Second {
			t.Errorf("%s elapsed", got)
		}
	})
}
