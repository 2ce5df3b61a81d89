package membership

import (
	"time"
)

// pendingRequest is a request that awaits its result.
type pendingRequest struct {
	kind   RequestKind
	to     string
	target string
	// incarnation is the incarnation of the probed member when the request was sent.
	incarnation uint64
	// firstBucket is set for Sync.
	firstBucket int
}

// probesPerIntervalOnFailure is the number of probes per probe interval while probes
// fail.
const probesPerIntervalOnFailure = 4

// pauseIntervals is the number of probe intervals beyond which a gap between two ticks
// is treated as a pause of this process.
const pauseIntervals = 3

// NextTick returns the time by which Tick must be called.
func (n *Nodes) NextTick() time.Duration {
	return min(n.nextProbe, n.nextReconnect, n.nextSync, n.nextExpiry, n.nextAnnouncement)
}

// Tick runs the timers that are due at the given time and returns the requests to send.
func (n *Nodes) Tick(now time.Duration) []Request {
	n.start(now)
	n.compensatePause(now)
	requests := n.expire(now)
	if now >= n.nextProbe {
		n.nextProbe = now + n.jittered(n.options.ProbeInterval)
		requests = append(requests, n.probe()...)
		requests = append(requests, n.reprobeSuspect()...)
	}
	if now >= n.nextReconnect {
		n.nextReconnect = now + n.jittered(n.reconnectInterval())
		requests = append(requests, n.reconnect()...)
	}
	if now >= n.nextSync {
		n.nextSync = now + n.jittered(n.syncBackoff)
		n.syncBackoff = min(2*n.syncBackoff, n.options.SyncInterval)
		requests = append(requests, n.startSync()...)
	}
	if now >= n.nextAnnouncement {
		n.nextAnnouncement = never
		requests = append(requests, n.announceUpdates()...)
	}
	return requests
}

// start randomizes the first probe and sync, so that nodes that start at the same time
// do not send theirs at once.
func (n *Nodes) start(now time.Duration) {
	if n.started {
		return
	}
	n.started = true
	n.lastTick = now
	n.nextProbe = now + time.Duration(n.random.Int64N(int64(n.options.ProbeInterval)))
	n.nextReconnect = now
	n.syncBackoff = n.minSyncInterval()
	n.nextSync = now + time.Duration(n.random.Int64N(int64(n.syncBackoff)))
}

// jitterShare is the maximum relative deviation of an interval in either direction.
const jitterShare = 0.1

// jittered returns the interval with random jitter.
func (n *Nodes) jittered(interval time.Duration) time.Duration {
	factor := 1 + jitterShare*(2*n.random.Float64()-1)
	return time.Duration(float64(interval) * factor)
}

// compensatePause handles a pause of this process: pending requests may have failed
// because of it and are discarded, and suspects, whose refutations could not be
// received, get the lost time back.
func (n *Nodes) compensatePause(now time.Duration) {
	gap := now - n.lastTick
	n.lastTick = now
	if gap <= pauseIntervals*n.options.ProbeInterval {
		return
	}
	clear(n.pending)
	clear(n.pendingIndirect)
	for _, id := range n.ids {
		if known := n.entries[id]; known.member.State == Suspect {
			known.deadline += gap
		}
	}
}

// expire handles the entries whose deadline has passed. It returns final probes of the
// members that only other nodes suspect.
func (n *Nodes) expire(now time.Duration) []Request {
	if now < n.nextExpiry {
		return nil
	}
	n.nextExpiry = never
	var requests []Request
	for _, id := range append([]string(nil), n.ids...) {
		known := n.entries[id]
		if known.deadline <= now {
			requests = append(requests, n.expireEntry(now, id, known)...)
		}
		if known.member.State != Live {
			n.nextExpiry = min(n.nextExpiry, known.deadline)
		}
	}
	return requests
}

func (n *Nodes) expireEntry(now time.Duration, id string, known *entry) []Request {
	if known.member.State == Suspect && !known.selfDetected {
		return []Request{n.finalProbe(now, known)}
	}
	n.advanceState(now, id, known)
	return nil
}

// finalProbe probes a member suspected by other nodes once more before it becomes gone,
// as its refutation may have been lost.
func (n *Nodes) finalProbe(now time.Duration, known *entry) Request {
	known.selfDetected = true
	known.deadline = now + 2*n.options.ProbeTimeout
	request := n.newRequest(ReconnectProbe, known.member)
	request.Updates = n.payload(known.member.ID)
	return request
}

// advanceState makes a member gone, or removes its tombstone unless the machine list
// still names the member.
func (n *Nodes) advanceState(now time.Duration, id string, known *entry) {
	if known.member.State != Gone {
		n.setState(now, known, Gone)
		return
	}
	if known.listed {
		known.deadline = now + n.options.TombstoneTime
		return
	}
	known.deadline = never
	n.remove(id)
}

// setState records a state that this node has detected itself.
func (n *Nodes) setState(now time.Duration, known *entry, state State) {
	update := known.member
	update.State = state
	n.apply(now, update, fromDetector)
}

func (n *Nodes) newRequest(kind RequestKind, to Member) Request {
	n.lastRequest++
	request := Request{
		ID:      n.lastRequest,
		Kind:    kind,
		To:      to,
		Timeout: n.options.ProbeTimeout,
		Sender:  n.self,
	}
	n.pending[request.ID] = pendingRequest{kind: kind, to: to.ID, target: to.ID, incarnation: to.Incarnation}
	return request
}

// probe probes the next member of the round.
func (n *Nodes) probe() []Request {
	target, ok := n.nextTarget()
	if !ok {
		return nil
	}
	request := n.newRequest(DirectProbe, target)
	request.Updates = n.payload(target.ID)
	return []Request{request}
}

// reprobeSuspect probes a random member that this node itself suspects. This keeps a
// single lost message from making a live member gone, as its reply refutes the
// suspicion.
func (n *Nodes) reprobeSuspect() []Request {
	if n.nextExpiry == never {
		return nil
	}
	targets := n.pickEntries(1, func(known *entry) bool { return known.selfDetected && known.member.State == Suspect })
	var requests []Request
	for _, target := range targets {
		request := n.newRequest(ReconnectProbe, target)
		request.Updates = n.payload(target.ID)
		requests = append(requests, request)
	}
	return requests
}

// nextTarget returns the next member to probe. Each round covers all members in a newly
// shuffled order.
func (n *Nodes) nextTarget() (Member, bool) {
	for range 2 {
		for len(n.probeOrder) > 0 {
			id := n.probeOrder[0]
			n.probeOrder = n.probeOrder[1:]
			if known, ok := n.entries[id]; ok && known.member.State != Gone {
				return known.member, true
			}
		}
		n.probeOrder = append([]string(nil), n.ids...)
		n.random.Shuffle(len(n.probeOrder), func(i, j int) {
			n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i]
		})
	}
	return Member{}, false
}

// Complete processes the result of a request and returns the requests that follow from
// it.
func (n *Nodes) Complete(now time.Duration, result Result) []Request {
	n.compensatePause(now)
	pending, ok := n.pending[result.ID]
	if !ok {
		return nil
	}
	delete(n.pending, result.ID)
	// A reply from this node itself, at an address that is known under another ID,
	// does not show that another node is reachable.
	if !result.Failed && result.Responder.ID != n.self.ID {
		n.recordReply(now)
	}
	switch pending.kind {
	case DirectProbe, ReconnectProbe:
		return n.completeProbe(now, pending, result)
	case IndirectProbe:
		n.completeIndirectProbe(now, pending, result)
	case Sync:
		return n.completeSync(now, pending, result)
	case Announcement:
		if !result.Failed {
			n.mergeMessage(now, result.Responder, result.Updates, fromGossip)
		}
	}
	return nil
}

// completeProbe starts indirect probes if a direct probe failed. A reply from another
// node that now uses the address counts as a failure of the member.
func (n *Nodes) completeProbe(now time.Duration, pending pendingRequest, result Result) []Request {
	if !result.Failed {
		n.mergeMessage(now, result.Responder, result.Updates, fromGossip)
	}
	if !result.Failed && (result.Responder.ID == pending.to || pending.kind == ReconnectProbe) {
		return n.continueJoin()
	}
	if pending.kind == ReconnectProbe {
		return nil
	}
	known, ok := n.entries[pending.to]
	if !ok || known.member.State == Gone || known.member.Incarnation != pending.incarnation {
		return nil
	}
	// Failures often come together, so probe another member soon.
	n.nextProbe = min(n.nextProbe, now+n.options.ProbeInterval/probesPerIntervalOnFailure)
	return n.probeIndirectly(now, known)
}

// probeIndirectly asks other members to probe a member that did not reply.
func (n *Nodes) probeIndirectly(now time.Duration, known *entry) []Request {
	target := known.member
	if known.unannounced {
		target.State = Live // the suspicion is unpublished, even to the target
	}
	helpers := n.pickMembers(n.options.IndirectProbes, func(m Member) bool {
		return m.State == Live && m.ID != target.ID
	})
	if len(helpers) == 0 {
		n.recordUnreachable(now, known)
		return nil
	}
	var requests []Request
	for _, helper := range helpers {
		request := n.newRequest(IndirectProbe, helper)
		request.Target = target
		request.Timeout = 2 * n.options.ProbeTimeout
		n.pending[request.ID] = pendingRequest{
			kind: IndirectProbe, to: helper.ID, target: target.ID, incarnation: target.Incarnation,
		}
		requests = append(requests, request)
	}
	n.pendingIndirect[target.ID] = len(requests)
	return requests
}

func (n *Nodes) completeIndirectProbe(now time.Duration, pending pendingRequest, result Result) {
	if !result.Failed && result.Reached && result.Responder.ID == pending.target {
		delete(n.pendingIndirect, pending.target)
		n.apply(now, result.Responder, fromSender)
		return
	}
	if _, waiting := n.pendingIndirect[pending.target]; !waiting {
		return
	}
	n.pendingIndirect[pending.target]--
	if n.pendingIndirect[pending.target] > 0 {
		return
	}
	delete(n.pendingIndirect, pending.target)
	known, ok := n.entries[pending.target]
	if ok && known.member.Incarnation == pending.incarnation {
		n.recordUnreachable(now, known)
	}
}

// recordUnreachable records that neither this node nor the relays could reach a member:
// a live member becomes suspect, a leaving one gone.
func (n *Nodes) recordUnreachable(now time.Duration, known *entry) {
	switch known.member.State {
	case Live:
		if n.noRecentReply(now) {
			known.unannounced = true
			n.heldSuspicions = append(n.heldSuspicions, heldSuspicion{before: known.member})
		}
		n.setState(now, known, Suspect)
	case Leaving:
		n.setState(now, known, Gone)
	case Suspect, Gone:
	}
}
