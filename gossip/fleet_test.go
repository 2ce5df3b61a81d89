package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/membership"
)

// fleet runs exchangers on an event queue in virtual time, and carries their datagrams
// encoded, with delays, losses, cuts, freezes and deaths.
type fleet struct {
	t      *testing.T
	now    time.Duration
	order  uint64
	events *priority.Queue[event]
	random *rand.Rand
	nodes  []*fleetNode
	byAddr map[string]*fleetNode
	// loss is the share of datagrams that are lost, delay the longest way.
	loss  float64
	delay time.Duration
	// isCut tells whether datagrams from one node to another are lost.
	isCut func(from, to *fleetNode) bool
	seeds []string
	// datagrams counts those that were sent.
	datagrams int
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func earlier(a, b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

// fleetNode is one machine.
type fleetNode struct {
	index       int
	node        discovery.Node
	core        *exchanger
	alive       bool
	frozenUntil time.Duration
	// incarnation grows with each start, so that events of an earlier one do nothing.
	incarnation uint64
	// bytes counts what it sent and received, with 28 for the headers of IP and UDP.
	bytes int
}

const datagramHeader = 28

func newFleet(t *testing.T, count int, seed uint64) *fleet {
	f := &fleet{
		t: t, events: priority.NewQueue(earlier, nil), random: rand.New(rand.NewPCG(seed, 9)),
		byAddr: make(map[string]*fleetNode), delay: 3 * time.Millisecond,
		isCut: func(_, _ *fleetNode) bool { return false },
	}
	for index := range count {
		f.add(index)
	}
	f.seeds = []string{f.nodes[0].node.Gossip, f.nodes[1].node.Gossip, f.nodes[2%count].node.Gossip}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// add makes a machine that does not run yet.
func (f *fleet) add(index int) *fleetNode {
	host := fmt.Sprintf("10.%d.%d.%d", 1+index%6, index/250, index%250)
	n := &fleetNode{index: index, node: discovery.Node{
		ID: fmt.Sprintf("node-%03d", index), Gossip: host + ":7380", Address: host + ":8104", Peer: host + ":8106",
		Zone: fmt.Sprintf("zone-%d", index%6), Region: "here", Capacity: 0.192,
	}}
	f.nodes = append(f.nodes, n)
	f.byAddr[n.node.Gossip] = n
	return n
}

// start begins a life of a node, which knows the seeds only.
func (f *fleet) start(n *fleetNode) {
	n.incarnation++
	self, err := memberFromNode(n.node, n.incarnation)
	if err != nil {
		f.t.Fatal(err)
	}
	seed := f.random.Uint64()
	n.core = newExchanger(membership.NewNodes(membershipOptions(self, seed)), seed|1<<63)
	var listed []membership.ListedNode
	for _, address := range f.seeds {
		if address != n.node.Gossip {
			listed = append(listed, membership.ListedNode{ID: "seed " + address, Address: address})
		}
	}
	n.core.nodes.ObserveList(listed)
	n.alive, n.frozenUntil = true, 0
	f.runStep(n, n.incarnation, f.nodeTick)
}

func (f *fleet) kill(n *fleetNode) {
	n.alive = false
	n.incarnation++
}

func (f *fleet) schedule(delay time.Duration, run func()) {
	f.order++
	f.events.Push(event{at: f.now + delay, order: f.order, run: run})
}

// runStep runs a step of a node's life as soon as it isn't frozen.
func (f *fleet) runStep(n *fleetNode, incarnation uint64, run func(*fleetNode)) {
	switch {
	case n.incarnation != incarnation || !n.alive:
	case f.now < n.frozenUntil:
		f.schedule(n.frozenUntil-f.now, func() { f.runStep(n, incarnation, run) })
	default:
		run(n)
	}
}

// nodeTick ticks a node and plans its next tick; ticks that have nothing to do are harmless.
func (f *fleet) nodeTick(n *fleetNode) {
	f.send(n, n.core.tick(f.now))
	f.scheduleTick(n)
}

func (f *fleet) scheduleTick(n *fleetNode) {
	incarnation := n.incarnation
	due := n.core.nextTick()
	f.schedule(max(due-f.now, 100*time.Microsecond), func() {
		if n.incarnation == incarnation && n.core.nextTick() <= f.now {
			f.runStep(n, incarnation, f.nodeTick)
		}
	})
}

func (f *fleet) send(from *fleetNode, packets []packet) {
	for _, outgoing := range packets {
		encoded, err := proto.Marshal(outgoing.datagram)
		if err != nil {
			f.t.Fatal(err)
		}
		f.datagrams++
		from.bytes += len(encoded) + datagramHeader
		to := f.byAddr[outgoing.to]
		if to == nil || !to.alive || f.isCut(from, to) || f.random.Float64() < f.loss {
			continue
		}
		incarnation := to.incarnation
		f.schedule(time.Millisecond+time.Duration(f.random.Int64N(int64(f.delay))), func() {
			f.runStep(to, incarnation, func(to *fleetNode) { f.deliver(from, to, encoded) })
		})
	}
}

func (f *fleet) deliver(from, to *fleetNode, encoded []byte) {
	to.bytes += len(encoded) + datagramHeader
	var datagram Datagram
	if err := proto.Unmarshal(encoded, &datagram); err != nil {
		f.t.Fatal(err)
	}
	f.send(to, to.core.receive(f.now, from.node.Gossip, &datagram))
	f.scheduleTick(to)
}

// run advances by a time.
func (f *fleet) run(span time.Duration) {
	end := f.now + span
	for f.events.Len() > 0 && f.events.First().at <= end {
		next := f.events.Pop()
		f.now = next.at
		next.run()
	}
	f.now = end
}

// runUntil advances in steps until the condition holds and returns the time that took;
// ok is false when limit passed first.
func (f *fleet) runUntil(limit time.Duration, condition func() bool) (took time.Duration, ok bool) {
	const pollInterval = 20 * time.Millisecond
	for start := f.now; ; f.run(pollInterval) {
		if condition() {
			return f.now - start, true
		}
		if f.now-start >= limit {
			return f.now - start, false
		}
	}
}

// stateSeen is an observer's state of a node; zero when it does not know it.
func (f *fleet) stateSeen(observer, subject *fleetNode) membership.State {
	member, _ := observer.core.nodes.Lookup(subject.node.ID)
	return member.State
}

// allPairs reports whether each of the observers sees each of the subjects so.
func (f *fleet) allPairs(observers, subjects []*fleetNode, matches func(membership.State) bool) bool {
	for _, observer := range observers {
		for _, subject := range subjects {
			if observer != subject && !matches(f.stateSeen(observer, subject)) {
				return false
			}
		}
	}
	return true
}

func isLive(state membership.State) bool { return state == membership.Live }

// isSuspectOrGone is how a node is seen that must be passed over.
func isSuspectOrGone(state membership.State) bool {
	return state == membership.Suspect || state == membership.Gone || state == 0
}

// alive lists the nodes that run.
func (f *fleet) alive() []*fleetNode {
	var alive []*fleetNode
	for _, n := range f.nodes {
		if n.alive {
			alive = append(alive, n)
		}
	}
	return alive
}

// waitForJoin runs until all nodes know each other.
func (f *fleet) waitForJoin(limit time.Duration) time.Duration {
	f.t.Helper()
	took, ok := f.runUntil(limit, func() bool { return f.allPairs(f.alive(), f.alive(), isLive) })
	if !ok {
		f.t.Fatalf("the nodes do not all know each other after %s", took)
	}
	return took
}
