package admission

import "github.com/banksail/banksail/internal/priority"

// before reports whether w is served before other.
func (w *waiting) before(other *waiting) bool {
	if w.key != other.key {
		return w.key.Less(other.key)
	}
	return w.sequence < other.sequence
}

// expiresBefore reports whether w expires before other.
func (w *waiting) expiresBefore(other *waiting) bool {
	if w.expires != other.expires {
		return w.expires < other.expires
	}
	return w.sequence < other.sequence
}

// newClassQueue returns a queue of one class's queries, the next to serve first.
func newClassQueue() *priority.Queue[*waiting] {
	return priority.NewQueue((*waiting).before, func(w *waiting, place int) { w.place = place })
}

// newExpiryQueue returns a queue of all queries, the first to expire first.
func newExpiryQueue() *priority.Queue[*waiting] {
	return priority.NewQueue((*waiting).expiresBefore, func(w *waiting, place int) { w.expiryPlace = place })
}
