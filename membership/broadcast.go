package membership

import (
	"cmp"
	"slices"
)

// urgency is the priority of an update. State changes take precedence over revision
// changes.
type urgency int

const (
	stateUpdate urgency = iota
	revisionUpdate
)

// broadcast is a queued update to be piggybacked on messages.
type broadcast struct {
	id            string
	urgency       urgency
	transmissions int
}

// broadcasts is the bounded queue of updates. It holds at most one entry per member;
// messages carry the member's current entry in the table.
type broadcasts struct {
	queue []broadcast
}

// maximumQueued limits the queue. Further updates spread by table syncs only.
const maximumQueued = 2048

// add queues a member's entry and resets its number of transmissions.
func (b *broadcasts) add(id string, u urgency) {
	for i := range b.queue {
		if b.queue[i].id == id {
			b.queue[i].urgency = min(b.queue[i].urgency, u)
			b.queue[i].transmissions = 0
			return
		}
	}
	if len(b.queue) >= maximumQueued {
		return
	}
	b.queue = append(b.queue, broadcast{id: id, urgency: u})
}

// take returns the updates for a message to a member, the least transmitted ones first,
// and drops those that have been sent limit times. It leaves room for one more entry
// and skips the receiver's own.
func (b *broadcasts) take(to string, limit int, lookup func(string) (Member, bool)) []Member {
	var picked []Member
	size := 0
	slices.SortStableFunc(b.queue, func(x, y broadcast) int {
		return cmp.Or(cmp.Compare(x.urgency, y.urgency), cmp.Compare(x.transmissions, y.transmissions))
	})
	kept := b.queue[:0]
	for _, entry := range b.queue {
		member, known := lookup(entry.id)
		if !known {
			continue
		}
		if entry.id != to && len(picked) < MaximumUpdates-1 && size+member.encodedBytes() <= MaximumUpdateBytes {
			picked = append(picked, member)
			size += member.encodedBytes()
			entry.transmissions++
		}
		if entry.transmissions < limit {
			kept = append(kept, entry)
		}
	}
	b.queue = kept
	return picked
}
