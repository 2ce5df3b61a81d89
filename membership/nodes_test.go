package membership_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/membership"
)

const testSize = 24

// joined returns a simulation whose nodes all know each other.
func joined(t testing.TB, size int, seed uint64) *simulation {
	t.Helper()
	s := newSimulation(size, seed)
	s.listAll()
	if _, ok := s.runUntilTrue(2*time.Minute, func() bool { return allSee(s.nodes, s.nodes, membership.Live) }); !ok {
		t.Fatal("the nodes did not join")
	}
	return s
}

// neverGone runs on and fails when an observer ever sees a subject as gone.
func neverGone(t *testing.T, s *simulation, during time.Duration, observers, subjects []*simulatedNode) {
	t.Helper()
	for end := s.now + during; s.now < end; s.runUntil(s.now + 100*time.Millisecond) {
		for _, observer := range observers {
			for _, subject := range subjects {
				if sees(observer, subject) == membership.Gone {
					t.Fatalf("%s is taken for gone", nodeID(subject.index))
				}
			}
		}
	}
}

func eventually(t *testing.T, s *simulation, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	if _, ok := s.runUntilTrue(limit, condition); !ok {
		t.Fatalf("not within %v: %s", limit, what)
	}
}

func TestKilledNodeIsFoundGone(t *testing.T) {
	s := joined(t, testSize, 1)
	s.nodes[3].alive = false
	survivors := append(s.nodes[:3:3], s.nodes[4:]...)
	eventually(t, s, 30*time.Second, "every survivor sees the node as gone", func() bool {
		return allSee(survivors, s.nodes[3:4], membership.Gone)
	})
	if !allSee(survivors, survivors, membership.Live) {
		t.Fatal("a survivor is not seen as live")
	}
}

func TestShortlyFrozenNodeRefutes(t *testing.T) {
	s := joined(t, testSize, 2)
	frozen := s.nodes[5]
	frozen.frozenUntil = s.now + 5*time.Second
	eventually(t, s, 5*time.Second, "somebody suspects the node", func() bool {
		return sees(s.nodes[0], frozen) == membership.Suspect
	})
	neverGone(t, s, 30*time.Second, s.nodes, []*simulatedNode{frozen})
	if !allSee(s.nodes, s.nodes, membership.Live) {
		t.Fatal("the nodes do not see each other as live again")
	}
}

func TestLongFrozenNodeComesBackAndBuriesNobody(t *testing.T) {
	s := joined(t, testSize, 3)
	frozen := s.nodes[5]
	frozen.frozenUntil = s.now + 2*time.Minute
	s.runUntil(frozen.frozenUntil)
	if sees(s.nodes[0], frozen) != membership.Gone {
		t.Fatal("the frozen node is not gone")
	}
	neverGone(t, s, 30*time.Second, []*simulatedNode{frozen}, append(s.nodes[:5:5], s.nodes[6:]...))
	eventually(t, s, 30*time.Second, "all see each other as live", func() bool {
		return allSee(s.nodes, s.nodes, membership.Live)
	})
}

func TestOneWayCutKeepsTheNodeAlive(t *testing.T) {
	s := joined(t, testSize, 4)
	s.blocked = func(from, to *simulatedNode) bool { return from.index == 1 && to.index == 2 }
	neverGone(t, s, 2*time.Minute, s.nodes, s.nodes)
}

func TestRegionsPartedForAnHourComeTogether(t *testing.T) {
	s := joined(t, testSize, 5)
	half := testSize / 2
	s.blocked = func(from, to *simulatedNode) bool { return (from.index < half) != (to.index < half) }
	s.runUntil(s.now + time.Hour)
	if !allSee(s.nodes[:half], s.nodes[half:], membership.Gone) || !allSee(s.nodes[:half], s.nodes[:half], membership.Live) {
		t.Fatal("a side does not see the other one as gone and itself as live")
	}
	s.blocked = func(_, _ *simulatedNode) bool { return false }
	neverGone(t, s, time.Minute, s.nodes[:half], s.nodes[:half])
	eventually(t, s, 2*time.Minute, "all see each other as live", func() bool {
		return allSee(s.nodes, s.nodes, membership.Live)
	})
}

func TestMachineListLies(t *testing.T) {
	s := newSimulation(8, 6)
	dead := membership.ListedNode{ID: "dead", Address: "10.0.3.1:7300", Zone: "zone-0"}
	s.list(dead, listed(0), listed(1))
	eventually(t, s, time.Minute, "nodes that the list lacks are known", func() bool {
		return allSee(s.nodes, s.nodes, membership.Live)
	})
	s.list(dead)
	s.runUntil(s.now + time.Minute)
	s.list()
	s.runUntil(s.now + time.Minute)
	if !allSee(s.nodes, s.nodes, membership.Live) {
		t.Fatal("the list removed a member")
	}
	if _, known := s.nodes[0].core.Lookup("dead"); known {
		t.Fatal("the list added a member that never answered")
	}
}

func TestRestartsWithTheSameID(t *testing.T) {
	for name, incarnation := range map[string]uint64{"a later clock": 9, "the same clock": 1, "no clock": 0} {
		t.Run(name, func(t *testing.T) {
			s := joined(t, testSize, 7)
			for life := range uint64(2) {
				s.start(s.nodes[4], 70+life, incarnation)
				s.nodes[4].core.ObserveList([]membership.ListedNode{listed(0), listed(1)})
				s.runUntil(s.now + 2*time.Second)
			}
			eventually(t, s, time.Minute, "all see the new life as live", func() bool {
				return allSee(s.nodes, s.nodes, membership.Live) && s.sameIncarnation(4)
			})
		})
	}
}

// sameIncarnation tells whether all see the incarnation that a node has now.
func (s *simulation) sameIncarnation(index int) bool {
	for _, observer := range s.nodes {
		known, _ := observer.core.Lookup(nodeID(index))
		if known.Incarnation != s.nodes[index].core.Self().Incarnation {
			return false
		}
	}
	return true
}

func TestFlappingNodeSettles(t *testing.T) {
	s := joined(t, testSize, 8)
	for range 10 {
		s.nodes[2].frozenUntil = s.now + 3*time.Second
		s.runUntil(s.now + 4*time.Second)
	}
	eventually(t, s, time.Minute, "all see each other as live", func() bool {
		return allSee(s.nodes, s.nodes, membership.Live)
	})
}

func TestHalfOfTheNodesDieAtOnce(t *testing.T) {
	s := joined(t, testSize, 9)
	half := testSize / 2
	for _, node := range s.nodes[half:] {
		node.alive = false
	}
	eventually(t, s, time.Minute, "the rest see the dead as gone", func() bool {
		return allSee(s.nodes[:half], s.nodes[half:], membership.Gone)
	})
	if !allSee(s.nodes[:half], s.nodes[:half], membership.Live) {
		t.Fatal("a survivor is not seen as live")
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func() []int {
		s := joined(t, testSize, 10)
		s.nodes[0].alive = false
		s.runUntil(s.now + time.Minute)
		var bytes []int
		for _, node := range s.nodes {
			bytes = append(bytes, node.bytes)
		}
		return bytes
	}
	first, second := run(), run()
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("node %d sent and got %d bytes, then %d", i, first[i], second[i])
		}
	}
}

func TestTombstonesAreForgottenUnlessListed(t *testing.T) {
	const tombstoneTime = 5 * time.Minute
	s := newSimulationWith(6, 11, tombstoneTime)
	s.listAll()
	s.runUntil(time.Minute)
	s.nodes[5].alive = false
	s.runUntil(s.now + 2*tombstoneTime)
	if sees(s.nodes[0], s.nodes[5]) != membership.Gone {
		t.Fatal("a gone member that the list names is forgotten")
	}
	s.list()
	s.runUntil(s.now + 2*tombstoneTime)
	if sees(s.nodes[0], s.nodes[5]) != membership.Gone {
		t.Fatal("an empty list made a node forget a gone member")
	}
	s.list(listed(0), listed(1))
	s.runUntil(s.now + 2*tombstoneTime)
	if _, known := s.nodes[0].core.Lookup(nodeID(5)); known {
		t.Fatal("a tombstone stays for ever")
	}
}

// pair returns a node that knows one other node, and is about to probe it.
func pair(t *testing.T) (*membership.Nodes, membership.Member) {
	t.Helper()
	self := membership.Member{ID: "self", Address: "10.0.0.1:7300", Incarnation: 5}
	other := membership.Member{ID: "other", Address: "10.0.0.2:7300", Incarnation: 5, State: membership.Live}
	core := membership.NewNodes(membership.NodesOptions{Self: self, Seed: 1})
	core.Tick(0)
	core.Receive(0, other, nil)
	return core, other
}

// probeOf ticks until the node sends a direct probe.
func probeOf(t *testing.T, core *membership.Nodes, now time.Duration) (membership.Request, time.Duration) {
	t.Helper()
	for end := now + 5*time.Second; now < end; now += 100 * time.Millisecond {
		for _, request := range core.Tick(now) {
			if request.Kind == membership.DirectProbe {
				return request, now
			}
		}
	}
	t.Fatal("no direct probe")
	return membership.Request{}, 0
}

func TestProbeThatFailedDuringAPauseOfTheNodeItself(t *testing.T) {
	core, other := pair(t)
	request, now := probeOf(t, core, 0)
	core.Complete(now+time.Minute, membership.Result{ID: request.ID, Failed: true})
	if known, _ := core.Lookup(other.ID); known.State != membership.Live {
		t.Fatalf("after its own pause the node takes the other one for %v", known.State)
	}
}

func TestReplyOfAnotherNodeAtTheAddress(t *testing.T) {
	core, other := pair(t)
	request, now := probeOf(t, core, 0)
	stranger := membership.Member{ID: "new", Address: other.Address, Incarnation: 9, State: membership.Live}
	for _, indirect := range core.Complete(now, membership.Result{ID: request.ID, Responder: stranger}) {
		core.Complete(now, membership.Result{ID: indirect.ID, Failed: true})
	}
	if known, _ := core.Lookup(other.ID); known.State != membership.Suspect {
		t.Fatalf("the node whose address another one has is %v", known.State)
	}
	if known, _ := core.Lookup("new"); known.State != membership.Live {
		t.Fatalf("the node that replied is %v", known.State)
	}
}

func TestUpdatesInAnyOrderEndAlike(t *testing.T) {
	updates := []membership.Member{
		{ID: "other", Address: "a:1", Incarnation: 7, State: membership.Live},
		{ID: "other", Address: "a:1", Incarnation: 6, State: membership.Gone},
		{ID: "other", Address: "a:1", Incarnation: 7, State: membership.Suspect, Revision: 2},
		{ID: "other", Address: "a:1", Incarnation: 5, State: membership.Leaving, Revision: 9},
	}
	for first := range updates {
		core, other := pair(t)
		for i := range updates {
			core.Receive(0, membership.Member{ID: "x", Address: "x:1", State: membership.Live},
				updates[(first+i)%len(updates):][:1])
		}
		core.TakeChanges()
		core.Receive(0, membership.Member{ID: "x", Address: "x:1", State: membership.Live}, updates)
		if changes := core.TakeChanges(); len(changes) != 0 {
			t.Fatalf("updates that are not newer changed the table: %v", changes)
		}
		known, _ := core.Lookup(other.ID)
		if known.Incarnation != 7 || known.State != membership.Suspect || known.Revision != 2 {
			t.Fatalf("order from %d ends with %+v", first, known)
		}
	}
}

func TestUpdatesOutOfBoundsAreDropped(t *testing.T) {
	core, other := pair(t)
	updates := []membership.Member{
		{ID: other.ID, Address: other.Address, Incarnation: membership.MaximumIncarnation + 1, State: membership.Gone},
		{ID: "no state", Address: "a:1", Incarnation: 1},
		{ID: "", Address: "a:1", Incarnation: 1, State: membership.Live},
	}
	core.Receive(0, other, updates)
	if got := core.Table(); len(got) != 2 {
		t.Fatalf("the table holds %v", got)
	}
	if known, _ := core.Lookup(other.ID); known.State != membership.Live {
		t.Fatalf("the other node is %v", known.State)
	}
}

func TestMessagesAndTableStayWithinTheirBounds(t *testing.T) {
	core, other := pair(t)
	for i := range 2 * membership.MaximumMembers {
		update := membership.Member{ID: nodeID(i), Address: addressOf(i), Incarnation: 1, State: membership.Live}
		core.Receive(0, other, []membership.Member{update})
	}
	if size := len(core.Table()); size > membership.MaximumMembers+1 {
		t.Fatalf("the table holds %d members", size)
	}
	_, updates := core.Receive(0, other, nil)
	size := 0
	for _, update := range wireAll(updates) {
		size += proto.Size(update)
	}
	if len(updates) > membership.MaximumUpdates || size > membership.MaximumUpdateBytes {
		t.Fatalf("%d updates of %d bytes in a message", len(updates), size)
	}
	reply := core.ReceiveSync(0, other, nil, 0)
	if len(reply.Members) > membership.MaximumSyncMembers || !reply.More {
		t.Fatalf("%d members in a comparison, more: %v", len(reply.Members), reply.More)
	}
}

func TestOnlyOtherNodeDies(t *testing.T) {
	s := joined(t, 2, 12)
	s.nodes[1].alive = false
	eventually(t, s, 30*time.Second, "the survivor sees the node as gone", func() bool {
		return sees(s.nodes[0], s.nodes[1]) == membership.Gone
	})
}

func TestEachRoundProbesEveryMemberOnceInAnotherOrder(t *testing.T) {
	const others = 10
	core, _ := pair(t)
	for i := range others - 1 {
		sender := membership.Member{ID: nodeID(i), Address: addressOf(i), Incarnation: 1, State: membership.Live}
		core.Receive(0, sender, nil)
	}
	var rounds [2][]string
	now := time.Duration(0)
	for round := range rounds {
		for range others {
			var request membership.Request
			request, now = probeOf(t, core, now)
			rounds[round] = append(rounds[round], request.To.ID)
			core.Complete(now, membership.Result{ID: request.ID, Responder: request.To})
		}
		if sorted := slices.Compact(slices.Sorted(slices.Values(rounds[round]))); len(sorted) != others {
			t.Fatalf("a round probed %v", rounds[round])
		}
	}
	if slices.Equal(rounds[0], rounds[1]) {
		t.Fatal("two rounds have the same order")
	}
}

func TestLargeTablesAreComparedInBoundedPasses(t *testing.T) {
	const size = 1000
	s := joined(t, 2, 13)
	for i := 2; i < size; i++ {
		update := membership.Member{ID: nodeID(i), Address: "10.9.9.9:1", Incarnation: 1, State: membership.Leaving}
		s.nodes[0].core.Receive(s.now, s.nodes[1].core.Self(), []membership.Member{update})
	}
	passes, bucket := 1, 0
	reply := s.nodes[0].core.ReceiveSync(s.now, s.nodes[1].core.Self(), nil, bucket)
	seen := len(reply.Members)
	for ; reply.More; passes++ {
		if passes > size/membership.MaximumSyncMembers+2 {
			t.Fatalf("%d comparisons did not end", passes)
		}
		bucket = reply.NextBucket
		reply = s.nodes[0].core.ReceiveSync(s.now, s.nodes[1].core.Self(), nil, bucket)
		seen += len(reply.Members)
	}
	if seen != size {
		t.Fatalf("the passes brought %d of %d members", seen, size)
	}
}
