package extrabudget

import "time"

// bucketCount divide a window.
const bucketCount = 20

// Counter counts events over a sliding window; the zero value has counted none. All
// calls must name the same window, which must be at least 20 ns.
type Counter struct {
	counts [bucketCount + 1]int
	// latestBucket is the number of the newest bucket since the epoch.
	latestBucket int64
}

// BucketWidth is the span of time that a Counter doesn't tell apart.
func BucketWidth(window time.Duration) time.Duration { return window / bucketCount }

// Add counts some events at now; a negative number takes back what was counted just before.
func (c *Counter) Add(now, window time.Duration, events int) {
	c.advance(now, window)
	c.counts[c.latestBucket%(bucketCount+1)] += events
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
	return c.UpperBound(now, window) - c.counts[(c.latestBucket+1)%(bucketCount+1)]
}

func (c *Counter) advance(now, window time.Duration) {
	bucket := int64(now / BucketWidth(window))
	for passed := 0; c.latestBucket < bucket && passed <= bucketCount; passed++ {
		c.latestBucket++
		c.counts[c.latestBucket%(bucketCount+1)] = 0
	}
	c.latestBucket = bucket
}
