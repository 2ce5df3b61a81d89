package extrabudget

import "time"

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 20

// Counter counts events over a sliding window. The zero value is an empty Counter. All
// calls must use the same window, which must be at least 20 ns.
type Counter struct {
	counts [bucketCount + 1]int
	// latestBucket is the index of the newest bucket, counted from the epoch.
	latestBucket int64
}

// BucketWidth returns the time resolution of a Counter.
func BucketWidth(window time.Duration) time.Duration { return window / bucketCount }

// Add counts events at now. A negative number subtracts events that were counted in the same
// bucket.
func (c *Counter) Add(now, window time.Duration, events int) {
	c.advance(now, window)
	c.counts[c.latestBucket%(bucketCount+1)] += events
}

// UpperBound returns the number of events in the last window. As the oldest bucket lies partly
// outside the window, it may include events from up to a twentieth of a window before.
func (c *Counter) UpperBound(now, window time.Duration) int {
	c.advance(now, window)
	sum := 0
	for _, count := range c.counts {
		sum += count
	}
	return sum
}

// LowerBound returns the number of events that are certain to lie within the last window.
func (c *Counter) LowerBound(now, window time.Duration) int {
	return c.UpperBound(now, window) - c.counts[(c.latestBucket+1)%(bucketCount+1)]
}

// advance moves to the bucket of now and clears the buckets in between.
func (c *Counter) advance(now, window time.Duration) {
	bucket := int64(now / BucketWidth(window))
	for passed := 0; c.latestBucket < bucket && passed <= bucketCount; passed++ {
		c.latestBucket++
		c.counts[c.latestBucket%(bucketCount+1)] = 0
	}
	c.latestBucket = bucket
}
