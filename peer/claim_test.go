package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/claim"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
)

// startNodesWithOwnLists starts a node for each ID, each with a list of all of them.
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

func wantDecision(t *testing.T, node *testNode, key string, want claim.Decision) Claim {
	t.Helper()
	result := node.agent.ClaimRequest(t.Context(), key)
	if result.Decision != want {
		t.Fatalf("%s: decision %d, want %d", node.agent.selfID, result.Decision, want)
	}
	return result
}

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

// TestNoClaimIsWonWhileJoining: a node that has read the machine list but not
// heard of any node yet counts the listed ones as owners.
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
				t.Fatal("won the claim of another holder")
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// TestClaimOutlivesRestartsOfAllNodes: planned restarts, one node after another,
// hand each owner's claims to the next.
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

// TestTwoNodesCutOffFromEachOther: each takes the other for gone, but the machine
// list names both. Once it drops one, the other may run requests again.
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
