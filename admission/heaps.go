package admission

import "github.com/banksail/banksail/internal/priority"

// before reports whether e is dequeued before other.
func (e *queued) before(other *queued) bool {
	if e.key != other.key {
		return e.key.Less(other.key)
	}
	return e.sequence < other.sequence
}

// expiresBefore reports whether e expires before other.
func (e *queued) expiresBefore(other *queued) bool {
	if e.latestStart != other.latestStart {
		return e.latestStart < other.latestStart
	}
	return e.sequence < other.sequence
}

// newClassQueue returns a priority queue for the queries of one class, ordered by before.
func newClassQueue() *priority.Queue[*queued] {
	return priority.NewQueue((*queued).before, func(e *queued, index int) { e.classIndex = index })
}

// newExpiryQueue returns a priority queue for all queries, ordered by expiry.
func newExpiryQueue() *priority.Queue[*queued] {
	return priority.NewQueue((*queued).expiresBefore, func(e *queued, index int) { e.expiryIndex = index })
}
