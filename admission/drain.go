package admission

import "time"

// drainEstimator estimates how fast a queue that is never empty gets shorter.
type drainEstimator struct {
	meanInterval time.Duration // mean time between queries that leave to run
	lastDequeue  time.Duration // when the last one left
	nonEmpty     bool          // queries have waited since then
}

const (
	// intervalWeight is the weight of a new interval in the mean.
	intervalWeight = 0.1
	// stallFactor is how many times the mean interval must pass without a query
	// leaving before the estimate grows with it.
	stallFactor = 4
)

// recordDequeue notes that a query left to run; more tells whether others still wait.
func (d *drainEstimator) recordDequeue(now time.Duration, more bool) {
	if d.nonEmpty {
		interval := now - d.lastDequeue
		if d.meanInterval == 0 {
			d.meanInterval = interval
		}
		d.meanInterval += time.Duration(float64(interval-d.meanInterval) * intervalWeight)
	}
	d.lastDequeue = now
	d.nonEmpty = more
}

// estimateWait estimates when the query at the given place, from 1, will leave. It is
// zero while nothing is known.
func (d *drainEstimator) estimateWait(now time.Duration, place int) time.Duration {
	interval := d.meanInterval
	if d.nonEmpty {
		interval = max(interval, (now-d.lastDequeue)/stallFactor)
	}
	return time.Duration(place) * interval
}
