package node

import (
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

func TestStoppingNodeKeepsItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, limit = "10.0.0.9:9000", 70
		chosen := settings.Default()
		chosen.Node = settings.Node{ID: "node-1", Zone: "zone-a"}
		n, err := New(Options{
			Settings: chosen, Network: NewSystemNetwork(0), Store: store.NewMemory(store.MemoryOptions{}),
			MachineList: machinelist.NewStatic(), Logger: zerolog.Nop(), Seed: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		n.shareConnections()
		space := coverage.Range{End: 1}
		n.configure(1, policy.Config{Services: []policy.Service{{Name: "catalog", KeySpace: space, Groups: []policy.Group{{
			Name: "group", Range: space, Servers: []policy.Server{{ID: "server", Address: address, Connections: limit}},
		}}}}})
		before := n.connectionsTo(address)
		if before <= 1 {
			t.Fatalf("%d connections to begin with", before)
		}
		n.stopping.Store(true)
		n.agent.Leave(t.Context())
		n.shareConnections()
		if after := n.connectionsTo(address); after != before {
			t.Errorf("%d connections while stopping, %d before", after, before)
		}
		n.Abort()
	})
}
