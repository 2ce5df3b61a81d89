package node

import "time"

// pollPacer spaces the polls of servers that are not assigned to this node.
type pollPacer struct {
	// interval is the mean time between two polls, targetInterval the mean time
	// between two polls of the same server.
	interval       time.Duration
	targetInterval time.Duration
	// nextAllowed is the earliest time of the next poll.
	nextAllowed time.Time
}

// allows reports whether a poll may start now.
func (r *pollPacer) allows(now time.Time) bool { return !r.nextAllowed.After(now) }

// earliest returns when a poll that is due at the given time may start.
func (r *pollPacer) earliest(due time.Time) time.Time {
	if due.After(r.nextAllowed) {
		return due
	}
	return r.nextAllowed
}

// consume accounts for one poll. At most one pollTick of unused time is carried
// over.
func (r *pollPacer) consume(now time.Time) {
	if earliest := now.Add(-pollTick); r.nextAllowed.Before(earliest) {
		r.nextAllowed = earliest
	}
	r.nextAllowed = r.nextAllowed.Add(r.interval)
}
