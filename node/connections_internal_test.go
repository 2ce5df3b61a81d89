package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

// nodeMachine returns a node's entry in the machine list.
func nodeMachine(id, ip string) machinelist.Machine {
	return machinelist.Machine{
		ID: id, Address: ip + ":7103", Zone: "zone-a",
		Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: "1",
	}
}

// startTestNode starts a node on its own host; stop performs a planned stop and
// waits for its end.
func startTestNode(t *testing.T, simNetwork *network.Network, machines machinelist.Conn, id, ip string) (n *Node, stop func()) {
	t.Helper()
	process, err := simNetwork.Start(ip)
	if err != nil {
		t.Fatal(err)
	}
	nodeSettings := settings.Default()
	nodeSettings.Node = settings.Node{ID: id, Zone: "zone-a"}
	nodeSettings.Listen = settings.Listen{Caller: ip + ":7101", Operator: ip + ":7102", Peer: ip + ":7103"}
	nodeSettings.Stop.Grace = 10 * time.Second
	n, err = New(Options{
		Settings: nodeSettings, Network: process, Store: store.NewMemory(store.MemoryOptions{}),
		MachineList: machines, Logger: zerolog.Nop(), Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	return n, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func TestStoppingNodeKeepsConnectionShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address, limit = "10.0.0.9:9000", 70
		simNetwork := network.New(network.Options{Seed: 1})
		defer simNetwork.Close()
		machines := machinelist.NewStatic(nodeMachine("node-1", "10.0.0.1"), nodeMachine("node-2", "10.0.0.2"))
		n, stop := startTestNode(t, simNetwork, machines, "node-1", "10.0.0.1")
		_, stopOther := startTestNode(t, simNetwork, machines, "node-2", "10.0.0.2")
		time.Sleep(5 * time.Second)
		space := coverage.Range{End: 1}
		n.configure(1, policy.Config{Services: []policy.Service{{Name: "catalog", KeySpace: space, Groups: []policy.Group{{
			Name: "group", Range: space, Servers: []policy.Server{{ID: "server", Address: address, Connections: limit}},
		}}}}})
		share := n.connectionLimit(address)
		if share <= 1 || share > limit/2 {
			t.Errorf("one of two nodes has %d of %d connections, want 2 to half of them", share, limit)
		}
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			stop()
		}()
		time.Sleep(5 * time.Second)
		if kept := n.connectionLimit(address); kept != share {
			t.Errorf("share is %d connections while stopping, want %d as before", kept, share)
		}
		<-stopped
		stopOther()
	})
}
