package membership

import "time"

// finding is a suspicion of this node's own, with the entry as it was before.
type finding struct{ before Member }

// Isolated reports whether nobody has answered for so long that this node takes
// itself for cut off from the members that it knows.
func (n *Nodes) Isolated(now time.Duration) bool {
	return n.options.IsolationTime > 0 && len(n.ids) > 0 && now-n.lastReply > n.options.IsolationTime
}

// replied notes that another node has answered. When nobody had for long, the fault
// was this node's own: what it found of others meanwhile is void, or it would make
// them refute one by one what it tells of them.
func (n *Nodes) replied(now time.Duration) {
	if n.Isolated(now) {
		for _, one := range n.findings {
			n.revoke(one)
		}
	}
	n.findings = n.findings[:0]
	n.lastReply = now
}

// revoke takes a finding back unless the member is known from later on.
func (n *Nodes) revoke(one finding) {
	known, ok := n.entries[one.before.ID]
	if !ok || !known.own || known.member.Incarnation != one.before.Incarnation {
		return
	}
	known.member.State = one.before.State
	known.own = false
	n.updates.remove(one.before.ID)
	if len(n.changes) < maximumChanges {
		n.changes = append(n.changes, known.member)
	}
	n.version++
}
