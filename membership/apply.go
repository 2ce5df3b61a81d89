package membership

import (
	"slices"
	"time"
)

// source is the origin of an update. It determines how far the update is trusted and
// whether it is forwarded.
type source int

const (
	// fromGossip updates were piggybacked on a message and are forwarded.
	fromGossip source = iota
	// fromSender entries were sent by the member itself.
	fromSender
	// fromSync entries came from a table sync. They are not forwarded, as the other
	// nodes sync as well.
	fromSync
	// fromDetector updates were detected by this node.
	fromDetector
)

// Receive processes another node's message and returns this node's entry and the
// updates for the reply.
func (n *Nodes) Receive(now time.Duration, sender Member, updates []Member) (Member, []Member) {
	n.mergeMessage(now, sender, updates, fromGossip)
	return n.self, n.payload(sender.ID)
}

// mergeMessage applies the entry of a message's sender and the updates in the message.
func (n *Nodes) mergeMessage(now time.Duration, sender Member, updates []Member, from source) {
	n.revokeSuspicionsOf(sender.ID)
	n.apply(now, sender, fromSender)
	for _, update := range updates[:min(len(updates), MaximumSyncMembers)] {
		n.apply(now, update, from)
	}
}

// apply merges one update into the table.
func (n *Nodes) apply(now time.Duration, update Member, from source) {
	if !update.Valid() {
		return
	}
	if update.ID == n.self.ID {
		n.refute(now, update)
		return
	}
	known, ok := n.entries[update.ID]
	if !ok {
		n.insert(now, update, from)
		return
	}
	if from == fromSync || from == fromGossip {
		update = softenGone(known.member, update)
	}
	if !update.Supersedes(known.member) {
		return
	}
	before := known.member
	known.member = merge(before, update)
	if from != fromDetector {
		known.unannounced = false
	}
	n.recordChange(now, known, before, from)
}

// softenGone turns a report that a live member is gone into a suspicion, so that the
// member can refute it. Otherwise the two sides of a healed partition, or a node that
// receives nothing, would make each other's live members gone.
func softenGone(known, update Member) Member {
	if update.State == Gone && known.State == Live {
		update.State = Suspect
	}
	return update
}

// insert adds an unknown member.
func (n *Nodes) insert(now time.Duration, update Member, from source) {
	if len(n.ids) >= MaximumMembers {
		return
	}
	n.inserted++
	known := &entry{member: update}
	if candidate, listed := n.candidates[update.ID]; listed {
		known.listed = true
		delete(n.candidates, candidate.ID)
	}
	n.entries[update.ID] = known
	at, _ := slices.BinarySearch(n.ids, update.ID)
	n.ids = slices.Insert(n.ids, at, update.ID)
	n.recordChange(now, known, Member{}, from)
}

// recordChange sets the deadline for a new state and queues the update.
func (n *Nodes) recordChange(now time.Duration, known *entry, before Member, from source) {
	member := known.member
	if len(n.changes) < maximumChanges {
		n.changes = append(n.changes, member)
	}
	kind := stateUpdate
	if before.Incarnation == member.Incarnation && before.State == member.State {
		kind = revisionUpdate
	} else {
		n.version++
		n.stateChanges++
		known.selfDetected = from == fromDetector
		known.deadline = n.stateDeadline(now, member.State, known.selfDetected)
		n.nextExpiry = min(n.nextExpiry, known.deadline)
	}
	if from != fromSync && !known.unannounced {
		n.updates.add(member.ID, kind)
		n.scheduleAnnouncement(now, before, member)
	}
}

// stateDeadline returns when a state expires. A suspicion raised by another node gets
// 1.5 times as long as one of this node, as the refutation may first reach the node
// that raised it.
func (n *Nodes) stateDeadline(now time.Duration, state State, own bool) time.Duration {
	switch state {
	case Suspect:
		if own {
			return now + n.suspicionTime()
		}
		return now + n.suspicionTime()*3/2
	case Leaving:
		return now + n.options.LeavingTime
	case Gone:
		return now + n.options.TombstoneTime
	default:
		return never
	}
}

// refute handles an update about this node itself. An update that differs from its own
// entry and would take precedence is refuted with a higher incarnation.
func (n *Nodes) refute(now time.Duration, update Member) {
	if update.Incarnation < n.self.Incarnation {
		return
	}
	same := update.State == n.self.State && update.Address == n.self.Address
	if update.Incarnation == n.self.Incarnation && (same || update.State < n.self.State) {
		return
	}
	if n.self.State == Gone {
		return
	}
	n.self.Incarnation = min(update.Incarnation+1, MaximumIncarnation)
	n.updates.add(n.self.ID, stateUpdate)
	n.scheduleAnnouncement(now, update, n.self)
	n.version++
}

// remove deletes a member from the table.
func (n *Nodes) remove(id string) {
	delete(n.entries, id)
	if at, found := slices.BinarySearch(n.ids, id); found {
		n.ids = slices.Delete(n.ids, at, at+1)
	}
	n.version++
}
