package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/route"
)

// fakeRegistry is an in-memory discovery.Source and Registrar. It lists one table once it is
// available, and grants no leases.
type fakeRegistry struct {
	mutex     sync.Mutex
	available bool
}

func (r *fakeRegistry) setAvailable() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.available = true
}

func (r *fakeRegistry) List(context.Context) (discovery.Listing, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.available {
		return discovery.Listing{}, discovery.ErrUnavailable
	}
	table, err := route.New(route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}})
	return discovery.Listing{Revision: 1, Table: table}, err
}

func (r *fakeRegistry) Changes(ctx context.Context, after discovery.Position, wait time.Duration) (discovery.Changes, error) {
	select {
	case <-ctx.Done():
		return discovery.Changes{}, ctx.Err()
	case <-time.After(wait):
		return discovery.Changes{Epoch: after.Epoch, Revision: after.Revision}, nil
	}
}

func (r *fakeRegistry) Register(context.Context, discovery.Node, time.Duration) (discovery.Lease, error) {
	return nil, errors.New("no leases here")
}

// testSettings returns settings of a node in zone a with the given IP address.
func testSettings(ip string) Settings {
	return Settings{
		Node: "node-" + ip, Zone: "a", Region: "r", Regions: map[string]string{"a": "r", "b": "r", "c": "r"}, FirstStart: true,
		Callers: ip + ":1", Readiness: ip + ":2", Directory: ip + ":3", Gossip: ip + ":4",
		GracePeriod: 6 * time.Second, DrainBound: 3 * time.Second, ApplyBound: 3 * time.Second,
		BudgetRatio: 0.2, BudgetFixed: 50, BudgetWindow: 10 * time.Second, ReadsPerSecond: 1000, MaxDirectoryTTL: 4 * time.Second,
	}
}

// newFront returns a node that has not been started. A nil process leaves it without a simulated
// network.
func newFront(t *testing.T, source *fakeRegistry, process *network.Process, settings Settings) *Front {
	t.Helper()
	options := Options{
		Settings: settings, Incarnation: "1", Source: source, Registrar: source, Logger: zerolog.Nop(),
		Readiness: func(node Node) http.Handler {
			return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				if !node.Ready() {
					writer.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		},
		Directory: func(resolver directory.Resolver) http.Handler {
			return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				answer := resolver.Resolve("h", directory.Caller{Zone: "a", Region: "r"}, 8)
				_, _ = fmt.Fprint(writer, answer.Addresses)
			})
		},
	}
	if process != nil {
		options.Dial, options.ListenPacket = process.DialContext, process.ListenPacket
		options.Listen = func(_, address string) (net.Listener, error) { return process.Listen(address) }
	}
	f, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A node is ready from its first table until it shuts down. While it serves, the directory lists
// it, with a TTL no longer than the settings allow.
func TestReadinessFollowsTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lab := network.New(network.Options{Seed: 1})
		process, err := lab.Start("10.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		source := new(fakeRegistry)
		f := newFront(t, source, process, testSettings("10.0.0.1"))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		if f.Ready() {
			t.Error("ready without a table")
		}
		source.setAvailable()
		time.Sleep(3 * time.Second)
		if !f.Ready() {
			t.Error("not ready with a table")
		}
		answer := f.Resolve("h", directory.Caller{Zone: "a", Region: "r"}, 8)
		if !slices.Equal(answer.Addresses, []string{"10.0.0.1:1"}) || answer.TimeToLive != 4*time.Second {
			t.Errorf("Resolve = %v, want 10.0.0.1:1 with a TTL of 4s", answer)
		}
		client := &http.Client{Transport: &http.Transport{DialContext: process.DialContext, DisableKeepAlives: true}}
		response, err := client.Get("http://10.0.0.1:3/")
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if string(body) != "[10.0.0.1:1]" {
			t.Errorf("directory response %q, want [10.0.0.1:1]", body)
		}
		stop()
		synctest.Wait()
		if f.Ready() {
			t.Error("ready after shutdown began")
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		lab.Close()
	})
}

// Start fails with an error that names the address that cannot be listened on.
func TestStartErrorNamesAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lab := network.New(network.Options{Seed: 1})
		process, err := lab.Start("10.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		listener, err := process.Listen("10.0.0.1:2")
		if err != nil {
			t.Fatal(err)
		}
		f := newFront(t, new(fakeRegistry), process, testSettings("10.0.0.1"))
		if err := f.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "10.0.0.1:2") {
			t.Errorf("Run: %v, want an error that names 10.0.0.1:2", err)
		}
		_ = listener.Close()
		lab.Close()
	})
}

func nodeInZone(id, zone string) discovery.Node {
	return discovery.Node{ID: id, Address: id, Zone: zone, Region: "r"}
}

// Nodes of other zones that are no longer seen are remembered only while no node of another zone is
// seen and a node of this zone cannot reach the servers.
func TestUnreachableNodesAreRemembered(t *testing.T) {
	unable := func(n discovery.Node) discovery.Node { n.Unable = true; return n }
	suspect := func(n discovery.Node) discovery.Node { n.Suspect = true; return n }
	a1, a2, b, c := nodeInZone("a1", "a"), nodeInZone("a2", "a"), nodeInZone("b", "b"), nodeInZone("c", "c")
	f := newFront(t, new(fakeRegistry), nil, testSettings("10.0.0.1"))
	names := func(nodes []discovery.Node) string {
		var parts []string
		for _, n := range nodes {
			name := n.ID
			if n.Suspect {
				name += "?"
			}
			parts = append(parts, name)
		}
		return strings.Join(parts, " ")
	}
	for _, step := range []struct {
		name string
		seen []discovery.Node
		want string
	}{
		{"all are seen", []discovery.Node{a1, a2, b, c}, "a1 a2 b c"},
		{"others look dead", []discovery.Node{unable(a1), a2, suspect(b), suspect(c)}, "a1 a2 b? c?"},
		{"others are gone", []discovery.Node{unable(a1), a2}, "a1 a2 b? c?"},
		{"one is seen again", []discovery.Node{unable(a1), a2, b}, "a1 a2 b"},
		{"the cut is over", []discovery.Node{a1, a2, b, c}, "a1 a2 b c"},
		{"others are gone, the servers are reached", []discovery.Node{a1, a2}, "a1 a2"},
	} {
		if got := names(f.withRememberedNodes(step.seen)); got != step.want {
			t.Errorf("%s: %q, want %q", step.name, got, step.want)
		}
	}
}

// A node that cannot reach the servers stays ready unless other nodes can serve.
func TestReadinessWithoutServers(t *testing.T) {
	unable := func(n discovery.Node) discovery.Node { n.Unable = true; return n }
	suspect := func(n discovery.Node) discovery.Node { n.Suspect = true; return n }
	b, c := nodeInZone("b", "b"), nodeInZone("c", "c")
	for name, test := range map[string]struct {
		others []discovery.Node
		ready  bool
	}{
		"alone":                           {nil, true},
		"another one can":                 {[]discovery.Node{b}, false},
		"nobody can":                      {[]discovery.Node{unable(b), unable(c)}, true},
		"one other zone looks dead":       {[]discovery.Node{suspect(b)}, true},
		"two other zones look dead":       {[]discovery.Node{suspect(b), suspect(c)}, false},
		"the other one leaves":            {[]discovery.Node{{ID: "b", Zone: "b", Leaving: true}}, true},
		"one can, though another one not": {[]discovery.Node{unable(b), c}, false},
	} {
		f := newFront(t, new(fakeRegistry), nil, testSettings("10.0.0.1"))
		serving := append(slices.Clone(test.others), f.self)
		f.servingNodes.Store(&serving)
		f.hasTable.Store(true)
		if !f.Ready() {
			t.Errorf("%s: not ready although the servers are reachable", name)
		}
		f.unable.Store(true)
		if f.Ready() != test.ready {
			t.Errorf("%s: Ready() = %v", name, f.Ready())
		}
	}
}

// All nodes with the same role have different indexes, so that shared totals are divided among them
// without overlap.
func TestIndexesAmongNodesDiffer(t *testing.T) {
	nodes := []discovery.Node{nodeInZone("n1", "a"), nodeInZone("n2", "a"), nodeInZone("n3", "b"), nodeInZone("n4", "b")}
	serving := []discovery.Node{nodes[1], nodes[3]}
	indexes := make(map[bool][]int)
	for _, n := range nodes {
		settings := testSettings("10.0.0.1")
		settings.Node = n.ID
		f := newFront(t, new(fakeRegistry), nil, settings)
		isServing := slices.ContainsFunc(serving, f.isSelf)
		indexes[isServing] = append(indexes[isServing], f.indexAmong(nodes, serving, isServing))
	}
	if !slices.Equal(indexes[true], []int{0, 1}) || !slices.Equal(indexes[false], []int{0, 1}) {
		t.Errorf("indexes of serving nodes %v, of the other nodes %v; want 0 and 1 each", indexes[true], indexes[false])
	}
}
