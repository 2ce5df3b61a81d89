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
	nodeIP          = "10.0.0.1"
	clientIP        = "10.0.0.2"
	callerAddress   = nodeIP + ":7101"
	operatorAddress = nodeIP + ":7102"
	service         = "catalog"
	keysPerGroup    = 100
	// serviceTime is the execution time of a sub-request in milliseconds,
	// unless a test delays the server.
	serviceTime = 5
	// deliveryTime is long enough for a request to reach the servers.
	deliveryTime = 100 * time.Millisecond
	// settleTime is long enough for a node to load its configuration and poll
	// its servers.
	settleTime = 3 * time.Second
)

// testEnv runs one node with its servers, store and machine list in a synctest
// bubble.
type testEnv struct {
	t        *testing.T
	network  *network.Network
	memory   *store.Memory
	servers  []*emulator.Server
	node     *node.Node
	stop     context.CancelFunc
	ended    chan error
	client   *http.Client
	log      *syncBuffer
	machines *machinelist.Static
}

// syncBuffer is a log buffer that can be read while it is being written.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *syncBuffer) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(data)
}

func (l *syncBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.String()
}

// withTestEnv runs a test against a node that serves the given number of
// groups, with one server each, and has applied its configuration. With zero
// groups the node has no configuration.
func withTestEnv(t *testing.T, groups int, change func(*settings.Settings), run func(t *testing.T, env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{t: t, network: network.New(network.Options{Seed: 1}), log: &syncBuffer{}}
		env.memory = store.NewMemory(store.MemoryOptions{})
		env.startServers(groups)
		if groups > 0 {
			env.putConfiguration(1, env.configuration(groups))
		}
		env.startNode(change)
		env.client = env.newClient()
		time.Sleep(settleTime)
		run(t, env)
		env.shutDown()
	})
}

func serverAddress(index int) string { return fmt.Sprintf("10.0.1.%d:9000", index+1) }
func serverID(index int) string      { return fmt.Sprintf("server-%d", index) }

func (env *testEnv) startServers(count int) {
	for index := range count {
		server, err := emulator.NewServer(emulator.ServerOptions{
			ID: serverID(index), Snapshots: []uint64{1}, Slots: 4, Seed: uint64(index + 1),
			ServiceTime: emulator.Distribution{Kind: emulator.Fixed, Mean: serviceTime},
		})
		env.check(err)
		address := serverAddress(index)
		process, err := env.network.Start(strings.Split(address, ":")[0])
		env.check(err)
		listener, err := process.Listen(address)
		env.check(err)
		go func() { _ = server.Serve(listener) }()
		env.servers = append(env.servers, server)
	}
}

func (env *testEnv) configuration(groups int) policy.Config {
	configured := policy.Service{Name: service, KeySpace: coverage.Range{Start: 0, End: uint64(groups * keysPerGroup)}}
	for index := range groups {
		configured.Groups = append(configured.Groups, policy.Group{
			Name:  fmt.Sprintf("group-%d", index),
			Range: coverage.Range{Start: uint64(index * keysPerGroup), End: uint64((index + 1) * keysPerGroup)},
			Servers: []policy.Server{{
				ID: serverID(index), Address: serverAddress(index), Zone: "zone-a", Slots: 4, Connections: 70,
			}},
		})
	}
	return policy.Config{
		Classes:  []policy.Class{{Name: "normal", Order: 1, LongestWait: 1000, Deadline: 20_000, MinimumCoverage: 1}},
		Services: []policy.Service{configured},
	}
}

func (env *testEnv) putConfiguration(revision policy.Revision, config policy.Config) {
	record, err := policy.EncodeRecord(policy.Record{
		Format: policy.RecordFormat, Revision: revision, Config: config,
		History: []policy.HistoryEntry{}, RecentPlans: []policy.AppliedPlan{},
	})
	env.check(err)
	_, err = env.memory.Put(env.t.Context(), policy.StoreKey, record, uint64(revision-1), "")
	env.check(err)
}

func (env *testEnv) startNode(change func(*settings.Settings)) {
	process, err := env.network.Start(nodeIP)
	env.check(err)
	nodeSettings := settings.Default()
	nodeSettings.Node = settings.Node{ID: "node-1", Zone: "zone-a"}
	nodeSettings.Listen = settings.Listen{Caller: callerAddress, Operator: operatorAddress, Peer: nodeIP + ":7103"}
	if change != nil {
		change(&nodeSettings)
	}
	env.machines = machinelist.NewStatic(machinelist.Machine{
		ID: "node-1", Address: nodeSettings.Listen.Peer, Zone: "zone-a",
		Role: machinelist.RoleNode, State: machinelist.StateLive, Incarnation: "1",
	})
	env.node, err = node.New(node.Options{
		Settings: nodeSettings, Network: process, Store: env.memory, MachineList: env.machines,
		Logger: zerolog.New(env.log).Level(zerolog.InfoLevel), Seed: 1,
	})
	env.check(err)
	ctx, stop := context.WithCancel(context.Background())
	env.stop = stop
	env.ended = make(chan error, 1)
	go func() { env.ended <- env.node.Run(ctx) }()
	<-env.node.Listening()
}

func (env *testEnv) newClient() *http.Client {
	process, err := env.network.Start(clientIP)
	env.check(err)
	return &http.Client{Transport: &http.Transport{DialContext: process.DialContext}}
}

// shutDown stops the node, the servers and the network. The synctest bubble
// fails the test if a goroutine remains.
func (env *testEnv) shutDown() {
	env.stop()
	if err := <-env.ended; err != nil && !errors.Is(err, node.ErrAborted) {
		env.t.Errorf("Run returned %v", err)
	}
	env.ended <- nil
	env.client.CloseIdleConnections()
	for _, server := range env.servers {
		_ = server.Close()
	}
	env.network.Close()
}

func (env *testEnv) check(err error) {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
}

// response is a final response as a caller receives it.
type response struct {
	status  int
	closes  bool
	answer  caller.Answer
	problem caller.Problem
	err     error
}

// query sends a request and waits for the response.
func (env *testEnv) query(ctx context.Context, requestID string, repeatable bool, body string) response {
	return env.post(ctx, fmt.Sprintf(`{"request_id":%q,"class":"normal","repeatable":%t,"body":%q}`, requestID, repeatable, body))
}

// queryNonRepeatable sends a non-repeatable request with a deadline and returns
// the response and the time until it arrived.
func (env *testEnv) queryNonRepeatable(ctx context.Context, requestID string, deadline time.Duration) (response, time.Duration) {
	sent := time.Now()
	got := env.post(ctx, fmt.Sprintf(`{"request_id":%q,"class":"normal","deadline_ms":%d,"repeatable":false,"body":"orders"}`,
		requestID, deadline.Milliseconds()))
	return got, time.Since(sent)
}

func (env *testEnv) post(ctx context.Context, document string) response {
	return env.postTo(ctx, callerAddress, document)
}

// postTo posts a request document to the node at an address.
func (env *testEnv) postTo(ctx context.Context, address, document string) response {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/services/"+service+"/queries", strings.NewReader(document))
	env.check(err)
	reply, err := env.client.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	got := response{status: reply.StatusCode, closes: reply.Close, err: err}
	if reply.StatusCode == http.StatusOK {
		env.check(json.Unmarshal(data, &got.answer))
	} else {
		env.check(json.Unmarshal(data, &got.problem))
	}
	return got
}

// startQuery sends a request in the background and returns after deliveryTime.
func (env *testEnv) startQuery(ctx context.Context, requestID string, repeatable bool) <-chan response {
	result := make(chan response, 1)
	go func() { result <- env.query(ctx, requestID, repeatable, "orders") }()
	time.Sleep(deliveryTime)
	return result
}

// delayServer makes each sub-request at a server take the given time.
func (env *testEnv) delayServer(index int, duration time.Duration) {
	faults := env.servers[index].Faults()
	faults.StraggleFactor = float64(duration/time.Millisecond) / serviceTime
	env.servers[index].SetFaults(faults)
}

// executions returns how often servers started to execute parts of a request.
func (env *testEnv) executions(requestID string) int {
	count := 0
	for _, server := range env.servers {
		for _, execution := range server.Executions() {
			if execution.RequestID == requestID && execution.Executed {
				count++
			}
		}
	}
	return count
}

// getOperator reads a path from the operator listener.
func (env *testEnv) getOperator(path string) (int, string) {
	reply, err := env.client.Get("http://" + operatorAddress + path)
	env.check(err)
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	env.check(err)
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
