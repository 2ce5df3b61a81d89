package membership_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/gossiptest"
	"github.com/banksail/banksail/policy"
)

const testSize = 24

// newJoinedSimulation returns a simulation whose nodes all see each other as live.
func newJoinedSimulation(t testing.TB, size int, seed uint64) *gossiptest.Simulation {
	t.Helper()
	s := gossiptest.New(size, seed)
	s.ListAllNodes()
	if _, ok := s.RunUntilTrue(2*time.Minute, func() bool { return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live) }); !ok {
		t.Fatal("the nodes did not join")
	}
	return s
}

// assertNeverGone advances virtual time and fails the test if an observer ever sees a
// subject as gone.
func assertNeverGone(t *testing.T, s *gossiptest.Simulation, duration time.Duration, observers, subjects []*gossiptest.Node) {
	t.Helper()
	for end := s.Now + duration; s.Now < end; s.RunUntil(s.Now + 100*time.Millisecond) {
		for _, observer := range observers {
			for _, subject := range subjects {
				if gossiptest.StateSeen(observer, subject) == membership.Gone {
					t.Fatalf("%s is seen as gone", gossiptest.NodeID(subject.Index))
				}
			}
		}
	}
}

func eventually(t *testing.T, s *gossiptest.Simulation, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	if _, ok := s.RunUntilTrue(limit, condition); !ok {
		t.Fatalf("not within %v: %s", limit, what)
	}
}

func TestCrashedNodeBecomesGone(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 1)
	s.Nodes[3].Alive = false
	survivors := append(s.Nodes[:3:3], s.Nodes[4:]...)
	eventually(t, s, 30*time.Second, "every survivor sees the node as gone", func() bool {
		return gossiptest.AllSeeState(survivors, s.Nodes[3:4], membership.Gone)
	})
	if !gossiptest.AllSeeState(survivors, survivors, membership.Live) {
		t.Fatal("a survivor is not seen as live")
	}
}

func TestBrieflyFrozenNodeRefutesSuspicion(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 2)
	frozen := s.Nodes[5]
	frozen.FrozenUntil = s.Now + 5*time.Second
	eventually(t, s, 5*time.Second, "somebody suspects the node", func() bool {
		return gossiptest.StateSeen(s.Nodes[0], frozen) == membership.Suspect
	})
	assertNeverGone(t, s, 30*time.Second, s.Nodes, []*gossiptest.Node{frozen})
	if !gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live) {
		t.Fatal("the nodes do not see each other as live again")
	}
}

func TestLongFrozenNodeRejoinsWithoutRemovals(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 3)
	frozen := s.Nodes[5]
	frozen.FrozenUntil = s.Now + 2*time.Minute
	s.RunUntil(frozen.FrozenUntil)
	if gossiptest.StateSeen(s.Nodes[0], frozen) != membership.Gone {
		t.Fatal("the frozen node is not gone")
	}
	assertNeverGone(t, s, 30*time.Second, []*gossiptest.Node{frozen}, append(s.Nodes[:5:5], s.Nodes[6:]...))
	eventually(t, s, 30*time.Second, "all see each other as live", func() bool {
		return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live)
	})
}

func TestOneWayCutRemovesNoNode(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 4)
	s.Blocked = func(from, to *gossiptest.Node) bool { return from.Index == 1 && to.Index == 2 }
	assertNeverGone(t, s, 2*time.Minute, s.Nodes, s.Nodes)
}

func TestNodeThatReceivesNothingRemovesNoOther(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 14)
	s.Blocked = func(_, to *gossiptest.Node) bool { return to.Index == 1 }
	others := append(s.Nodes[:1:1], s.Nodes[2:]...)
	assertNeverGone(t, s, 3*time.Minute, others, others)
	if !gossiptest.AllSeeState(others, s.Nodes[1:2], membership.Gone) {
		t.Fatal("the node that receives nothing is not gone")
	}
	if !gossiptest.AllSeeState(others, others, membership.Live) {
		t.Fatal("the others do not see each other as live")
	}
}

func TestPartitionedRegionsRejoin(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 5)
	half := testSize / 2
	s.Blocked = func(from, to *gossiptest.Node) bool { return (from.Index < half) != (to.Index < half) }
	s.RunUntil(s.Now + time.Hour)
	if !gossiptest.AllSeeState(s.Nodes[:half], s.Nodes[half:], membership.Gone) || !gossiptest.AllSeeState(s.Nodes[:half], s.Nodes[:half], membership.Live) {
		t.Fatal("one side does not see the other side as gone and itself as live")
	}
	s.Blocked = func(_, _ *gossiptest.Node) bool { return false }
	assertNeverGone(t, s, time.Minute, s.Nodes[:half], s.Nodes[:half])
	eventually(t, s, 2*time.Minute, "all see each other as live", func() bool {
		return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live)
	})
}

func TestMachineListIsOnlyAHint(t *testing.T) {
	s := gossiptest.New(8, 6)
	dead := membership.ListedNode{ID: "dead", Address: "10.0.3.1:7300", Zone: "zone-0"}
	s.SetMachineList(dead, gossiptest.ListEntryOf(0), gossiptest.ListEntryOf(1))
	eventually(t, s, time.Minute, "nodes that the list lacks are known", func() bool {
		return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live)
	})
	s.SetMachineList(dead)
	s.RunUntil(s.Now + time.Minute)
	s.SetMachineList()
	s.RunUntil(s.Now + time.Minute)
	if !gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live) {
		t.Fatal("the machine list removed a member")
	}
	if _, known := s.Nodes[0].Core.Lookup("dead"); known {
		t.Fatal("the machine list added a member that never replied")
	}
}

func TestRestartsWithTheSameID(t *testing.T) {
	for name, incarnation := range map[string]uint64{"a later clock": 9, "the same clock": 1, "no clock": 0} {
		t.Run(name, func(t *testing.T) {
			s := newJoinedSimulation(t, testSize, 7)
			for restart := range uint64(2) {
				s.Start(s.Nodes[4], 70+restart, incarnation)
				s.Nodes[4].Core.ObserveList([]membership.ListedNode{gossiptest.ListEntryOf(0), gossiptest.ListEntryOf(1)})
				s.RunUntil(s.Now + 2*time.Second)
			}
			eventually(t, s, time.Minute, "all see the new life as live", func() bool {
				return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live) && allKnowIncarnation(s, 4)
			})
		})
	}
}

// allKnowIncarnation reports whether all nodes know the current incarnation of a node.
func allKnowIncarnation(s *gossiptest.Simulation, index int) bool {
	for _, observer := range s.Nodes {
		known, _ := observer.Core.Lookup(gossiptest.NodeID(index))
		if known.Incarnation != s.Nodes[index].Core.Self().Incarnation {
			return false
		}
	}
	return true
}

func TestFlappingNodeRecovers(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 8)
	for range 10 {
		s.Nodes[2].FrozenUntil = s.Now + 3*time.Second
		s.RunUntil(s.Now + 4*time.Second)
	}
	eventually(t, s, time.Minute, "all see each other as live", func() bool {
		return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live)
	})
}

func TestHalfOfTheNodesCrash(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 9)
	half := testSize / 2
	for _, node := range s.Nodes[half:] {
		node.Alive = false
	}
	eventually(t, s, time.Minute, "the rest see the dead as gone", func() bool {
		return gossiptest.AllSeeState(s.Nodes[:half], s.Nodes[half:], membership.Gone)
	})
	if !gossiptest.AllSeeState(s.Nodes[:half], s.Nodes[:half], membership.Live) {
		t.Fatal("a survivor is not seen as live")
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func() []int {
		s := newJoinedSimulation(t, testSize, 10)
		s.Nodes[0].Alive = false
		s.RunUntil(s.Now + time.Minute)
		var bytes []int
		for _, node := range s.Nodes {
			bytes = append(bytes, node.Bytes)
		}
		return bytes
	}
	first, second := run(), run()
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("node %d sent and received %d bytes, then %d", i, first[i], second[i])
		}
	}
}

func TestTombstonesExpireUnlessListed(t *testing.T) {
	const tombstoneTime = 5 * time.Minute
	s := gossiptest.NewWithTombstoneTime(6, 11, tombstoneTime)
	s.ListAllNodes()
	s.RunUntil(time.Minute)
	s.Nodes[5].Alive = false
	s.RunUntil(s.Now + 2*tombstoneTime)
	if gossiptest.StateSeen(s.Nodes[0], s.Nodes[5]) != membership.Gone {
		t.Fatal("a gone member on the machine list was removed")
	}
	s.SetMachineList()
	s.RunUntil(s.Now + 2*tombstoneTime)
	if gossiptest.StateSeen(s.Nodes[0], s.Nodes[5]) != membership.Gone {
		t.Fatal("an empty machine list removed a gone member")
	}
	s.SetMachineList(gossiptest.ListEntryOf(0), gossiptest.ListEntryOf(1))
	s.RunUntil(s.Now + 2*tombstoneTime)
	if _, known := s.Nodes[0].Core.Lookup(gossiptest.NodeID(5)); known {
		t.Fatal("a tombstone did not expire")
	}
}

func TestOnlyOtherNodeCrashes(t *testing.T) {
	s := newJoinedSimulation(t, 2, 12)
	s.Nodes[1].Alive = false
	eventually(t, s, 30*time.Second, "the survivor sees the node as gone", func() bool {
		return gossiptest.StateSeen(s.Nodes[0], s.Nodes[1]) == membership.Gone
	})
}

func TestPacketLossRemovesNoNode(t *testing.T) {
	const lossPercent = 10
	s := newJoinedSimulation(t, testSize, 15)
	s.Blocked = func(_, _ *gossiptest.Node) bool { return s.Random.IntN(100) < lossPercent }
	assertNeverGone(t, s, 5*time.Minute, s.Nodes, s.Nodes)
}

// Two processes with the same ID never converge but must not harm other nodes.
func TestTwoNodesWithOneID(t *testing.T) {
	s := newJoinedSimulation(t, testSize, 16)
	twin := &gossiptest.Node{Index: len(s.Nodes), ID: gossiptest.NodeID(3)}
	s.Nodes = append(s.Nodes, twin)
	s.StartAs(twin, gossiptest.NodeID(3), 17, 2)
	s.ListAllNodes()
	others := append(s.Nodes[4:testSize:testSize], s.Nodes[:3]...)
	before := meanBytes(s)
	const observation = 2 * time.Minute
	assertNeverGone(t, s, observation, others, others)
	if rate := (meanBytes(s) - before) / observation.Seconds(); rate > controlTrafficBudget {
		t.Fatalf("%.0f bytes per second and node", rate)
	}
}

// controlTrafficBudget is the maximum control traffic of a node in bytes per second.
const controlTrafficBudget = 9000

func TestTrafficBudgetUnderConstantChange(t *testing.T) {
	s := newJoinedSimulation(t, 2*testSize, 18)
	before, begin := meanBytes(s), s.Now
	for revision := range policy.Revision(60) {
		for _, node := range s.Nodes {
			node.Core.SetRevision(revision + 1)
		}
		s.Nodes[int(revision)%len(s.Nodes)].FrozenUntil = s.Now + 3*time.Second
		s.RunUntil(s.Now + time.Second)
	}
	rate := (meanBytes(s) - before) / (s.Now - begin).Seconds()
	t.Logf("%.0f bytes per second and node", rate)
	if rate > controlTrafficBudget {
		t.Fatalf("%.0f bytes per second and node, the budget is %d", rate, controlTrafficBudget)
	}
}
