package admission

import "time"

// drainEstimator estimates the rate at which queries are dequeued while the queue is
// not empty.
type drainEstimator struct {
	meanInterval time.Duration // moving average of the time between dequeues
	lastDequeue  time.Duration // time of the last dequeue
	nonEmpty     bool          // whether queries were left in the queue at that time
}

const (
	// intervalWeight is the weight of a new interval in the moving average.
	intervalWeight = 0.1
	// stallFactor is the number of mean intervals that must pass without a dequeue
	// before the estimate grows with the elapsed time.
	stallFactor = 4
)

// recordDequeue records that a query was dequeued to run; othersWait says whether the
// queue still holds other queries.
func (d *drainEstimator) recordDequeue(now time.Duration, othersWait bool) {
	if d.nonEmpty {
		interval := now - d.lastDequeue
		if d.meanInterval == 0 {
			d.meanInterval = interval
		}
		d.meanInterval += time.Duration(float64(interval-d.meanInterval) * intervalWeight)
	}
	d.lastDequeue = now
	d.nonEmpty = othersWait
}

// estimateWait estimates how long the query at the given position, counted from 1, will
// wait. It is zero until there is an estimate of the rate.
func (d *drainEstimator) estimateWait(now time.Duration, position int) time.Duration {
	interval := d.meanInterval
	if d.nonEmpty {
		interval = max(interval, (now-d.lastDequeue)/stallFactor)
	}
	return time.Duration(position) * interval
}
