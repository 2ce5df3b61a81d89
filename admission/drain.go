package admission

import "time"

// drainEstimate estimates how fast a queue that is never empty gets shorter.
type drainEstimate struct {
	interval time.Duration // mean time between queries that leave to run
	last     time.Duration // when the last one left
	busy     bool          // queries have waited since then
}

const (
	// intervalWeight is the weight of a new interval in the mean.
	intervalWeight = 0.1
	// stallFactor is how many times the mean interval must pass without a query
	// leaving before the estimate grows with it.
	stallFactor = 4
)

// popped notes that a query left to run; more tells whether others still wait.
func (d *drainEstimate) popped(now time.Duration, more bool) {
	if d.busy {
		interval := now - d.last
		if d.interval == 0 {
			d.interval = interval
		}
		d.interval += time.Duration(float64(interval-d.interval) * intervalWeight)
	}
	d.last = now
	d.busy = more
}

// wait estimates when the query at the given place, from 1, will leave. It is
// zero while nothing is known.
func (d *drainEstimate) wait(now time.Duration, place int) time.Duration {
	interval := d.interval
	if d.busy {
		interval = max(interval, (now-d.last)/stallFactor)
	}
	return time.Duration(place) * interval
}
