// Package gossiptest simulates many membership state machines in virtual time, with
// message delays, cuts, freezes and crashes, and counts the bytes of their messages. It
// uses the real state machines and message encodings.
package gossiptest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/wire"
	"github.com/banksail/banksail/peer"
)

// exchangeOverheadBytes is the overhead of HTTP per exchange, as measured by
// TestExchangeOverhead in package peer. It excludes TCP and IP headers.
const exchangeOverheadBytes = 420

// Simulation runs many Nodes on an event queue in virtual time.
type Simulation struct {
	// Now is the virtual time since the start.
	Now    time.Duration
	events *priority.Queue[event]
	// Random is the seeded source of message delays.
	Random *rand.Rand
	// Nodes holds all nodes, including dead ones.
	Nodes []*Node
	// Delay is the maximum one-way delay of a message.
	Delay time.Duration
	// Blocked reports whether messages from one node to another are lost.
	Blocked func(from, to *Node) bool
	order   uint64
	// tombstoneTime overrides the default unless it is zero.
	tombstoneTime time.Duration
}

// Node is one simulated node.
type Node struct {
	// Index is the node's position in Simulation.Nodes.
	Index int
	// ID is the ID under which the node was started.
	ID string
	// Core is the state machine since the node's last start.
	Core *membership.Nodes
	// Alive is false if the node was killed.
	Alive bool
	// FrozenUntil is when a frozen node resumes.
	FrozenUntil time.Duration
	// generation increases with each start, so that timers set before a restart are
	// ignored.
	generation int
	// Bytes is the number of bytes sent and received.
	Bytes int
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// earlier orders events by time, and by insertion at equal times.
func earlier(a, b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// New starts size nodes that do not know each other.
func New(size int, seed uint64) *Simulation {
	return NewWithTombstoneTime(size, seed, 0)
}

// NewWithTombstoneTime is like New with a different NodesOptions.TombstoneTime; zero
// means the default.
func NewWithTombstoneTime(size int, seed uint64, tombstoneTime time.Duration) *Simulation {
	s := &Simulation{
		events:        priority.NewQueue(earlier, nil),
		Random:        rand.New(rand.NewPCG(seed, 1)),
		Delay:         2 * time.Millisecond,
		Blocked:       func(_, _ *Node) bool { return false },
		tombstoneTime: tombstoneTime,
	}
	for i := range size {
		node := &Node{Index: i, ID: NodeID(i)}
		s.Nodes = append(s.Nodes, node)
		s.Start(node, seed, 1)
	}
	return s
}

// NodeID returns the ID of the node at an index.
func NodeID(index int) string { return fmt.Sprintf("node-%04d", index) }

// ListEntryOf returns the machine list entry of the node at an index.
func ListEntryOf(index int) membership.ListedNode {
	return membership.ListedNode{ID: NodeID(index), Address: AddressOf(index), Zone: ZoneOf(index)}
}

// AddressOf returns the address of the node at an index.
func AddressOf(index int) string { return fmt.Sprintf("10.0.%d.%d:7300", index/250, index%250) }

// ZoneOf returns the zone of the node at an index.
func ZoneOf(index int) string { return fmt.Sprintf("zone-%d", index%4) }

// Start starts or restarts a node, which knows no other node.
func (s *Simulation) Start(node *Node, seed, incarnation uint64) {
	s.StartAs(node, NodeID(node.Index), seed, incarnation)
}

// StartAs starts or restarts a node under the given ID.
func (s *Simulation) StartAs(node *Node, id string, seed, incarnation uint64) {
	node.Core = membership.NewNodes(membership.NodesOptions{
		Self: membership.Member{
			ID: id, Address: AddressOf(node.Index), Zone: ZoneOf(node.Index), Incarnation: incarnation,
		},
		Seed:          seed*1_000_003 + uint64(node.Index),
		TombstoneTime: s.tombstoneTime,
	})
	node.Alive = true
	node.FrozenUntil = 0
	node.generation++
	s.scheduleTick(node, 0)
}

// SetMachineList passes a machine list to every node.
func (s *Simulation) SetMachineList(nodes ...membership.ListedNode) {
	for _, node := range s.Nodes {
		node.Core.ObserveList(nodes)
	}
}

// ListAllNodes passes a machine list with all nodes to every node.
func (s *Simulation) ListAllNodes() {
	var nodes []membership.ListedNode
	for i := range s.Nodes {
		nodes = append(nodes, ListEntryOf(i))
	}
	s.SetMachineList(nodes...)
}

func (s *Simulation) schedule(delay time.Duration, run func()) {
	s.order++
	s.events.Push(event{at: s.Now + delay, order: s.order, run: run})
}

// RunUntil advances virtual time to end.
func (s *Simulation) RunUntil(end time.Duration) {
	for s.events.Len() > 0 && s.events.First().at <= end {
		next := s.events.Pop()
		s.Now = next.at
		next.run()
	}
	s.Now = end
}

// RunUntilTrue advances virtual time until the condition holds, checking it ten times a
// second, and returns the time that took. The result is false if limit elapsed first.
func (s *Simulation) RunUntilTrue(limit time.Duration, condition func() bool) (time.Duration, bool) {
	begin := s.Now
	for !condition() {
		if s.Now-begin >= limit {
			return s.Now - begin, false
		}
		s.RunUntil(s.Now + 100*time.Millisecond)
	}
	return s.Now - begin, true
}

// runStep calls step as soon as the node is not frozen, unless it was killed or
// restarted.
func (s *Simulation) runStep(node *Node, step func()) {
	generation := node.generation
	if !node.Alive {
		return
	}
	if s.Now < node.FrozenUntil {
		s.schedule(node.FrozenUntil-s.Now, func() {
			if node.generation == generation {
				s.runStep(node, step)
			}
		})
		return
	}
	step()
}

func (s *Simulation) scheduleTick(node *Node, delay time.Duration) {
	generation := node.generation
	s.schedule(delay, func() {
		if node.generation != generation {
			return
		}
		s.runStep(node, func() {
			s.send(node, node.Core.Tick(s.Now))
			s.scheduleTick(node, min(max(0, node.Core.NextTick()-s.Now), 500*time.Millisecond))
		})
	})
}

func (s *Simulation) send(from *Node, requests []membership.Request) {
	for _, request := range requests {
		s.sendOne(from, request)
	}
}

func (s *Simulation) sendOne(from *Node, request membership.Request) {
	generation := from.generation
	done := false
	finish := func(result membership.Result) {
		if done || from.generation != generation {
			return
		}
		s.runStep(from, func() {
			if done {
				return
			}
			done = true
			result.ID = request.ID
			s.send(from, from.Core.Complete(s.Now, result))
		})
	}
	s.schedule(request.Timeout, func() { finish(membership.Result{Failed: true}) })
	switch request.Kind {
	case membership.IndirectProbe:
		s.sendIndirectProbe(from, request, finish)
	case membership.Sync:
		s.sendSync(from, request, finish)
	default:
		s.sendProbe(from, request.To, request.Sender, request.Updates, finish)
	}
}

// deliver sends a message, counts its bytes at both ends, and calls arrive at the
// receiver unless the message is lost.
func (s *Simulation) deliver(from, to *Node, message proto.Message, overhead int, arrive func()) {
	size := proto.Size(message) + overhead
	from.Bytes += size
	if s.Blocked(from, to) || !to.Alive {
		return
	}
	s.schedule(1+time.Duration(s.Random.Int64N(int64(s.Delay))), func() {
		to.Bytes += size
		s.runStep(to, arrive)
	})
}

// nodeAt returns the node with an address, or nil if there is none.
func (s *Simulation) nodeAt(address string) *Node {
	var high, low int
	if _, err := fmt.Sscanf(address, "10.0.%d.%d:7300", &high, &low); err != nil {
		return nil
	}
	if index := high*250 + low; index < len(s.Nodes) {
		return s.Nodes[index]
	}
	return nil
}

func (s *Simulation) sendProbe(from *Node, target, sender membership.Member, updates []membership.Member, finish func(membership.Result)) {
	to := s.nodeAt(target.Address)
	if to == nil {
		return
	}
	request := &peer.GossipRequest{Sender: wire.FromMember(sender), Updates: wire.FromMembers(updates)}
	s.deliver(from, to, request, exchangeOverheadBytes/2, func() {
		self, reply := to.Core.Receive(s.Now, sender, updates)
		response := &peer.GossipResponse{Responder: wire.FromMember(self), Updates: wire.FromMembers(reply)}
		s.deliver(to, from, response, exchangeOverheadBytes/2, func() {
			finish(membership.Result{Responder: self, Updates: reply})
		})
	})
}

func (s *Simulation) sendIndirectProbe(from *Node, request membership.Request, finish func(membership.Result)) {
	helper := s.nodeAt(request.To.Address)
	message := &peer.ProbeIndirectRequest{Target: wire.FromMember(request.Target), TimeoutMs: 500}
	s.deliver(from, helper, message, exchangeOverheadBytes/2, func() {
		answered := false
		answer := func(result membership.Result) {
			if answered {
				return
			}
			answered = true
			response := &peer.ProbeIndirectResponse{Reached: result.Reached, Target: wire.FromMember(result.Responder)}
			s.deliver(helper, from, response, exchangeOverheadBytes/2, func() { finish(result) })
		}
		s.schedule(request.Timeout/2, func() { answer(membership.Result{}) })
		updates := []membership.Member{request.Target}
		s.sendProbe(helper, request.Target, helper.Core.Self(), updates, func(result membership.Result) {
			reached := result.Responder.ID == request.Target.ID
			answer(membership.Result{Reached: reached, Responder: result.Responder})
		})
	})
}

func (s *Simulation) sendSync(from *Node, request membership.Request, finish func(membership.Result)) {
	to := s.nodeAt(request.To.Address)
	message := &peer.ListMembersRequest{Sender: wire.FromMember(request.Sender), Digests: request.Digests}
	s.deliver(from, to, message, exchangeOverheadBytes/2, func() {
		reply := to.Core.ReceiveSync(s.Now, request.Sender, request.Digests, request.FirstBucket)
		response := &peer.ListMembersResponse{Members: wire.FromMembers(reply.Members), Responder: wire.FromMember(reply.Responder)}
		s.deliver(to, from, response, exchangeOverheadBytes/2, func() {
			finish(membership.Result{
				Responder: reply.Responder, Updates: reply.Members, More: reply.More, NextBucket: reply.NextBucket,
			})
		})
	})
}

// AllSeeState reports whether all observers see all subjects in a state.
func AllSeeState(observers, subjects []*Node, state membership.State) bool {
	for _, observer := range observers {
		for _, subject := range subjects {
			if observer == subject {
				continue
			}
			known, ok := observer.Core.Lookup(subject.ID)
			if !ok || known.State != state {
				return false
			}
		}
	}
	return true
}

// StateSeen returns the state of a subject as seen by an observer, or 0 if unknown.
func StateSeen(observer, subject *Node) membership.State {
	known, _ := observer.Core.Lookup(subject.ID)
	return known.State
}
