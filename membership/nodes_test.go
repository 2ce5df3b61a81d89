package membership_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
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

func TestDeafNodeBuriesNobodyElse(t *testing.T) {
	s := joined(t, testSize, 14)
	s.blocked = func(_, to *simulatedNode) bool { return to.index == 1 }
	others := append(s.nodes[:1:1], s.nodes[2:]...)
	neverGone(t, s, 3*time.Minute, others, others)
	if !allSee(others, s.nodes[1:2], membership.Gone) {
		t.Fatal("the deaf node is not gone")
	}
	if !allSee(others, others, membership.Live) {
		t.Fatal("the others do not see each other as live")
	}
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

func TestOnlyOtherNodeDies(t *testing.T) {
	s := joined(t, 2, 12)
	s.nodes[1].alive = false
	eventually(t, s, 30*time.Second, "the survivor sees the node as gone", func() bool {
		return sees(s.nodes[0], s.nodes[1]) == membership.Gone
	})
}

func TestLossyNetworkBuriesNobody(t *testing.T) {
	const lossPercent = 10
	s := joined(t, testSize, 15)
	s.blocked = func(_, _ *simulatedNode) bool { return s.random.IntN(100) < lossPercent }
	neverGone(t, s, 5*time.Minute, s.nodes, s.nodes)
}

// Two processes that claim one ID never agree, but do not harm the others.
func TestTwoNodesWithOneID(t *testing.T) {
	s := joined(t, testSize, 16)
	twin := &simulatedNode{index: len(s.nodes), id: nodeID(3)}
	s.nodes = append(s.nodes, twin)
	s.startAs(twin, nodeID(3), 17, 2)
	s.listAll()
	others := append(s.nodes[4:testSize:testSize], s.nodes[:3]...)
	before := s.meanBytes()
	const during = 2 * time.Minute
	neverGone(t, s, during, others, others)
	if rate := (s.meanBytes() - before) / during.Seconds(); rate > controlBudget {
		t.Fatalf("%.0f bytes a second and node", rate)
	}
}

// controlBudget is what control may cost a node, in bytes a second.
const controlBudget = 9000

func TestTrafficStaysWithinTheBudgetWhenAllChangesAllTheTime(t *testing.T) {
	s := joined(t, 2*testSize, 18)
	before, begin := s.meanBytes(), s.now
	for revision := range policy.Revision(60) {
		for _, node := range s.nodes {
			node.core.SetRevision(revision + 1)
		}
		s.nodes[int(revision)%len(s.nodes)].frozenUntil = s.now + 3*time.Second
		s.runUntil(s.now + time.Second)
	}
	rate := (s.meanBytes() - before) / (s.now - begin).Seconds()
	t.Logf("%.0f bytes a second and node", rate)
	if rate > controlBudget {
		t.Fatalf("%.0f bytes a second and node, the budget is %d", rate, controlBudget)
	}
}
