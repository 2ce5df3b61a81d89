package routing

import (
	"testing"
	"time"
)

// Retries by callers must be accepted while servers are overloaded briefly and rejected like other
// requests during a sustained overload, even one with pauses.
func TestBriefOverload(t *testing.T) {
	const step = 100 * time.Millisecond
	var p overloadStats
	if !p.isBrief(0) {
		t.Error("without any rejection, the overload is not brief")
	}
	now := time.Duration(0)
	for ; now < briefOverload; now += step {
		p.record(now, 0, true)
		if !p.isBrief(now) {
			t.Fatalf("overload is not brief after %s", now)
		}
	}
	for ; now < 3*overloadGap; now += step {
		if now%(2*time.Second) < time.Second { // the overload pauses now and then
			p.record(now, 0, true)
		}
		if p.isBrief(now) {
			t.Fatalf("overload is brief after %s", now)
		}
	}
	now += overloadGap + step
	p.record(now, 0, true)
	if !p.isBrief(now) {
		t.Error("an earlier overload still counts after the gap")
	}
}
