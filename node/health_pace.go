package node

import "time"

// readingPace spreads the readings of the servers that are not this node's duty.
type readingPace struct {
	// gap is the mean time between two readings, pause that between two of one
	// server.
	gap   time.Duration
	pause time.Duration
	// free is when the next reading may be.
	free time.Time
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
