package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Callers that were refused or lost their connection come back with less time, and
// are told from those that ask for the first time, whatever a few others tell.
func TestDetectsRetryingCallers(t *testing.T) {
	const (
		deadline = 3 * time.Second
		learned  = 100 // requests until then are not judged
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var p callerTimeouts
		for number := range 2000 {
			switch kind := random.IntN(100); {
			case kind < 5: // nonsense
				p.observe(time.Duration(random.Int64N(int64(time.Hour))))
			case kind < 10:
				p.observe(time.Hour)
			case kind < 50: // some time went by
				told := deadline - 200*time.Millisecond - time.Duration(random.Int64N(int64(2*time.Second)))
				if number > learned && !p.isRetry(told) {
					t.Fatalf("seed %d: %s is taken for a first try", seed, told)
				}
				p.observe(told)
			default: // a new connection takes a while
				told := deadline - time.Duration(random.IntN(35))*time.Millisecond
				if number > learned && p.isRetry(told) {
					t.Fatalf("seed %d: %s is taken for a later try", seed, told)
				}
				p.observe(told)
			}
		}
	}
}

// What callers begin with may change.
func TestInitialTimeoutAdapts(t *testing.T) {
	var p callerTimeouts
	for range 1000 {
		p.observe(12 * time.Second)
	}
	for range 3 * timeoutDecayInterval {
		p.observe(3 * time.Second)
	}
	if p.isRetry(3 * time.Second) {
		t.Errorf("callers begin with %s now", p.initialTimeout())
	}
	if p.isRetry(0) {
		t.Error("a caller that tells nothing is taken for one that tried before")
	}
}
