package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/wire"
)

// packet is an outgoing datagram with its destination address.
type packet struct {
	to       string
	datagram *Datagram
}

// maxRelayedProbes limits the concurrent probes on behalf of other nodes.
const maxRelayedProbes = 256

// exchanger converts the requests of a membership.Nodes into datagrams, and received
// datagrams into results. Times are durations since an epoch that the owner chooses.
type exchanger struct {
	nodes *membership.Nodes
	// numberBase keeps this process's datagram numbers apart from those of earlier
	// processes on the same address.
	numberBase uint64
	// pending holds this node's unanswered requests, relayed the unanswered probes on
	// behalf of other nodes. Both are keyed by datagram number.
	pending map[uint64]pendingRequest
	relayed map[uint64]relayedProbe
	// relayedCount counts relayed probes, whose numbers descend from numberBase.
	relayedCount uint64
	// malformed counts received datagrams that were rejected.
	malformed uint64
}

// pendingRequest is a request that awaits its reply.
type pendingRequest struct {
	id       membership.RequestID
	kind     membership.RequestKind
	deadline time.Duration
}

// relayedProbe is a probe on behalf of another node, requester, whose datagram had the
// given number.
type relayedProbe struct {
	requester string
	number    uint64
	target    string
	deadline  time.Duration
}

func newExchanger(nodes *membership.Nodes, numberBase uint64) *exchanger {
	return &exchanger{
		nodes:      nodes,
		numberBase: numberBase,
		pending:    make(map[uint64]pendingRequest),
		relayed:    make(map[uint64]relayedProbe),
	}
}

// nextTick returns the time by which tick must be called.
func (e *exchanger) nextTick() time.Duration {
	next := e.nodes.NextTick()
	for _, request := range e.pending {
		next = min(next, request.deadline)
	}
	for _, probe := range e.relayed {
		next = min(next, probe.deadline)
	}
	return next
}

// tick expires requests, runs the table's timers and returns the packets to send.
func (e *exchanger) tick(now time.Duration) []packet {
	var packets []packet
	for _, number := range slices.Sorted(maps.Keys(e.relayed)) {
		if probe := e.relayed[number]; probe.deadline <= now {
			delete(e.relayed, number)
			packets = append(packets, e.indirectReply(probe, nil))
		}
	}
	for _, number := range slices.Sorted(maps.Keys(e.pending)) {
		if request := e.pending[number]; request.deadline <= now {
			delete(e.pending, number)
			packets = append(packets, e.complete(now, request, membership.Result{Failed: true})...)
		}
	}
	return append(packets, e.startRequests(now, e.nodes.Tick(now))...)
}

// complete passes the result of a request to the table and returns the packets to send
// as a consequence.
func (e *exchanger) complete(now time.Duration, request pendingRequest, result membership.Result) []packet {
	result.ID = request.id
	return e.startRequests(now, e.nodes.Complete(now, result))
}

// startRequests converts requests into datagrams and records them as pending.
// Announcements have no reply and are completed immediately.
func (e *exchanger) startRequests(now time.Duration, requests []membership.Request) []packet {
	var packets []packet
	for _, request := range requests {
		number := e.numberBase + uint64(request.ID)
		pending := pendingRequest{id: request.ID, kind: request.Kind, deadline: now + request.Timeout}
		packets = append(packets, packet{to: request.To.Address, datagram: e.requestDatagram(number, request)})
		if request.Kind == membership.Announcement {
			packets = append(packets, e.complete(now, pending, membership.Result{Failed: true})...)
			continue
		}
		e.pending[number] = pending
	}
	return packets
}

func (e *exchanger) requestDatagram(number uint64, request membership.Request) *Datagram {
	datagram := e.newDatagram(number, request.Updates)
	switch request.Kind {
	case membership.IndirectProbe:
		datagram.Body = &Datagram_IndirectProbe{IndirectProbe: &IndirectProbe{Target: wire.FromMember(request.Target)}}
	case membership.Sync:
		datagram.Body = &Datagram_Comparison{Comparison: &Comparison{
			Digests: request.Digests, FirstBucket: uint32(max(request.FirstBucket, 0)),
		}}
	case membership.Announcement:
		datagram.Body = &Datagram_News{News: &News{}}
	case membership.DirectProbe, membership.ReconnectProbe:
		datagram.Body = &Datagram_Probe{Probe: &Probe{}}
	}
	return datagram
}

func (e *exchanger) newDatagram(number uint64, updates []membership.Member) *Datagram {
	return &Datagram{Number: number, Sender: wire.FromMember(e.nodes.Self()), Updates: wire.FromMembers(updates)}
}

// receive processes a datagram and returns the packets to send.
func (e *exchanger) receive(now time.Duration, from string, datagram *Datagram) []packet {
	sender, ok := wire.ToMember(datagram.GetSender())
	if !ok {
		e.malformed++
		return nil
	}
	updates := wire.ToMembers(datagram.GetUpdates(), membership.MaximumUpdates)
	switch body := datagram.GetBody().(type) {
	case *Datagram_Probe:
		_, reply := e.nodes.Receive(now, sender, updates)
		answer := e.newDatagram(datagram.GetNumber(), reply)
		answer.Body = &Datagram_ProbeReply{ProbeReply: &ProbeReply{}}
		return []packet{{to: from, datagram: answer}}
	case *Datagram_ProbeReply:
		return e.handleProbeReply(now, datagram.GetNumber(), sender, updates)
	case *Datagram_IndirectProbe:
		return e.relayProbe(now, from, datagram.GetNumber(), body.IndirectProbe)
	case *Datagram_IndirectReply:
		return e.handleReply(now, datagram.GetNumber(), membership.IndirectProbe, indirectResult(body.IndirectReply))
	case *Datagram_Comparison:
		return e.answerSync(now, from, sender, datagram.GetNumber(), body.Comparison)
	case *Datagram_ComparisonReply:
		return e.handleReply(now, datagram.GetNumber(), membership.Sync, membership.Result{
			Responder:  sender,
			Updates:    wire.ToMembers(body.ComparisonReply.GetMembers(), membership.MaximumSyncMembers),
			More:       body.ComparisonReply.GetMore(),
			NextBucket: clampBucket(body.ComparisonReply.GetNextBucket()),
		})
	case *Datagram_News:
		e.nodes.Receive(now, sender, updates)
		return nil
	default:
		e.malformed++
		return nil
	}
}

// clampBucket limits a bucket index received from another node.
func clampBucket(bucket uint32) int { return int(min(bucket, membership.DigestBuckets)) }

// handleProbeReply completes a probe of this node or a relayed one.
func (e *exchanger) handleProbeReply(now time.Duration, number uint64, sender membership.Member, updates []membership.Member) []packet {
	probe, relayed := e.relayed[number]
	if !relayed {
		return e.handleReply(now, number, membership.DirectProbe, membership.Result{Responder: sender, Updates: updates})
	}
	if sender.ID != probe.target {
		return nil // another node now uses the address
	}
	delete(e.relayed, number)
	e.nodes.Receive(now, sender, updates)
	return []packet{e.indirectReply(probe, &sender)}
}

// handleReply completes the pending request that a reply of the given kind answers. A
// probe reply without a matching request, such as a late one, only updates the table.
func (e *exchanger) handleReply(now time.Duration, number uint64, kind membership.RequestKind, result membership.Result) []packet {
	request, ok := e.pending[number]
	if !ok || !replyMatches(kind, request.kind) {
		if result.Responder.Valid() && kind == membership.DirectProbe {
			e.nodes.Receive(now, result.Responder, result.Updates)
		}
		return nil
	}
	delete(e.pending, number)
	return e.complete(now, request, result)
}

// replyMatches reports whether a reply of one kind can answer a request of the other.
func replyMatches(reply, request membership.RequestKind) bool {
	return reply == request || reply == membership.DirectProbe && request == membership.ReconnectProbe
}

// relayProbe probes a node on behalf of another node.
func (e *exchanger) relayProbe(now time.Duration, from string, number uint64, request *IndirectProbe) []packet {
	target, ok := wire.ToMember(request.GetTarget())
	if !ok || len(e.relayed) >= maxRelayedProbes {
		e.malformed++
		return nil
	}
	e.relayedCount++
	relayNumber := e.numberBase - e.relayedCount
	e.relayed[relayNumber] = relayedProbe{requester: from, number: number, target: target.ID, deadline: now + relayTimeout}
	probe := e.newDatagram(relayNumber, []membership.Member{target})
	probe.Body = &Datagram_Probe{Probe: &Probe{}}
	return []packet{{to: target.Address, datagram: probe}}
}

// indirectReply builds the reply to the requester of a relayed probe. target is nil if
// the probe was not answered.
func (e *exchanger) indirectReply(probe relayedProbe, target *membership.Member) packet {
	reply := &IndirectReply{Reached: target != nil}
	if target != nil {
		reply.Target = wire.FromMember(*target)
	}
	datagram := e.newDatagram(probe.number, nil)
	datagram.Body = &Datagram_IndirectReply{IndirectReply: reply}
	return packet{to: probe.requester, datagram: datagram}
}

func indirectResult(reply *IndirectReply) membership.Result {
	target, ok := wire.ToMember(reply.GetTarget())
	return membership.Result{Reached: reply.GetReached() && ok, Responder: target}
}

// answerSync replies to a Comparison with the entries that differ.
func (e *exchanger) answerSync(now time.Duration, from string, sender membership.Member, number uint64, request *Comparison) []packet {
	reply := e.nodes.ReceiveSync(now, sender, request.GetDigests(), clampBucket(request.GetFirstBucket()))
	datagram := e.newDatagram(number, nil)
	datagram.Body = &Datagram_ComparisonReply{ComparisonReply: &ComparisonReply{
		Members: wire.FromMembers(reply.Members), More: reply.More, NextBucket: uint32(reply.NextBucket),
	}}
	return []packet{{to: from, datagram: datagram}}
}
