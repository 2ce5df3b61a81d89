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

// fleet simulates many nodes in virtual time. It delivers encoded datagrams between their
// exchangers and injects delays, packet loss, partitions, freezes and crashes.
type fleet struct {
	t      *testing.T
	now    time.Duration
	order  uint64
	events *priority.Queue[event]
	random *rand.Rand
	nodes  []*fleetNode
	byAddr map[string]*fleetNode
	// loss is the probability that a datagram is lost, delay the maximum one-way delay.
	loss  float64
	delay time.Duration
	// isCut reports whether all datagrams from one node to another are lost.
	isCut func(from, to *fleetNode) bool
	seeds []string
	// datagrams is the number of datagrams sent.
	datagrams int
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

// fleetNode is a simulated node.
type fleetNode struct {
	index       int
	node        discovery.Node
	core        *exchanger
	alive       bool
	frozenUntil time.Duration
	// incarnation increases with each start and kill, so that pending events of earlier
	// incarnations are ignored.
	incarnation uint64
	// bytes is the traffic sent and received, including datagramHeader per datagram.
	bytes int
}

// datagramHeader is the size of the IP and UDP headers in bytes.
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

// add creates a node that is not running yet.
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

// start starts a node as a new incarnation that knows only the seeds.
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

// runStep calls run as soon as the node is not frozen, unless it was killed or restarted.
func (f *fleet) runStep(n *fleetNode, incarnation uint64, run func(*fleetNode)) {
	switch {
	case n.incarnation != incarnation || !n.alive:
	case f.now < n.frozenUntil:
		f.schedule(n.frozenUntil-f.now, func() { f.runStep(n, incarnation, run) })
	default:
		run(n)
	}
}

// nodeTick ticks a node and schedules its next tick. Redundant ticks are harmless.
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

// run advances virtual time by span.
func (f *fleet) run(span time.Duration) {
	end := f.now + span
	for f.events.Len() > 0 && f.events.First().at <= end {
		next := f.events.Pop()
		f.now = next.at
		next.run()
	}
	f.now = end
}

// runUntil advances virtual time until the condition holds and returns the time it took.
// ok is false if limit elapsed first.
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

// stateSeen returns the observer's state for the subject, or 0 if it does not know it.
func (f *fleet) stateSeen(observer, subject *fleetNode) membership.State {
	member, _ := observer.core.nodes.Lookup(subject.node.ID)
	return member.State
}

// allPairs reports whether the state of every subject, as seen by every observer, matches.
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

// isUnavailable reports whether a node in this state, or an unknown one, is avoided.
func isUnavailable(state membership.State) bool {
	return state == membership.Suspect || state == membership.Gone || state == 0
}

// alive returns the running nodes.
func (f *fleet) alive() []*fleetNode {
	var alive []*fleetNode
	for _, n := range f.nodes {
		if n.alive {
			alive = append(alive, n)
		}
	}
	return alive
}

// waitForJoin advances virtual time until all running nodes see each other as live, and
// fails the test if that takes longer than limit.
func (f *fleet) waitForJoin(limit time.Duration) time.Duration {
	f.t.Helper()
	took, ok := f.runUntil(limit, func() bool { return f.allPairs(f.alive(), f.alive(), isLive) })
	if !ok {
		f.t.Fatalf("the nodes do not all know each other after %s", took)
	}
	return took
}
