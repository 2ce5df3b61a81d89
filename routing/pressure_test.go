package routing

import (
	"testing"
	"time"
)

// Callers that have tried before are taken while servers are crowded for a moment,
// and refused like others while there is more to do than servers can, also when
// that pauses for a while.
func TestBriefCrowding(t *testing.T) {
	const step = 100 * time.Millisecond
	var p pressure
	if !p.brief(0) {
		t.Error("servers that were never crowded are crowded for long")
	}
	now := time.Duration(0)
	for ; now < briefCrowding; now += step {
		p.count(now, 0, true)
		if !p.brief(now) {
			t.Fatalf("crowded for long after %s", now)
		}
	}
	for ; now < 3*crowdingPause; now += step {
		if now%(2*time.Second) < time.Second { // it pauses now and then
			p.count(now, 0, true)
		}
		if p.brief(now) {
			t.Fatalf("crowded for a moment only after %s", now)
		}
	}
	now += crowdingPause + step
	p.count(now, 0, true)
	if !p.brief(now) {
		t.Error("an earlier crowding counts after a pause")
	}
}
