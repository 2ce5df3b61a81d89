package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/peer"
)

// exchangeOverheadBytes is what HTTP adds to the messages of one exchange;
// package peer's TestExchangeOverhead measures it. TCP/IP headers are not in it.
const exchangeOverheadBytes = 420

// simulation runs many Nodes on an event queue, with delays, cuts, freezes and
// kills, and counts the bytes of their messages.
type simulation struct {
	now    time.Duration
	events eventQueue
	random *rand.Rand
	nodes  []*simulatedNode
	// delay is the longest time that a message takes one way.
	delay time.Duration
	// blocked tells whether a message between two nodes is lost.
	blocked func(from, to *simulatedNode) bool
	order   uint64
	// tombstoneTime overrides the default unless it is zero.
	tombstoneTime time.Duration
}

type simulatedNode struct {
	index       int
	id          string
	core        *membership.Nodes
	alive       bool
	frozenUntil time.Duration
	// generation grows when the node restarts, so that timers of an earlier
	// life do nothing.
	generation int
	bytes      int
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(size int, seed uint64) *simulation {
	return newSimulationWith(size, seed, 0)
}

func newSimulationWith(size int, seed uint64, tombstoneTime time.Duration) *simulation {
	s := &simulation{
		random:        rand.New(rand.NewPCG(seed, 1)),
		delay:         2 * time.Millisecond,
		blocked:       func(_, _ *simulatedNode) bool { return false },
		tombstoneTime: tombstoneTime,
	}
	for i := range size {
		node := &simulatedNode{index: i, id: nodeID(i)}
		s.nodes = append(s.nodes, node)
		s.start(node, seed, 1)
	}
	return s
}

func nodeID(index int) string { return fmt.Sprintf("node-%04d", index) }

func listed(index int) membership.ListedNode {
	return membership.ListedNode{ID: nodeID(index), Address: addressOf(index), Zone: zoneOf(index)}
}

func addressOf(index int) string { return fmt.Sprintf("10.0.%d.%d:7300", index/250, index%250) }
func zoneOf(index int) string    { return fmt.Sprintf("zone-%d", index%4) }

// start begins a life of a node, which knows nobody yet.
func (s *simulation) start(node *simulatedNode, seed, incarnation uint64) {
	s.startAs(node, nodeID(node.index), seed, incarnation)
}

// startAs begins a life of a node under an ID of its own choice.
func (s *simulation) startAs(node *simulatedNode, id string, seed, incarnation uint64) {
	node.core = membership.NewNodes(membership.NodesOptions{
		Self: membership.Member{
			ID: id, Address: addressOf(node.index), Zone: zoneOf(node.index), Incarnation: incarnation,
		},
		Seed:          seed*1_000_003 + uint64(node.index),
		TombstoneTime: s.tombstoneTime,
	})
	node.alive = true
	node.frozenUntil = 0
	node.generation++
	s.scheduleTick(node, 0)
}

// list gives every node the machine list.
func (s *simulation) list(nodes ...membership.ListedNode) {
	for _, node := range s.nodes {
		node.core.ObserveList(nodes)
	}
}

func (s *simulation) listAll() {
	var nodes []membership.ListedNode
	for i := range s.nodes {
		nodes = append(nodes, listed(i))
	}
	s.list(nodes...)
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + delay, order: s.order, run: run})
}

// runUntil advances to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// runUntilTrue advances until the condition holds, checked ten times a second,
// and returns the time that it took; ok is false when limit passed first.
func (s *simulation) runUntilTrue(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begin := s.now
	for !condition() {
		if s.now-begin >= limit {
			return s.now - begin, false
		}
		s.runUntil(s.now + 100*time.Millisecond)
	}
	return s.now - begin, true
}

// onNode runs a step of a node as soon as it isn't frozen.
func (s *simulation) onNode(node *simulatedNode, step func()) {
	generation := node.generation
	if !node.alive {
		return
	}
	if s.now < node.frozenUntil {
		s.after(node.frozenUntil-s.now, func() {
			if node.generation == generation {
				s.onNode(node, step)
			}
		})
		return
	}
	step()
}

func (s *simulation) scheduleTick(node *simulatedNode, delay time.Duration) {
	generation := node.generation
	s.after(delay, func() {
		if node.generation != generation {
			return
		}
		s.onNode(node, func() {
			s.send(node, node.core.Tick(s.now))
			s.scheduleTick(node, min(max(0, node.core.Next()-s.now), 500*time.Millisecond))
		})
	})
}

func (s *simulation) send(from *simulatedNode, requests []membership.Request) {
	for _, request := range requests {
		s.sendOne(from, request)
	}
}

func (s *simulation) sendOne(from *simulatedNode, request membership.Request) {
	generation := from.generation
	done := false
	finish := func(result membership.Result) {
		if done || from.generation != generation {
			return
		}
		s.onNode(from, func() {
			if done {
				return
			}
			done = true
			result.ID = request.ID
			s.send(from, from.core.Complete(s.now, result))
		})
	}
	s.after(request.Timeout, func() { finish(membership.Result{Failed: true}) })
	switch request.Kind {
	case membership.IndirectProbe:
		s.indirect(from, request, finish)
	case membership.Sync:
		s.sync(from, request, finish)
	default:
		s.gossip(from, request.To, request.Sender, request.Updates, finish)
	}
}

// deliver hands a message over unless it is lost, and counts its bytes at both ends.
func (s *simulation) deliver(from, to *simulatedNode, message proto.Message, overhead int, arrive func()) {
	size := proto.Size(message) + overhead
	from.bytes += size
	if s.blocked(from, to) || !to.alive {
		return
	}
	s.after(1+time.Duration(s.random.Int64N(int64(s.delay))), func() {
		to.bytes += size
		s.onNode(to, arrive)
	})
}

// nodeAt finds the node that listens on an address.
func (s *simulation) nodeAt(address string) *simulatedNode {
	var high, low int
	if _, err := fmt.Sscanf(address, "10.0.%d.%d:7300", &high, &low); err != nil {
		return nil
	}
	if index := high*250 + low; index < len(s.nodes) {
		return s.nodes[index]
	}
	return nil
}

func (s *simulation) gossip(from *simulatedNode, target, sender membership.Member, updates []membership.Member, finish func(membership.Result)) {
	to := s.nodeAt(target.Address)
	if to == nil {
		return
	}
	request := &peer.GossipRequest{Sender: wire(sender), Updates: wireAll(updates)}
	s.deliver(from, to, request, exchangeOverheadBytes/2, func() {
		self, reply := to.core.Receive(s.now, sender, updates)
		response := &peer.GossipResponse{Responder: wire(self), Updates: wireAll(reply)}
		s.deliver(to, from, response, exchangeOverheadBytes/2, func() {
			finish(membership.Result{Responder: self, Updates: reply})
		})
	})
}

func (s *simulation) indirect(from *simulatedNode, request membership.Request, finish func(membership.Result)) {
	helper := s.nodeAt(request.To.Address)
	message := &peer.ProbeIndirectRequest{Target: wire(request.Target), TimeoutMs: 500}
	s.deliver(from, helper, message, exchangeOverheadBytes/2, func() {
		answered := false
		answer := func(result membership.Result) {
			if answered {
				return
			}
			answered = true
			response := &peer.ProbeIndirectResponse{Reached: result.Reached, Target: wire(result.Responder)}
			s.deliver(helper, from, response, exchangeOverheadBytes/2, func() { finish(result) })
		}
		s.after(request.Timeout/2, func() { answer(membership.Result{}) })
		updates := []membership.Member{request.Target}
		s.gossip(helper, request.Target, helper.core.Self(), updates, func(result membership.Result) {
			reached := result.Responder.ID == request.Target.ID
			answer(membership.Result{Reached: reached, Responder: result.Responder})
		})
	})
}

func (s *simulation) sync(from *simulatedNode, request membership.Request, finish func(membership.Result)) {
	to := s.nodeAt(request.To.Address)
	message := &peer.ListMembersRequest{Sender: wire(request.Sender), Digests: request.Digests}
	s.deliver(from, to, message, exchangeOverheadBytes/2, func() {
		reply := to.core.ReceiveSync(s.now, request.Sender, request.Digests, request.FirstBucket)
		response := &peer.ListMembersResponse{Members: wireAll(reply.Members), Responder: wire(reply.Responder)}
		s.deliver(to, from, response, exchangeOverheadBytes/2, func() {
			finish(membership.Result{
				Responder: reply.Responder, Updates: reply.Members, More: reply.More, NextBucket: reply.NextBucket,
			})
		})
	})
}

func wire(m membership.Member) *peer.Member {
	return &peer.Member{
		Id: m.ID, Address: m.Address, Zone: m.Zone, Incarnation: m.Incarnation,
		State: peer.Member_State(m.State), Revision: uint64(m.Revision),
	}
}

func wireAll(members []membership.Member) []*peer.Member {
	messages := make([]*peer.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, wire(m))
	}
	return messages
}

// allSee tells whether each of the observers sees each of the subjects in a state.
func allSee(observers, subjects []*simulatedNode, state membership.State) bool {
	for _, observer := range observers {
		for _, subject := range subjects {
			if observer == subject {
				continue
			}
			known, ok := observer.core.Lookup(subject.id)
			if !ok || known.State != state {
				return false
			}
		}
	}
	return true
}

// sees gives an observer's state of a subject; zero when it is unknown.
func sees(observer, subject *simulatedNode) membership.State {
	known, _ := observer.core.Lookup(subject.id)
	return known.State
}
