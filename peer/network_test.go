package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/membership"
)

// memoryNetwork connects agents by pipes and can cut them from each other.
type memoryNetwork struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	// cut holds pairs {from, to} between which no byte passes.
	cut  map[[2]string]bool
	open map[[2]string][]net.Conn
}

var errCut = errors.New("network: cut")

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners: make(map[string]*pipeListener),
		cut:       make(map[[2]string]bool),
		open:      make(map[[2]string][]net.Conn),
	}
}

func (n *memoryNetwork) listen(address string) net.Listener {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	listener := &pipeListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

func (n *memoryNetwork) dialFrom(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mutex.Lock()
		listener, ok := n.listeners[to]
		cut := n.cut[[2]string{from, to}]
		n.mutex.Unlock()
		if cut {
			<-ctx.Done()
			return nil, errCut
		}
		if !ok {
			return nil, errors.New("network: refused")
		}
		client, server := net.Pipe()
		select {
		case listener.accepted <- server:
		case <-listener.closed:
			return nil, errors.New("network: refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.open[[2]string{from, to}] = append(n.open[[2]string{from, to}], client)
		return client, nil
	}
}

// setCut cuts or heals the way from one address to another: connections end, and
// new ones hang.
func (n *memoryNetwork) setCut(from, to string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	pair := [2]string{from, to}
	n.cut[pair] = cut
	for _, connection := range n.open[pair] {
		connection.Close()
	}
	delete(n.open, pair)
}

// setParted cuts or heals the ways between two sets of nodes.
func (n *memoryNetwork) setParted(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			n.setCut(addressOf(a), addressOf(b), cut)
			n.setCut(addressOf(b), addressOf(a), cut)
		}
	}
}

type pipeListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

func (pipeAddress) Network() string  { return "pipe" }
func (a pipeAddress) String() string { return string(a) }

// testNode is an agent with its server on a memory network.
type testNode struct {
	agent *Agent
	stop  func()
}

func startNode(t *testing.T, network *memoryNetwork, options AgentOptions) *testNode {
	t.Helper()
	transport := &http.Transport{DialContext: network.dialFrom(options.Self.Address)}
	options.HTTPClient = &http.Client{Transport: transport}
	agent := NewAgent(options)
	server := &http.Server{Handler: agent.Handler()}
	listener := network.listen(options.Self.Address)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { server.Serve(listener) })
	running.Go(func() { agent.Run(ctx) })
	return &testNode{agent: agent, stop: sync.OnceFunc(func() {
		cancel()
		server.Close()
		running.Wait()
		transport.CloseIdleConnections()
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

func addressOf(id string) string { return id + ":7000" }

func member(id string) membership.Member {
	return membership.Member{ID: id, Address: addressOf(id), Zone: "a"}
}
