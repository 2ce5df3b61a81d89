package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/emulator"
	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

const (
	nodeIP    = "10.0.0.1"
	clientIP  = "10.0.0.2"
	callerAt  = nodeIP + ":7101"
	operateAt = nodeIP + ":7102"
	service   = "catalog"
	keysEach  = 100
	// serviceTime is how long a sub-request runs, unless a test straggles it.
	serviceTime = 5
	// delivery is long enough for a request to reach the servers.
	delivery = 100 * time.Millisecond
	// settle is long enough for a node to read its configuration and servers.
	settle = 3 * time.Second
)

// world is one whole node with its peers in a synctest bubble.
type world struct {
	t       *testing.T
	network *network.Network
	memory  *store.Memory
	servers []*emulator.Server
	node    *node.Node
	stop    context.CancelFunc
	ended   chan error
	client  *http.Client
	log     *lockedBuffer
	// machines is the machine list.
	machines *machinelist.Static
}

// lockedBuffer is a log that may be read while it grows.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(data)
}

func (l *lockedBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}

// inWorld runs a test against a node that serves groups with one server each
// and has its configuration in force; without groups there is none.
func inWorld(t *testing.T, groups int, change func(*settings.Settings), run func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: network.New(network.Options{Seed: 1}), log: &lockedBuffer{}}
		w.memory = store.NewMemory(store.MemoryOptions{})
		w.startServers(groups)
		if groups > 0 {
			w.putConfiguration(1, w.configuration(groups))
		}
		w.startNode(change)
		w.client = w.newClient()
		time.Sleep(settle)
		run(t, w)
		w.end()
	})
}

func serverAddress(index int) string { return fmt.Sprintf("10.0.1.%d:9000", index+1) }
func serverID(index int) string      { return fmt.Sprintf("server-%d", index) }

func (w *world) startServers(count int) {
	for index := range count {
		server, err := emulator.NewServer(emulator.ServerOptions{
			ID: serverID(index), Snapshots: []uint64{1}, Slots: 4, Seed: uint64(index + 1),
			ServiceTime: emulator.Distribution{Kind: emulator.Fixed, Mean: serviceTime},
		})
		w.check(err)
		address := serverAddress(index)
		process, err := w.network.Start(strings.Split(address, ":")[0])
		w.check(err)
		listener, err := process.Listen(address)
		w.check(err)
		go func() { _ = server.Serve(listener) }()
		w.servers = append(w.servers, server)
	}
}

func (w *world) configuration(groups int) policy.Config {
	asked := policy.Service{Name: service, KeySpace: coverage.Range{Start: 0, End: uint64(groups * keysEach)}}
	for index := range groups {
		asked.Groups = append(asked.Groups, policy.Group{
			Name:  fmt.Sprintf("group-%d", index),
			Range: coverage.Range{Start: uint64(index * keysEach), End: uint64((index + 1) * keysEach)},
			Servers: []policy.Server{{
				ID: serverID(index), Address: serverAddress(index), Zone: "zone-a", Slots: 4, Connections: 70,
			}},
		})
	}
	return policy.Config{
		Classes:  []policy.Class{{Name: "normal", Order: 1, LongestWait: 1000, Deadline: 20_000, MinimumCoverage: 1}},
		Services: []policy.Service{asked},
	}
}

func (w *world) putConfiguration(revision policy.Revision, config policy.Config) {
	record, err := policy.EncodeRecord(policy.Record{
		Format: policy.RecordFormat, Revision: revision, Config: config,
		History: []policy.HistoryEntry{}, RecentPlans: []policy.AppliedPlan{},
	})
	w.check(err)
	_, err = w.memory.Put(w.t.Context(), policy.StoreKey, record, uint64(revision-1), "")
	w.check(err)
}

func (w *world) startNode(change func(*settings.Settings)) {
	process, err := w.network.Start(nodeIP)
	w.check(err)
	chosen := settings.Default()
	chosen.Node = settings.Node{ID: "node-1", Zone: "zone-a"}
	chosen.Listen = settings.Listen{Caller: callerAt, Operator: operateAt, Peer: nodeIP + ":7103"}
	if change != nil {
		change(&chosen)
	}
	w.machines = machinelist.NewStatic(machinelist.Machine{
		ID: "node-1", Address: chosen.Listen.Peer, Zone: "zone-a",
		Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: "1",
	})
	w.node, err = node.New(node.Options{
		Settings: chosen, Network: process, Store: w.memory, MachineList: w.machines,
		Logger: zerolog.New(w.log).Level(zerolog.InfoLevel), Seed: 1,
	})
	w.check(err)
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	w.ended = make(chan error, 1)
	go func() { w.ended <- w.node.Run(ctx) }()
	<-w.node.Listening()
}

func (w *world) newClient() *http.Client {
	process, err := w.network.Start(clientIP)
	w.check(err)
	return &http.Client{Transport: &http.Transport{DialContext: process.DialContext}}
}

// end stops whatever still runs; the bubble fails the test if a goroutine stays.
func (w *world) end() {
	w.stop()
	if err := <-w.ended; err != nil && !errors.Is(err, node.ErrAborted) {
		w.t.Errorf("the node ended with %v", err)
	}
	w.ended <- nil
	w.client.CloseIdleConnections()
	for _, server := range w.servers {
		_ = server.Close()
	}
	w.network.Close()
}

func (w *world) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// response is a caller's view of a final answer.
type response struct {
	status  int
	closes  bool
	answer  caller.Answer
	problem caller.Problem
	err     error
}

// query posts a request and waits for the answer.
func (w *world) query(ctx context.Context, requestID string, repeatable bool, body string) response {
	return w.post(ctx, fmt.Sprintf(`{"request_id":%q,"class":"normal","repeatable":%t,"body":%q}`, requestID, repeatable, body))
}

// queryOnce posts a request that is not repeatable, with a deadline, and tells
// how long the answer took.
func (w *world) queryOnce(ctx context.Context, requestID string, deadline time.Duration) (response, time.Duration) {
	sent := time.Now()
	got := w.post(ctx, fmt.Sprintf(`{"request_id":%q,"class":"normal","deadline_ms":%d,"repeatable":false,"body":"orders"}`,
		requestID, deadline.Milliseconds()))
	return got, time.Since(sent)
}

func (w *world) post(ctx context.Context, document string) response {
	return w.postTo(ctx, callerAt, document)
}

// postTo posts a request's document to the node at an address.
func (w *world) postTo(ctx context.Context, address, document string) response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/services/"+service+"/queries", strings.NewReader(document))
	w.check(err)
	reply, err := w.client.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	got := response{status: reply.StatusCode, closes: reply.Close, err: err}
	if reply.StatusCode == http.StatusOK {
		w.check(json.Unmarshal(data, &got.answer))
	} else {
		w.check(json.Unmarshal(data, &got.problem))
	}
	return got
}

// start posts a request in the background.
func (w *world) start(ctx context.Context, requestID string, repeatable bool) <-chan response {
	result := make(chan response, 1)
	go func() { result <- w.query(ctx, requestID, repeatable, "orders") }()
	time.Sleep(delivery)
	return result
}

// straggle makes every sub-request at a server last the given time.
func (w *world) straggle(index int, duration time.Duration) {
	faults := w.servers[index].Faults()
	faults.StraggleFactor = float64(duration/time.Millisecond) / serviceTime
	w.servers[index].SetFaults(faults)
}

// executions counts how often the servers began to run parts of a request.
func (w *world) executions(requestID string) int {
	count := 0
	for _, server := range w.servers {
		for _, execution := range server.Executions() {
			if execution.RequestID == requestID && execution.Executed {
				count++
			}
		}
	}
	return count
}

// get reads a path of the operators' listener.
func (w *world) get(path string) (int, string) {
	reply, err := w.client.Get("http://" + operateAt + path)
	w.check(err)
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	w.check(err)
	return reply.StatusCode, string(data)
}

func sortedBodies(answer caller.Answer) []string {
	var bodies []string
	for _, part := range answer.Parts {
		bodies = append(bodies, string(part.Body))
	}
	slices.Sort(bodies)
	return bodies
}
