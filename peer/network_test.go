package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
)

// memoryNetwork is an in-memory network with one host per node.
type memoryNetwork struct{ *network.Network }

func newMemoryNetwork() memoryNetwork { return memoryNetwork{network.New(network.Options{Seed: 1})} }

// dialFrom returns a dial function of a process on the host of an address.
func (n memoryNetwork) dialFrom(t *testing.T, address string) func(context.Context, string, string) (net.Conn, error) {
	t.Helper()
	process, err := n.Start(hostOf(address))
	if err != nil {
		t.Fatal(err)
	}
	return process.DialContext
}

// setCut cuts or heals the path from one address to another, in one direction.
func (n memoryNetwork) setCut(from, to string, cut bool) {
	if cut {
		n.Cut(hostOf(from), hostOf(to))
		return
	}
	n.Heal(hostOf(from), hostOf(to))
}

// setPartitioned cuts or heals the paths between two sets of nodes, in both
// directions.
func (n memoryNetwork) setPartitioned(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			n.setCut(addressOf(a), addressOf(b), cut)
			n.setCut(addressOf(b), addressOf(a), cut)
		}
	}
}

// testNode is an agent and its HTTP server on a memoryNetwork.
type testNode struct {
	agent *Agent
	stop  func()
}

// startNode starts an agent and its server on the host of its own address.
func startNode(t *testing.T, hosts memoryNetwork, options AgentOptions) *testNode {
	t.Helper()
	process, err := hosts.Start(hostOf(options.Self.Address))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := process.Listen(options.Self.Address)
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: process.DialContext}
	options.HTTPClient = &http.Client{Transport: transport}
	agent := NewAgent(options)
	server := &http.Server{Handler: agent.Handler()}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { server.Serve(listener) })
	running.Go(func() { agent.Run(ctx) })
	return &testNode{agent: agent, stop: sync.OnceFunc(func() {
		cancel()
		server.Close()
		running.Wait()
		transport.CloseIdleConnections()
		hosts.Kill(hostOf(options.Self.Address), network.KillReset)
	})}
}

// listOf returns a machine list of live nodes.
func listOf(ids ...string) *machinelist.Static { return machinelist.NewStatic(machines(ids...)...) }

func machines(ids ...string) []machinelist.Machine {
	var listed []machinelist.Machine
	for _, id := range ids {
		listed = append(listed, machinelist.Machine{
			ID: id, Address: addressOf(id), Role: machinelist.RoleNode, State: machinelist.StateLive,
		})
	}
	return listed
}

// addressOf derives a node's address from its ID, so that each has its own host.
func addressOf(id string) string {
	sum := xxhash.Sum64String(id)
	return fmt.Sprintf("10.%d.%d.%d:7300", byte(sum), byte(sum>>8), byte(sum>>16))
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func member(id string) membership.Member {
	return membership.Member{ID: id, Address: addressOf(id), Zone: "a"}
}
