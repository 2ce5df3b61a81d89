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
	var p overloadStats
	if !p.isBrief(0) {
		t.Error("servers that were never crowded are crowded for long")
	}
	now := time.Duration(0)
	for ; now < briefOverload; now += step {
		p.record(now, 0, true)
		if !p.isBrief(now) {
			t.Fatalf("crowded for long after %s", now)
		}
	}
	for ; now < 3*overloadGap; now += step {
		if now%(2*time.Second) < time.Second { // it pauses now and then
			p.record(now, 0, true)
		}
		if p.isBrief(now) {
			t.Fatalf("crowded for a moment only after %s", now)
		}
	}
	now += overloadGap + step
	p.record(now, 0, true)
	if !p.isBrief(now) {
		t.Error("an earlier crowding counts after a pause")
	}
}
