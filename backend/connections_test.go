package backend_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/backend"
)

// pipeNetwork connects a client to one HTTP server through in-memory pipes and
// counts the open connections.
type pipeNetwork struct {
	conns     chan net.Conn
	dialDelay time.Duration

	closed  sync.Once
	mutex   sync.Mutex
	open    int
	highest int
	dials   int
}

type pipeConn struct {
	net.Conn
	network *pipeNetwork
	once    sync.Once
}

func (c *pipeConn) Close() error {
	c.once.Do(func() { c.network.addOpen(-1) })
	return c.Conn.Close()
}

func (n *pipeNetwork) addOpen(change int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.open += change
	n.highest = max(n.highest, n.open)
	if change > 0 {
		n.dials++
	}
}

func (n *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	time.Sleep(n.dialDelay)
	near, far := net.Pipe()
	n.addOpen(1)
	n.conns <- far
	return &pipeConn{Conn: near, network: n}, nil
}

func (n *pipeNetwork) counts() (open, highest, dials int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.open, n.highest, n.dials
}

func (n *pipeNetwork) Accept() (net.Conn, error) {
	conn, ok := <-n.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (n *pipeNetwork) Close() error {
	n.closed.Do(func() { close(n.conns) })
	return nil
}

func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// replyDoneAfter replies to each query with StatusDone after the service time.
func replyDoneAfter(serviceTime time.Duration) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		query := backend.Request{}
		_ = json.NewDecoder(request.Body).Decode(&query)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(writer, strings.Replace(doneReply, "a1", query.AttemptID, 1))
	}
}

// runOnVirtualClock runs a test on a virtual clock with a client and a server
// on a pipeNetwork, and checks that no connection stays open.
func runOnVirtualClock(t *testing.T, options backend.ClientOptions, test func(*testing.T, *backend.Client, *pipeNetwork)) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{conns: make(chan net.Conn), dialDelay: time.Millisecond}
		server := &http.Server{Handler: replyDoneAfter(10 * time.Millisecond)}
		go server.Serve(network)
		options.Dial = network.dial
		client := backend.NewClient(options)
		test(t, client, network)
		client.CloseIdleConnections()
		server.Close()
		synctest.Wait()
		if open, _, _ := network.counts(); open != 0 {
			t.Errorf("%d connections are left open", open)
		}
	})
}

func runQueries(t *testing.T, client *backend.Client, count int) {
	t.Helper()
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			if _, err := client.Query(t.Context(), "10.0.0.1:1", newQuery("a1")); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
}

func TestConnectionsStayWithinLimit(t *testing.T) {
	options := backend.ClientOptions{ConnectionLimit: func(string) int { return 8 }}
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
		runQueries(t, client, 100)
		if _, highest, _ := network.counts(); highest > 8 {
			t.Errorf("%d connections were open at once, want at most 8", highest)
		}
	})
}

func TestConnectionsShrinkToLoweredLimit(t *testing.T) {
	limit := 8
	options := backend.ClientOptions{ConnectionLimit: func(string) int { return limit }}
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
		runQueries(t, client, 20)
		limit = 2
		runQueries(t, client, 20)
		if open, _, _ := network.counts(); open > 2 {
			t.Errorf("%d connections are open, want at most 2", open)
		}
	})
}

func TestSpareConnectionsAvoidDialDelay(t *testing.T) {
	runOnVirtualClock(t, backend.ClientOptions{}, func(t *testing.T, client *backend.Client, _ *pipeNetwork) {
		runQueries(t, client, 1)
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		runQueries(t, client, 3)
		if took := time.Since(start); took != 10*time.Millisecond {
			t.Errorf("three concurrent queries took %v, want only the service time of 10 ms", took)
		}
	})
}

func TestExpiredSpareConnectionsAreNotUsed(t *testing.T) {
	options := backend.ClientOptions{IdleTimeout: time.Second}
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
		runQueries(t, client, 1)
		time.Sleep(time.Minute)
		if open, _, _ := network.counts(); open != 0 {
			t.Errorf("%d idle connections are open after IdleTimeout", open)
		}
		runQueries(t, client, 3)
	})
}
