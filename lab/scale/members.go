package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/policy"
)

const (
	firstIncarnation = 1_764_660_000_000 // milliseconds of a wall clock
	membershipSeed   = 7
	oneWayDelay      = time.Millisecond
	zonesPerRegion   = 3
	syncChunk        = membership.MaximumSyncMembers
)

// hollowMembers runs the membership cores of many nodes over a network in
// virtual time, and counts what they send.
type hollowMembers struct {
	queue  Queue
	random *rand.Rand
	watch  *Stopwatch
	sizes  envelope
	nodes  []*hollowMember
	byID   map[string]*hollowMember
	// parted says that nodes of different regions don't reach each other.
	parted bool
	counts memberCounts
	failed error
}

type memberCounts struct {
	messages int
	bytes    int
}

// hollowMember is one node: its core, and whether it runs.
type hollowMember struct {
	id      string
	zone    int
	core    *membership.Nodes
	running bool
	// life tells a wake-up of an earlier life from one of this life.
	life int
}

func memberOf(index int) membership.Member {
	return membership.Member{
		ID: fmt.Sprintf("node-%05d", index), Address: addressOf(index, 7001), Zone: zoneName(index),
		Incarnation: firstIncarnation, State: membership.Live, Revision: 1,
	}
}

// newHollowMembers starts nodes that all know each other.
func newHollowMembers(count int, watch *Stopwatch) (*hollowMembers, error) {
	sizes, err := newEnvelope()
	if err != nil {
		return nil, err
	}
	network := &hollowMembers{
		random: rand.New(rand.NewPCG(membershipSeed, 0)),
		watch:  watch, sizes: sizes, byID: make(map[string]*hollowMember),
	}
	everyone := make([]membership.Member, 0, count)
	for index := range count {
		everyone = append(everyone, memberOf(index))
	}
	for index := range count {
		node := &hollowMember{id: everyone[index].ID, zone: index % zoneCount, core: joinedCore(index, everyone), running: true}
		network.nodes = append(network.nodes, node)
		network.byID[node.id] = node
		network.queue.After(0, func() { network.tick(node, node.life) })
	}
	return network, nil
}

// joinedCore makes a core that has been told the whole table by one comparison
// with a contact, as a joining node is.
func joinedCore(index int, everyone []membership.Member) *membership.Nodes {
	core := membership.NewNodes(membership.NodesOptions{Self: everyone[index], Seed: uint64(index + 1)})
	contact := everyone[(index+1)%len(everyone)]
	core.ObserveList([]membership.ListedNode{{ID: contact.ID, Address: contact.Address, Zone: contact.Zone}})
	requests := core.Tick(0)
	for start := 0; len(requests) > 0; {
		request := requests[0]
		requests = requests[1:]
		result := membership.Result{ID: request.ID, Responder: contact}
		if request.Kind == membership.Sync {
			end := min(start+syncChunk, len(everyone))
			result.Updates, result.More = everyone[start:end], end < len(everyone)
			start = end
		}
		requests = append(requests, core.Complete(0, result)...)
	}
	listed := make([]membership.ListedNode, 0, len(everyone))
	for _, member := range everyone {
		listed = append(listed, membership.ListedNode{ID: member.ID, Address: member.Address, Zone: member.Zone})
	}
	core.ObserveList(listed)
	core.TakeChanges()
	return core
}

func (h *hollowMembers) tick(node *hollowMember, life int) {
	if !node.running || node.life != life {
		return
	}
	var requests []membership.Request
	h.watch.Time(func() { requests = node.core.Tick(h.queue.Now()) })
	h.send(node, requests)
	h.queue.After(max(node.core.Next()-h.queue.Now(), time.Microsecond), func() { h.tick(node, life) })
}

func (h *hollowMembers) send(from *hollowMember, requests []membership.Request) {
	for _, request := range requests {
		to := h.byID[request.To.ID]
		h.queue.After(oneWayDelay, func() { h.deliver(from, to, request) })
	}
	from.core.TakeChanges()
}

// deliver hands a request to its receiver and sends the reply back.
func (h *hollowMembers) deliver(from, to *hollowMember, request membership.Request) {
	size, err := h.requestSize(request)
	h.note(size, err)
	if !h.reaches(from, to) {
		h.queue.After(request.Timeout, func() { h.complete(from, membership.Result{ID: request.ID, Failed: true}) })
		return
	}
	if request.Kind == membership.IndirectProbe {
		h.probeFor(from, request)
		return
	}
	result := h.answer(to, request)
	h.queue.After(oneWayDelay, func() { h.complete(from, result) })
}

// reaches tells whether a message gets to a node.
func (h *hollowMembers) reaches(from, to *hollowMember) bool {
	if from == nil || to == nil || !to.running {
		return false
	}
	return !h.parted || regionOf(from.zone) == regionOf(to.zone)
}

// regionOf puts the eight zones into three regions of three, three and two.
func regionOf(zone int) int { return zone / zonesPerRegion }

// probeFor stands for the helper's own probe of the target.
func (h *hollowMembers) probeFor(from *hollowMember, request membership.Request) {
	helper, target := h.byID[request.To.ID], h.byID[request.Target.ID]
	probe := membership.Request{Kind: membership.DirectProbe, Sender: request.Sender}
	size, err := h.requestSize(probe)
	h.note(size, err)
	result := membership.Result{ID: request.ID}
	delay := request.Timeout
	if h.reaches(helper, target) {
		result.Reached, result.Responder = true, target.core.Self()
		delay = 3 * oneWayDelay
	}
	h.note(h.sizes.response, nil)
	h.queue.After(delay, func() { h.complete(from, result) })
}

func (h *hollowMembers) answer(to *hollowMember, request membership.Request) membership.Result {
	result := membership.Result{ID: request.ID}
	var size int
	var err error
	h.watch.Time(func() {
		if request.Kind == membership.Sync {
			reply := to.core.ReceiveSync(h.queue.Now(), request.Sender, request.Digests, request.FirstBucket)
			result.Responder, result.Updates = reply.Responder, reply.Members
			result.More, result.NextBucket = reply.More, reply.NextBucket
			size, err = carried(&peer.ListMembersResponse{
				Members: memberMessages(reply.Members), Responder: memberMessage(reply.Responder), More: reply.More,
			}, &peer.ListMembersResponse{})
			return
		}
		result.Responder, result.Updates = to.core.Receive(h.queue.Now(), request.Sender, request.Updates)
		size, err = carried(&peer.GossipResponse{
			Responder: memberMessage(result.Responder), Updates: memberMessages(result.Updates),
		}, &peer.GossipResponse{})
	})
	to.core.TakeChanges()
	h.note(h.sizes.response+size, err)
	return result
}

func (h *hollowMembers) requestSize(request membership.Request) (int, error) {
	var size int
	var err error
	var path string
	h.watch.Time(func() {
		switch request.Kind {
		case membership.Sync:
			path = membersPath
			size, err = carried(&peer.ListMembersRequest{
				Sender: memberMessage(request.Sender), Digests: request.Digests,
			}, &peer.ListMembersRequest{})
		case membership.IndirectProbe:
			path = indirectPath
			size, err = carried(&peer.ProbeIndirectRequest{Target: memberMessage(request.Target), TimeoutMs: 500}, &peer.ProbeIndirectRequest{})
		default:
			path = gossipPath
			size, err = carried(&peer.GossipRequest{
				Sender: memberMessage(request.Sender), Updates: memberMessages(request.Updates),
			}, &peer.GossipRequest{})
		}
	})
	return h.sizes.request[path] + size, err
}

func (h *hollowMembers) complete(node *hollowMember, result membership.Result) {
	if !node.running {
		return
	}
	var requests []membership.Request
	h.watch.Time(func() { requests = node.core.Complete(h.queue.Now(), result) })
	h.send(node, requests)
}

func (h *hollowMembers) note(size int, err error) {
	h.counts.messages++
	h.counts.bytes += size
	if err != nil && h.failed == nil {
		h.failed = err
	}
}

// setRevision puts a configuration in force at all nodes, over a second.
func (h *hollowMembers) setRevision(revision policy.Revision) {
	for _, node := range h.nodes {
		delay := time.Duration(h.random.Int64N(int64(time.Second)))
		h.queue.After(delay, func() { node.core.SetRevision(revision) })
	}
}

// crash stops a node without a word.
func (h *hollowMembers) crash(node *hollowMember) {
	node.running = false
	node.life++
}

// leave ends a node in order: it announces its leaving and then its end.
func (h *hollowMembers) leave(node *hollowMember) {
	h.send(node, node.core.Leave())
	h.queue.After(time.Second, func() {
		h.send(node, node.core.Depart())
		h.crash(node)
	})
}

// start lets a node that ended come back with a new incarnation and an empty table.
func (h *hollowMembers) start(node *hollowMember) {
	self := node.core.Self()
	listed := make([]membership.ListedNode, 0, len(h.nodes))
	for _, other := range h.nodes {
		member := other.core.Self()
		listed = append(listed, membership.ListedNode{ID: member.ID, Address: member.Address, Zone: member.Zone})
	}
	self.Incarnation = firstIncarnation + uint64(h.queue.Now()/time.Millisecond) + 1
	self.State = membership.Live
	node.core = membership.NewNodes(membership.NodesOptions{Self: self, Seed: self.Incarnation})
	node.core.ObserveList(listed)
	node.running = true
	node.life++
	h.tick(node, node.life)
}
