package extrabudget

import "time"

// buckets divide a window.
const buckets = 20

// Counter counts events over a sliding window; the zero value has counted none. All
// calls must name the same window, which must be at least 20 ns.
type Counter struct {
	counts [buckets + 1]int
	// latest is the number of the newest bucket since the epoch.
	latest int64
}

// BucketWidth is the span of time that a Counter doesn't tell apart.
func BucketWidth(window time.Duration) time.Duration { return window / buckets }

// Add counts some events at now; a negative number takes back what was counted just before.
func (c *Counter) Add(now, window time.Duration, events int) {
	c.advance(now, window)
	c.counts[c.latest%(buckets+1)] += events
}

// UpperBound is the number of events of the last window and, as the oldest bucket lies partly
// outside it, of at most a twentieth of a window before.
func (c *Counter) UpperBound(now, window time.Duration) int {
	c.advance(now, window)
	sum := 0
	for _, count := range c.counts {
		sum += count
	}
	return sum
}

// LowerBound is the number of events that lie within the last window for certain.
func (c *Counter) LowerBound(now, window time.Duration) int {
	return c.UpperBound(now, window) - c.counts[(c.latest+1)%(buckets+1)]
}

func (c *Counter) advance(now, window time.Duration) {
	bucket := int64(now / BucketWidth(window))
	for passed := 0; c.latest < bucket && passed <= buckets; passed++ {
		c.latest++
		c.counts[c.latest%(buckets+1)] = 0
	}
	c.latest = bucket
}
