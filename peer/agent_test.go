package peer

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

// memoryConfigurationSource is a ConfigurationSource that keeps one record in
// memory.
type memoryConfigurationSource struct {
	mutex    sync.Mutex
	revision policy.Revision
	record   []byte
}

func (k *memoryConfigurationSource) Revision() policy.Revision {
	revision, _ := k.RecordAbove(0)
	return revision
}

func (k *memoryConfigurationSource) RecordAbove(above policy.Revision) (policy.Revision, []byte) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.revision <= above {
		return 0, nil
	}
	return k.revision, k.record
}

func (k *memoryConfigurationSource) Offer(revision policy.Revision, record []byte) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if revision > k.revision {
		k.revision, k.record = revision, record
	}
	return nil
}

// memberStates returns the members' states in an agent's view, by ID.
func memberStates(agent *Agent) map[string]membership.State {
	seen := make(map[string]membership.State)
	for _, known := range agent.Members() {
		seen[known.ID] = known.State
	}
	return seen
}

// wantStates fails the test unless the agent's view holds exactly these members
// and states.
func wantStates(t *testing.T, agent *Agent, want map[string]membership.State) {
	t.Helper()
	got := memberStates(agent)
	if len(got) != len(want) {
		t.Fatalf("%s sees %v, want %v", agent.Self().ID, got, want)
	}
	for id, state := range want {
		if got[id] != state {
			t.Fatalf("%s sees %v, want %v", agent.Self().ID, got, want)
		}
	}
}

func startNodes(t *testing.T, network memoryNetwork, ids ...string) map[string]*testNode {
	t.Helper()
	return startNodesWithList(t, network, listOf(ids...), ids...)
}

func startNodesWithList(t *testing.T, network memoryNetwork, list machinelist.Conn, ids ...string) map[string]*testNode {
	t.Helper()
	nodes := make(map[string]*testNode)
	for i, id := range ids {
		nodes[id] = startNode(t, network, AgentOptions{
			Self: member(id), MachineList: list, Seed: uint64(i + 1), Configurations: &memoryConfigurationSource{},
		})
	}
	return nodes
}

// wantAllLive fails the test unless every node sees exactly the given nodes, all
// live.
func wantAllLive(t *testing.T, nodes map[string]*testNode) {
	t.Helper()
	want := make(map[string]membership.State)
	for id := range nodes {
		want[id] = membership.Live
	}
	for _, node := range nodes {
		wantStates(t, node.agent, want)
	}
}

func stopNodes(nodes map[string]*testNode) {
	for _, node := range nodes {
		node.stop()
	}
}

func TestAgentsJoinThroughTheMachineList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodes(t, network, "n1", "n2", "n3", "n4")
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		wantAllLive(t, nodes)
	})
}

func TestRevisionsSpreadByGossipAndRecordsAreFetchedAndPushed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodes(t, network, "n1", "n2", "n3")
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		record := []byte(`{"revision":4}`)
		revision, err := nodes["n1"].agent.Push(t.Context(), "n2", 4, record)
		if err != nil || revision != 4 {
			t.Fatalf("push: revision %d, error %v", revision, err)
		}
		if revision, _ = nodes["n1"].agent.Push(t.Context(), "n2", 3, []byte("old")); revision != 4 {
			t.Fatalf("revision is %d after a push of an older one, want 4", revision)
		}
		revision, got, err := nodes["n3"].agent.Fetch(t.Context(), "n2", 3)
		if err != nil || revision != 4 || !bytes.Equal(got, record) {
			t.Fatalf("fetch: revision %d, record %q, error %v", revision, got, err)
		}
		if revision, _, err = nodes["n3"].agent.Fetch(t.Context(), "n2", 4); err != nil || revision != 0 {
			t.Fatalf("fetch above the revision in force: revision %d, error %v; want 0, nil", revision, err)
		}
		if _, _, err = nodes["n3"].agent.Fetch(t.Context(), "n9", 0); !errors.Is(err, ErrUnknownMember) {
			t.Fatalf("fetch from an unknown member: error %v, want ErrUnknownMember", err)
		}
		time.Sleep(10 * time.Second)
		seen := nodes["n3"].agent.Members()
		at := slices.IndexFunc(seen, func(m membership.Member) bool { return m.ID == "n2" })
		if seen[at].Revision != 4 {
			t.Fatalf("n3 sees revision %d at n2, want 4", seen[at].Revision)
		}
	})
}

func TestPlannedLeaveIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodes(t, network, "n1", "n2", "n3")
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		nodes["n3"].agent.Leave(context.Background())
		for _, id := range []string{"n1", "n2"} {
			wantStates(t, nodes[id].agent, map[string]membership.State{
				"n1": membership.Live, "n2": membership.Live, "n3": membership.Leaving,
			})
		}
		nodes["n3"].stop()
		for _, id := range []string{"n1", "n2"} {
			wantStates(t, nodes[id].agent, map[string]membership.State{"n1": membership.Live, "n2": membership.Live})
		}
	})
}

func TestServerChangesReachSubscribersInOrder(t *testing.T) {
	agent := NewAgent(AgentOptions{Self: member("n1")})
	var seen []dispatch.ServerState
	agent.SubscribeServers(func(id string, state dispatch.ServerState) {
		seen = append(seen, state)
		if state == dispatch.ServerSuspect {
			agent.ReportServer(id, membership.ServerReport{
				Source: membership.FromReply, Condition: membership.ServerDraining,
			})
		}
	})
	for range membership.DefaultSuspectFailures {
		agent.ReportServer("s1", membership.ServerReport{
			Source: membership.FromConnect, Condition: membership.ServerUnreachable,
		})
	}
	want := []dispatch.ServerState{dispatch.ServerSuspect, dispatch.ServerLeaving}
	if !slices.Equal(seen, want) {
		t.Fatalf("subscriber saw %v, want %v", seen, want)
	}
}

func TestAgentsUnderFailure(t *testing.T) {
	ids := []string{"n1", "n2", "n3", "n4"}
	tests := map[string]func(t *testing.T, network memoryNetwork, list *machinelist.Static, nodes map[string]*testNode){
		"a node cut off for long comes back": func(t *testing.T, network memoryNetwork, _ *machinelist.Static, nodes map[string]*testNode) {
			network.setPartitioned(ids[:1], ids[1:], true)
			time.Sleep(time.Minute)
			wantStates(t, nodes["n1"].agent, map[string]membership.State{"n1": membership.Live})
			network.setPartitioned(ids[:1], ids[1:], false)
		},
		"two halves part and come together": func(t *testing.T, network memoryNetwork, _ *machinelist.Static, nodes map[string]*testNode) {
			network.setPartitioned(ids[:2], ids[2:], true)
			time.Sleep(time.Hour)
			wantStates(t, nodes["n1"].agent, map[string]membership.State{"n1": membership.Live, "n2": membership.Live})
			network.setPartitioned(ids[:2], ids[2:], false)
		},
		"a one-way cut": func(t *testing.T, network memoryNetwork, _ *machinelist.Static, nodes map[string]*testNode) {
			network.setCut(addressOf("n1"), addressOf("n2"), true)
			time.Sleep(time.Minute)
			wantAllLive(t, nodes)
		},
		"a node whose process is frozen and thaws": func(t *testing.T, network memoryNetwork, _ *machinelist.Static, nodes map[string]*testNode) {
			network.Freeze(hostOf(addressOf("n2")))
			time.Sleep(time.Minute)
			wantStates(t, nodes["n1"].agent, map[string]membership.State{
				"n1": membership.Live, "n3": membership.Live, "n4": membership.Live,
			})
			network.Thaw(hostOf(addressOf("n2")))
		},
		"an empty machine list, then none": func(t *testing.T, _ memoryNetwork, list *machinelist.Static, nodes map[string]*testNode) {
			list.Set()
			time.Sleep(time.Minute)
			list.SetDown(true)
			time.Sleep(time.Minute)
			wantAllLive(t, nodes)
			list.SetDown(false)
		},
		"a machine list that names the dead": func(t *testing.T, _ memoryNetwork, list *machinelist.Static, _ map[string]*testNode) {
			list.Set(machines("dead-1", "dead-2", "n1")...)
			time.Sleep(time.Minute)
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, list := newMemoryNetwork(), listOf(ids...)
				nodes := startNodesWithList(t, network, list, ids...)
				defer stopNodes(nodes)
				time.Sleep(10 * time.Second)
				wantAllLive(t, nodes)
				injectFault(t, network, list, nodes)
				time.Sleep(time.Minute)
				wantAllLive(t, nodes)
			})
		})
	}
}

func TestKilledNodeIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := newMemoryNetwork()
		nodes := startNodes(t, hosts, "n1", "n2", "n3")
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		hosts.Kill(hostOf(addressOf("n3")), network.KillVanish)
		time.Sleep(20 * time.Second)
		for _, id := range []string{"n1", "n2"} {
			wantStates(t, nodes[id].agent, map[string]membership.State{"n1": membership.Live, "n2": membership.Live})
		}
	})
}

func TestRestartedNodeReplacesItsEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodes(t, network, "n1", "n2", "n3")
		defer stopNodes(nodes)
		for range 2 {
			time.Sleep(10 * time.Second)
			nodes["n3"].stop()
			self := member("n3")
			self.Incarnation = 1 // as after the clock was set back
			nodes["n3"] = startNode(t, network, AgentOptions{Self: self, MachineList: listOf("n1"), Seed: 9})
		}
		time.Sleep(time.Minute)
		wantAllLive(t, nodes)
	})
}

func TestConnectionSharesFollowTheMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodes(t, network, "n1", "n2", "n3")
		defer stopNodes(nodes)
		spec := membership.ServerSpec{ID: "s1", Zone: "a", Limit: 70}
		shared := membership.ShareableConnections(spec.Limit)
		total := func(ids ...string) int {
			sum := 0
			for _, id := range ids {
				sum += nodes[id].agent.ConnectionShare(spec).Maximum
			}
			return sum
		}
		time.Sleep(10 * time.Second)
		if got := total("n1", "n2", "n3"); got != shared {
			t.Fatalf("three nodes share %d of %d connections", got, shared)
		}
		nodes["n3"].agent.Leave(t.Context())
		if got := total("n1", "n2"); got != shared {
			t.Fatalf("the two remaining nodes share %d of %d connections", got, shared)
		}
	})
}

func TestLeavingServersAreGossiped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		nodes := startNodes(t, network, "n1", "n2", "n3")
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		answeredReport := membership.ServerReport{
			Source: membership.FromHealth, Condition: membership.ServerAnswered, Incarnation: "b",
		}
		nodes["n2"].agent.ReportServer("s2", answeredReport)
		for id, incarnation := range map[string]string{"s1": "a", "s2": "a"} {
			nodes["n1"].agent.ReportServer(id, membership.ServerReport{
				Source: membership.FromHealth, Condition: membership.ServerDraining, Incarnation: incarnation,
			})
		}
		time.Sleep(3 * time.Second) // limit until which a leaving server may receive new work
		want := map[string]map[string]membership.State{
			"n2": {"s1": membership.Leaving, "s2": membership.Live}, // n2 has seen a later incarnation of s2
			"n3": {"s1": membership.Leaving, "s2": membership.Leaving},
		}
		for id, servers := range want {
			for server, state := range servers {
				if got := nodes[id].agent.serverState(server); got != state {
					t.Fatalf("%s sees %s as %v, want %v", id, server, got, state)
				}
			}
		}
	})
}

func (a *Agent) serverState(id string) membership.State {
	a.servers.mutex.Lock()
	defer a.servers.mutex.Unlock()
	return a.servers.core.State(id)
}

func TestNodeThatHasNotJoinedSharesWithListedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listOf("n1", "n2", "n3")
		node := startNode(t, newMemoryNetwork(), AgentOptions{Self: member("n1"), MachineList: list, Seed: 1})
		defer node.stop()
		time.Sleep(time.Second)
		spec := membership.ServerSpec{ID: "s1", Zone: "a", Limit: 70}
		want := membership.ShareableConnections(spec.Limit) / 3
		if got := node.agent.ConnectionShare(spec).Maximum; got != want {
			t.Fatalf("a node that reached neither of the other two has a share of %d connections, want %d", got, want)
		}
	})
}

// Nodes that join one after another synchronize their tables while some nodes
// are in none of them. If listed nodes did not count, each joined node would take
// too large a share of connections. Together they would exceed the server's
// limit, and the server would reject an owner's connection.
func TestJoinedNodesShareWithNodesThatOnlyTheListNames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := listOf("n1", "n2", "n3", "n4", "n5", "n6")
		nodes := startNodesWithList(t, newMemoryNetwork(), list, "n1", "n2")
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		spec := membership.ServerSpec{ID: "s1", Zone: "a", Limit: 70}
		maximum := (membership.ShareableConnections(spec.Limit) + 5) / 6
		for id, node := range nodes {
			if got := node.agent.ConnectionShare(spec).Maximum; got > maximum {
				t.Errorf("%s has a share of %d connections while six nodes are listed, want at most %d", id, got, maximum)
			}
		}
	})
}

func TestRefreshRevisionsLearnsRevisionsWithoutGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ids := []string{"n1", "n2", "n3", "n4"}
		nodes := startNodes(t, newMemoryNetwork(), ids...)
		defer stopNodes(nodes)
		time.Sleep(10 * time.Second)
		for _, id := range ids {
			if _, err := nodes["n1"].agent.Push(t.Context(), id, 7, []byte("record")); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(maximumTick) // each agent checks its configuration source again
		nodes["n1"].agent.RefreshRevisions(t.Context(), 7)
		for _, known := range nodes["n1"].agent.Members() {
			if known.Revision != 7 {
				t.Fatalf("revision of %s is %d, want 7", known.ID, known.Revision)
			}
		}
	})
}
