package front

import (
	"testing"
	"time"
)

func TestLoadMeter(t *testing.T) {
	now := time.Now()
	m := loadMeter{capacity: 0.5}
	sends := uint64(0)
	// at lets a second pass at the given rate of attempts.
	at := func(rate uint64) bool {
		now = now.Add(time.Second)
		sends += rate
		return m.take(now, sends)
	}
	busyRate := uint64(busyShare * sendsPerCore * m.capacity)
	calmRate := uint64(calmShare*sendsPerCore*m.capacity) - 1
	at(busyRate)
	if at(busyRate - 1) {
		t.Error("busy below the rate")
	}
	if !at(busyRate) {
		t.Error("not busy at the rate")
	}
	for second := range int(calmTime / time.Second) {
		if busy := at(calmRate); busy != (time.Duration(second+1)*time.Second < calmTime) {
			t.Errorf("busy is %t after %d calm seconds", busy, second+1)
		}
	}
	at(busyRate)
	if m.take(now.Add(time.Millisecond), sends+busyRate) != true {
		t.Error("a look soon after another changes the rate")
	}
	unknown := loadMeter{}
	unknown.take(now, 0)
	if unknown.take(now.Add(time.Second), 1_000_000) {
		t.Error("a node of unknown capacity is busy")
	}
}
