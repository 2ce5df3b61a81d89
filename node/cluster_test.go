package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

const (
	// clusterNodes exceeds serverConnectionLimit, the number of connections
	// that each server accepts, so some nodes own no connection to a server.
	clusterNodes          = 12
	serverConnectionLimit = 6
	clusterGroups         = 2
)

// countingListener records the peak number of concurrently open connections.
type countingListener struct {
	net.Listener
	mutex      sync.Mutex
	open, peak int
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open++
	l.peak = max(l.peak, l.open)
	return &countedConn{Conn: conn, listener: l}, nil
}

// resetPeak discards the peak of the start-up phase, in which the nodes do not
// know each other yet.
func (l *countingListener) resetPeak() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peak = l.open
}

func (l *countingListener) peakConnections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.peak
}

type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mutex.Lock()
		defer c.listener.mutex.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}

// cluster runs more nodes than the servers have connections for.
type cluster struct {
	*testEnv
	nodes       []*clusterNode
	listeners   []*countingListener
	nodeCount   int
	httpServers []*http.Server
}

// clusterNode is one node of a cluster. ended receives the result of Run.
type clusterNode struct {
	id, ip string
	node   *node.Node
	stop   context.CancelFunc
	ended  chan error
}

// withCluster runs a test against a cluster whose nodes have applied the
// configuration and know each other.
func withCluster(t *testing.T, run func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{testEnv: &testEnv{t: t, network: network.New(network.Options{Seed: 1}), log: &syncBuffer{}}, nodeCount: clusterNodes}
		c.memory = store.NewMemory(store.MemoryOptions{})
		c.startLimitedServers()
		config := c.configuration(clusterGroups)
		for index := range config.Services[0].Groups {
			config.Services[0].Groups[index].Servers[0].Connections = serverConnectionLimit
		}
		c.putConfiguration(1, config)
		c.startNodes()
		c.client = c.newClient()
		time.Sleep(settleTime)
		for _, listener := range c.listeners {
			listener.resetPeak()
		}
		run(t, c)
		c.shutDownCluster()
	})
}

// startLimitedServers starts servers that reject connections above
// serverConnectionLimit.
func (c *cluster) startLimitedServers() {
	for index := range clusterGroups {
		server, err := emulator.NewServer(emulator.ServerOptions{
			ID: serverID(index), Snapshots: []uint64{1}, Slots: 4, Seed: uint64(index + 1), Connections: serverConnectionLimit,
			ServiceTime: emulator.Distribution{Kind: emulator.Fixed, Mean: serviceTime},
		})
		c.check(err)
		process, err := c.network.Start(strings.Split(serverAddress(index), ":")[0])
		c.check(err)
		listener, err := process.Listen(serverAddress(index))
		c.check(err)
		counting := &countingListener{Listener: listener}
		go func() { _ = server.Serve(counting) }()
		c.servers = append(c.servers, server)
		c.listeners = append(c.listeners, counting)
	}
}

func (c *cluster) startNodes() {
	var machines []machinelist.Machine
	for index := range c.nodeCount {
		n := &clusterNode{id: fmt.Sprintf("node-%02d", index), ip: fmt.Sprintf("10.0.2.%d", index+1)}
		c.nodes = append(c.nodes, n)
		machines = append(machines, machinelist.Machine{
			ID: n.id, Address: n.ip + ":7103", Zone: zoneOf(index),
			Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: "1",
		})
	}
	c.machines = machinelist.NewStatic(machines...)
	for index, n := range c.nodes {
		c.startClusterNode(index, n)
	}
}

func zoneOf(index int) string { return []string{"zone-a", "zone-b"}[index%2] }

func (c *cluster) startClusterNode(index int, n *clusterNode) {
	process, err := c.network.Start(n.ip)
	c.check(err)
	nodeSettings := settings.Default()
	nodeSettings.Node = settings.Node{ID: n.id, Zone: zoneOf(index)}
	nodeSettings.Listen = settings.Listen{Caller: n.ip + ":7101", Operator: n.ip + ":7102", Peer: n.ip + ":7103"}
	n.node, err = node.New(node.Options{
		Settings: nodeSettings, Network: process, Store: c.memory, MachineList: c.machines,
		Logger: zerolog.New(c.log).Level(zerolog.InfoLevel), Seed: uint64(index + 1),
	})
	c.check(err)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.ended = make(chan error, 1)
	go func() { n.ended <- n.node.Run(ctx) }()
	<-n.node.Listening()
}

// stopNode performs a planned stop of a node; it is a no-op if the node has
// ended.
func (c *cluster) stopNode(n *clusterNode) {
	n.stop()
	if err := <-n.ended; err != nil && !errors.Is(err, node.ErrAborted) {
		c.t.Errorf("%s: Run returned %v", n.id, err)
	}
	n.ended <- nil
}

func (c *cluster) shutDownCluster() {
	var stops sync.WaitGroup
	for _, n := range c.nodes {
		stops.Go(func() { c.stopNode(n) })
	}
	stops.Wait()
	c.client.CloseIdleConnections()
	for _, httpServer := range c.httpServers {
		_ = httpServer.Close()
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
	c.network.Close()
}

// queryNode sends a request to one node and waits for the response.
func (c *cluster) queryNode(n *clusterNode, requestID string, repeatable bool) response {
	return c.queryNodeWithDeadline(c.t.Context(), n, requestID, repeatable, 5*time.Second)
}

func (c *cluster) queryNodeWithDeadline(ctx context.Context, n *clusterNode, requestID string, repeatable bool, deadline time.Duration) response {
	document := fmt.Sprintf(`{"request_id":%q,"class":"normal","deadline_ms":%d,"repeatable":%t,"body":"orders"}`,
		requestID, deadline.Milliseconds(), repeatable)
	return c.postTo(ctx, n.ip+":7101", document)
}

// metricLine returns the first line of a node's metrics that has the prefix, or
// "" if there is none.
func (c *cluster) metricLine(n *clusterNode, prefix string) string {
	reply, err := c.client.Get("http://" + n.ip + ":7102/metrics")
	c.check(err)
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	c.check(err)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, prefix) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

func TestMoreNodesThanConnections(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		var queries sync.WaitGroup
		for round := range 5 {
			for _, n := range c.nodes {
				queries.Go(func() {
					got := c.queryNode(n, fmt.Sprintf("%s-%d", n.id, round), true)
					if got.status != http.StatusOK || got.answer.Coverage != 1 {
						t.Errorf("%s: status %d, coverage %g, %v %v", n.id, got.status, got.answer.Coverage, got.problem, got.err)
					}
				})
			}
			queries.Wait()
		}
		forwarding := 0
		for _, n := range c.nodes {
			if c.metricLine(n, `banksail_forwards_total{outcome="replied"}`) != `banksail_forwards_total{outcome="replied"} 0` {
				forwarding++
			}
		}
		if forwarding == 0 {
			t.Error("no node forwarded a sub-request")
		}
		for index, listener := range c.listeners {
			if peak := listener.peakConnections(); peak > serverConnectionLimit {
				t.Errorf("server %d had %d open connections, limit is %d", index, peak, serverConnectionLimit)
			}
		}
	})
}
