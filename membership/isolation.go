package membership

import "time"

// heldSuspicion is a suspicion of this node's own that it has told nobody yet, with the
// entry as it was before.
type heldSuspicion struct{ before Member }

// Isolated reports whether nobody has answered for so long that this node takes
// itself for cut off from the members that it knows.
func (n *Nodes) Isolated(now time.Duration) bool {
	return n.options.IsolationTime > 0 && len(n.ids) > 0 && now-n.lastReply > n.options.IsolationTime
}

// noRecentReply reports whether nobody has answered of late: what the node finds then may be
// its own fault, and waits until somebody answers.
func (n *Nodes) noRecentReply(now time.Duration) bool {
	return n.options.IsolationTime > 0 && now-n.lastReply > n.options.ProbeInterval
}

// recordReply notes that another node has answered. What this node has found meanwhile is
// told now, unless nobody had answered for long: then the fault was its own, and the
// findings are void, and so is what becomes of the requests that are out. The others
// would refute them one by one.
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

// revokeSuspicionsOf takes back what this node alone has found of a member that sends to it.
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

// revokeSuspicion takes a finding back.
func (n *Nodes) revokeSuspicion(known *entry, held heldSuspicion) {
	known.member.State = held.before.State
	known.deadline = never
	known.selfDetected, known.unannounced = false, false
	if len(n.changes) < maximumChanges {
		n.changes = append(n.changes, known.member)
	}
	n.version++
}
