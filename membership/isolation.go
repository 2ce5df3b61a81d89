package membership

import "time"

// heldSuspicion is a suspicion raised by this node that it has not published yet, with
// the entry from before.
type heldSuspicion struct{ before Member }

// Isolated reports whether no other node has replied for longer than IsolationTime, so
// that this node is probably isolated from the members it knows.
func (n *Nodes) Isolated(now time.Duration) bool {
	return n.options.IsolationTime > 0 && len(n.ids) > 0 && now-n.lastReply > n.options.IsolationTime
}

// noRecentReply reports whether no other node has replied for a probe interval.
// Failures detected meanwhile may be this node's own fault and are held back until a
// reply arrives.
func (n *Nodes) noRecentReply(now time.Duration) bool {
	return n.options.IsolationTime > 0 && now-n.lastReply > n.options.ProbeInterval
}

// recordReply records that another node has replied, and publishes the held suspicions.
// If the node was isolated, they and all pending requests are discarded instead, as the
// fault was its own and the suspects would have to refute one by one.
func (n *Nodes) recordReply(now time.Duration) {
	isolated := n.Isolated(now)
	n.lastReply = now
	if isolated {
		clear(n.pending)
		clear(n.pendingIndirect)
	}
	heldSuspicions := n.heldSuspicions
	n.heldSuspicions = nil
	for _, held := range heldSuspicions {
		known, ok := n.entries[held.before.ID]
		if !ok || !known.unannounced {
			continue
		}
		if isolated {
			n.revokeSuspicion(known, held)
			continue
		}
		known.unannounced = false
		n.updates.add(held.before.ID, stateUpdate)
		n.scheduleAnnouncement(now, held.before, known.member)
	}
}

// revokeSuspicionsOf revokes the unpublished suspicion of a member from which a message
// has arrived.
func (n *Nodes) revokeSuspicionsOf(id string) {
	known, ok := n.entries[id]
	if !ok || !known.unannounced {
		return
	}
	for _, held := range n.heldSuspicions {
		if held.before.ID == id {
			n.revokeSuspicion(known, held)
		}
	}
}

// revokeSuspicion restores the state from before a held suspicion.
func (n *Nodes) revokeSuspicion(known *entry, held heldSuspicion) {
	known.member.State = held.before.State
	known.deadline = never
	known.selfDetected, known.unannounced = false, false
	if len(n.changes) < maximumChanges {
		n.changes = append(n.changes, known.member)
	}
	n.version++
}
