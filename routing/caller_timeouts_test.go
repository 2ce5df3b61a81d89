package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Callers that were rejected or lost their connection retry with a shorter timeout. They must be
// distinguished from first attempts, even if a few callers declare arbitrary timeouts.
func TestDetectsRetryingCallers(t *testing.T) {
	const (
		deadline = 3 * time.Second
		warmup   = 100 // the first requests are not checked
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var p callerTimeouts
		for number := range 2000 {
			switch kind := random.IntN(100); {
			case kind < 5: // arbitrary timeouts
				p.observe(time.Duration(random.Int64N(int64(time.Hour))))
			case kind < 10:
				p.observe(time.Hour)
			case kind < 50: // retries after some time
				timeout := deadline - 200*time.Millisecond - time.Duration(random.Int64N(int64(2*time.Second)))
				if number > warmup && !p.isRetry(timeout) {
					t.Fatalf("seed %d: timeout %s is classified as a first attempt, want a retry", seed, timeout)
				}
				p.observe(timeout)
			default: // first attempts; opening a connection takes a while
				timeout := deadline - time.Duration(random.IntN(35))*time.Millisecond
				if number > warmup && p.isRetry(timeout) {
					t.Fatalf("seed %d: timeout %s is classified as a retry, want a first attempt", seed, timeout)
				}
				p.observe(timeout)
			}
		}
	}
}

// The estimate must follow a change of the callers' initial timeout.
func TestInitialTimeoutAdapts(t *testing.T) {
	var p callerTimeouts
	for range 1000 {
		p.observe(12 * time.Second)
	}
	for range 3 * timeoutDecayInterval {
		p.observe(3 * time.Second)
	}
	if p.isRetry(3 * time.Second) {
		t.Errorf("initial timeout of 3 s is classified as a retry: estimated initial timeout is %s", p.initialTimeout())
	}
	if p.isRetry(0) {
		t.Error("a caller without a declared timeout is classified as a retry")
	}
}
