package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/machinelist"
)

func TestServersOfTheMachineListReachSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := machinelist.Machine{
			ID: "s1", Address: "s1:80", Role: machinelist.RoleServer, State: machinelist.StateLive, Incarnation: "a",
		}
		list := machinelist.NewStatic(machine)
		node := startNode(t, newMemoryNetwork(), AgentOptions{Self: member("n1"), MachineList: list, Seed: 1})
		defer node.stop()
		var mutex sync.Mutex
		seen := make(map[string]dispatch.ServerState)
		node.agent.SubscribeServers(func(id string, state dispatch.ServerState) {
			mutex.Lock()
			defer mutex.Unlock()
			seen[id] = state
		})
		time.Sleep(5 * time.Second)
		machine.State = machinelist.StateLeaving
		list.Set(machine)
		time.Sleep(3 * time.Second) // limit until which a leaving server may receive new work
		mutex.Lock()
		defer mutex.Unlock()
		if seen["s1"] != dispatch.ServerLeaving {
			t.Fatalf("the leaving server is in state %d, want ServerLeaving", seen["s1"])
		}
	})
}

// replaceableList is a machine list that can be replaced by another one.
type replaceableList struct {
	machinelist.Conn
	replacement atomic.Pointer[machinelist.Static]
}

func (l *replaceableList) current() machinelist.Conn {
	if next := l.replacement.Load(); next != nil {
		return next
	}
	return l.Conn
}

func (l *replaceableList) Get(ctx context.Context) (machinelist.List, error) {
	return l.current().Get(ctx)
}

func (l *replaceableList) Watch(ctx context.Context, after uint64, wait time.Duration) (machinelist.List, error) {
	return l.current().Watch(ctx, after, wait)
}

// The machine list is replaced by one with a lower version. A watch after the
// former version reports no change until the new list's version exceeds it, so
// the agent reads the whole list from time to time.
func TestMachineListIsReadAgainAfterItsVersionDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := machinelist.Machine{
			ID: "s1", Address: "s1:80", Role: machinelist.RoleServer, State: machinelist.StateLive, Incarnation: "a",
		}
		original := machinelist.NewStatic(machine)
		for range 10 {
			original.Set(machine)
		}
		list := &replaceableList{Conn: original}
		node := startNode(t, newMemoryNetwork(), AgentOptions{Self: member("n1"), MachineList: list, Seed: 1})
		defer node.stop()
		var state atomic.Int64
		node.agent.SubscribeServers(func(_ string, reported dispatch.ServerState) { state.Store(int64(reported)) })
		time.Sleep(5 * time.Second)
		machine.State = machinelist.StateLeaving
		list.replacement.Store(machinelist.NewStatic(machine))
		time.Sleep((maximumUnchangedWatches + 2) * listWatchTimeout)
		if got := dispatch.ServerState(state.Load()); got != dispatch.ServerLeaving {
			t.Errorf("the leaving server is in state %d, want ServerLeaving", got)
		}
	})
}
