package admission

import "github.com/banksail/banksail/internal/priority"

// before reports whether w is served before other.
func (w *queued) before(other *queued) bool {
	if w.key != other.key {
		return w.key.Less(other.key)
	}
	return w.sequence < other.sequence
}

// expiresBefore reports whether w expires before other.
func (w *queued) expiresBefore(other *queued) bool {
	if w.latestStart != other.latestStart {
		return w.latestStart < other.latestStart
	}
	return w.sequence < other.sequence
}

// newClassQueue returns a queue of one class's queries, the next to serve first.
func newClassQueue() *priority.Queue[*queued] {
	return priority.NewQueue((*queued).before, func(w *queued, place int) { w.classIndex = place })
}

// newExpiryQueue returns a queue of all queries, the first to expire first.
func newExpiryQueue() *priority.Queue[*queued] {
	return priority.NewQueue((*queued).expiresBefore, func(w *queued, place int) { w.expiryIndex = place })
}
