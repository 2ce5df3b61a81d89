package node

import "time"

const (
	// leastOtherShare is the part of the budget that the others have even when
	// the duties take more than the rest.
	leastOtherShare = 0.1
	// slackShare is the part of the others' readings that is kept for doubts and
	// retries.
	slackShare = 0.1
)

// readingPace spreads the readings that the duties leave of the budget.
type readingPace struct {
	// gap is the mean time between two readings, pause that between two of one
	// server.
	gap   time.Duration
	pause time.Duration
	// free is when the next reading may be.
	free time.Time
}

// set works out the pace, given the readings a second of the duties.
func (r *readingPace) set(options pollerOptions, dutyRate float64, others int) {
	if options.budget == 0 || others == 0 {
		r.gap, r.pause = 0, options.interval
		return
	}
	rate := max(options.budget-dutyRate, leastOtherShare*options.budget)
	r.gap = time.Duration(float64(time.Second) / rate)
	r.pause = max(options.interval, time.Duration(float64(others)*float64(r.gap)*(1+slackShare)))
}

// allows says whether a reading may be now.
func (r *readingPace) allows(now time.Time) bool { return !r.free.After(now) }

// next is when a reading that is due may be.
func (r *readingPace) next(due time.Time) time.Time {
	if due.After(r.free) {
		return due
	}
	return r.free
}

// spend takes a reading's time. What a tick left unused may be made up for.
func (r *readingPace) spend(now time.Time) {
	if earliest := now.Add(-readingTick); r.free.Before(earliest) {
		r.free = earliest
	}
	r.free = r.free.Add(r.gap)
}
