package node

import "time"

// pollPacer spreads the readings of the servers that are not this node's duty.
type pollPacer struct {
	// interval is the mean time between two readings, pause that between two of one
	// server.
	interval       time.Duration
	targetInterval time.Duration
	// nextAllowed is when the next reading may be.
	nextAllowed time.Time
}

// allows says whether a reading may be now.
func (r *pollPacer) allows(now time.Time) bool { return !r.nextAllowed.After(now) }

// earliest is when a reading that is due may be.
func (r *pollPacer) earliest(due time.Time) time.Time {
	if due.After(r.nextAllowed) {
		return due
	}
	return r.nextAllowed
}

// consume takes a reading's time. What a tick left unused may be made up for.
func (r *pollPacer) consume(now time.Time) {
	if earliest := now.Add(-pollTick); r.nextAllowed.Before(earliest) {
		r.nextAllowed = earliest
	}
	r.nextAllowed = r.nextAllowed.Add(r.interval)
}
