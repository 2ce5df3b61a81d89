package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
)

// startNodesWithOwnLists starts a node for each ID, each with its own machine
// list of all of them, and waits until they have joined.
func startNodesWithOwnLists(t *testing.T, network memoryNetwork, ids ...string) map[string]*testNode {
	t.Helper()
	nodes := make(map[string]*testNode)
	for _, id := range ids {
		nodes[id] = startNode(t, network, AgentOptions{Self: member(id), MachineList: listOf(ids...), Seed: 1})
	}
	time.Sleep(3 * time.Second)
	synctest.Wait()
	return nodes
}

func stopAll(nodes map[string]*testNode) {
	for _, node := range nodes {
		node.stop()
	}
}

// wantDecision claims a key at a node and checks the decision.
func wantDecision(t *testing.T, node *testNode, key string, want claim.Decision) Claim {
	t.Helper()
	result := node.agent.ClaimRequest(t.Context(), key)
	if result.Decision != want {
		t.Fatalf("%s: decision %d, want %d", node.agent.selfID, result.Decision, want)
	}
	return result
}

// TestClaimOutlivesItsHolder: a claim remains in force after its holder has
// stopped, and after the holder has restarted with a new incarnation.
func TestClaimOutlivesItsHolder(t *testing.T) {
	for _, ids := range [][]string{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e", "f"}} {
		synctest.Test(t, func(t *testing.T) {
			network := newMemoryNetwork()
			nodes := startNodesWithOwnLists(t, network, ids...)
			defer func() { stopAll(nodes) }()
			wantDecision(t, nodes["a"], "request", claim.Won)
			nodes["a"].stop()
			for _, id := range ids[1:] {
				wantDecision(t, nodes[id], "request", claim.Lost)
			}
			restarted := member("a")
			restarted.Incarnation = uint64(time.Now().UnixMilli())
			nodes["a"] = startNode(t, network, AgentOptions{Self: restarted, MachineList: listOf(ids...), Seed: 2})
			time.Sleep(3 * time.Second)
			wantDecision(t, nodes["a"], "request", claim.Lost)
			wantDecision(t, nodes["a"], "another", claim.Won)
		})
	}
}

func TestReleasedClaimCanBeWonAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startNodesWithOwnLists(t, newMemoryNetwork(), "a", "b", "c", "d")
		defer stopAll(nodes)
		won := wantDecision(t, nodes["a"], "request", claim.Won)
		nodes["a"].agent.ReleaseRequest(t.Context(), won)
		wantDecision(t, nodes["b"], "request", claim.Won)
	})
}

func TestNoClaimWithoutTheOnlyOtherNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodesWithOwnLists(t, network, "a", "b")
		defer stopAll(nodes)
		network.setCut(addressOf("a"), addressOf("b"), true)
		wantDecision(t, nodes["a"], "request", claim.Unavailable)
	})
}

func TestNoClaimBeforeOtherNodesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := machinelist.NewStatic()
		node := startNode(t, newMemoryNetwork(), AgentOptions{Self: member("a"), MachineList: empty, Seed: 1})
		defer node.stop()
		time.Sleep(time.Minute)
		wantDecision(t, node, "request", claim.Unavailable)
	})
}

// TestNoClaimIsWonWhileJoining: a node that has read the machine list, but does
// not have any other node in its table yet, counts the listed nodes as owners.
func TestNoClaimIsWonWhileJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodesWithOwnLists(t, network, "a", "b")
		defer func() { stopAll(nodes) }()
		wantDecision(t, nodes["a"], "request", claim.Won)
		nodes["a"].stop()
		network.setCut(addressOf("a"), addressOf("b"), true)
		restarted := member("a")
		restarted.Incarnation = uint64(time.Now().UnixMilli())
		nodes["a"] = startNode(t, network, AgentOptions{Self: restarted, MachineList: listOf("a", "b"), Seed: 2})
		for range 200 {
			if result := nodes["a"].agent.ClaimRequest(t.Context(), "request"); result.Decision == claim.Won {
				t.Fatal("won a claim that another holder has")
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// TestClaimOutlivesRestartsOfAllNodes: in a rolling restart each owner hands over
// its claims, so that none is lost.
func TestClaimOutlivesRestartsOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"a", "b", "c", "d", "e"}
		network := newMemoryNetwork()
		nodes := startNodesWithOwnLists(t, network, ids...)
		defer func() { stopAll(nodes) }()
		keys := []string{"one", "two", "three", "four", "five"}
		for _, key := range keys {
			wantDecision(t, nodes["a"], key, claim.Won)
		}
		for _, id := range ids {
			nodes[id].stop()
			time.Sleep(5 * time.Second)
			restarted := member(id)
			restarted.Incarnation = uint64(time.Now().UnixMilli())
			nodes[id] = startNode(t, network, AgentOptions{Self: restarted, MachineList: listOf(ids...), Seed: 2})
			time.Sleep(5 * time.Second)
		}
		for _, key := range keys {
			wantDecision(t, nodes["b"], key, claim.Lost)
		}
	})
}

// TestTwoNodesCutOffFromEachOther: after a network partition each node considers
// the other one gone, but the machine list contains both, so neither wins claims.
// Once one is removed from the list, the other may run requests again.
func TestTwoNodesCutOffFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		list := listOf("a", "b")
		nodes := make(map[string]*testNode)
		for _, id := range []string{"a", "b"} {
			nodes[id] = startNode(t, network, AgentOptions{Self: member(id), MachineList: list, Seed: 1})
		}
		defer func() { stopAll(nodes) }()
		time.Sleep(3 * time.Second)
		network.setCut(addressOf("a"), addressOf("b"), true)
		network.setCut(addressOf("b"), addressOf("a"), true)
		time.Sleep(5 * time.Minute)
		wantStates(t, nodes["b"].agent, map[string]membership.State{"b": membership.Live})
		wantDecision(t, nodes["b"], "request", claim.Unavailable)
		list.Set(machines("b")...)
		time.Sleep(time.Minute)
		wantDecision(t, nodes["b"], "request", claim.Won)
	})
}
