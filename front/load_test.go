package front

import (
	"testing"
	"time"
)

func TestLoadMeter(t *testing.T) {
	now := time.Now()
	m := loadMeter{capacity: 0.5}
	attempts := uint64(0)
	// afterSecond advances the clock by one second, in which attempts are sent at the given rate.
	afterSecond := func(rate uint64) bool {
		now = now.Add(time.Second)
		attempts += rate
		return m.update(now, attempts)
	}
	busyRate := uint64(busyThreshold * attemptsPerCore * m.capacity)
	calmRate := uint64(calmThreshold*attemptsPerCore*m.capacity) - 1
	afterSecond(busyRate)
	if afterSecond(busyRate - 1) {
		t.Error("busy below the threshold")
	}
	if !afterSecond(busyRate) {
		t.Error("not busy at the threshold")
	}
	for second := range int(minBusyTime / time.Second) {
		if busy := afterSecond(calmRate); busy != (time.Duration(second+1)*time.Second < minBusyTime) {
			t.Errorf("busy = %t after %d calm seconds", busy, second+1)
		}
	}
	afterSecond(busyRate)
	if m.update(now.Add(time.Millisecond), attempts+busyRate) != true {
		t.Error("an update within minRateWindow changed the state")
	}
	unknown := loadMeter{}
	unknown.update(now, 0)
	if unknown.update(now.Add(time.Second), 1_000_000) {
		t.Error("busy with unknown capacity")
	}
}
