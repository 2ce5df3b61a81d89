package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/machinelist"
	"github.com/banksail/banksail/node"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
	"github.com/banksail/banksail/store"
)

// benchmarkServiceTime is the execution time of each sub-request.
const benchmarkServiceTime = time.Millisecond

// fanOut is a service with one server per group on loopback, with a node in
// front of it.
type fanOut struct {
	groups  []policy.Group
	bare    *backend.Client
	callers *http.Client
	url     string
	// bareURL is a server that immediately returns lastAnswer, the node's
	// latest answer.
	bareURL    string
	lastAnswer []byte
	next       int
}

// serveSubRequest answers every sub-request after benchmarkServiceTime.
func serveSubRequest(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == backend.HealthPath {
		_, _ = io.WriteString(writer, `{"state":"ready","incarnation":"1","snapshots":[1]}`)
		return
	}
	if request.URL.Path == backend.LoadPath {
		_, _ = io.WriteString(writer, `{"in_flight":0,"queued":0,"snapshots":[1]}`)
		return
	}
	data, _ := io.ReadAll(request.Body)
	var received backend.Request
	if json.Unmarshal(data, &received) != nil {
		http.Error(writer, "malformed", http.StatusBadRequest)
		return
	}
	time.Sleep(benchmarkServiceTime)
	_, _ = fmt.Fprintf(writer, `{"attempt_id":%q,"status":"done","snapshot":%d,"range":{"start":%d,"end":%d},"body":{"found":[1,2,3]}}`,
		received.AttemptID, received.Snapshot, received.Range.Start, received.Range.End)
}

func newFanOut(b *testing.B, groups int) *fanOut {
	b.Helper()
	fan := &fanOut{bare: backend.NewClient(backend.ClientOptions{}), callers: &http.Client{}}
	for index := range groups {
		server := httptest.NewServer(http.HandlerFunc(serveSubRequest))
		b.Cleanup(server.Close)
		fan.groups = append(fan.groups, policy.Group{
			Name:  fmt.Sprintf("group-%d", index),
			Range: coverage.Range{Start: uint64(index * keysPerGroup), End: uint64((index + 1) * keysPerGroup)},
			Servers: []policy.Server{{
				ID: serverID(index), Address: server.Listener.Addr().String(), Slots: 100, Connections: 100,
			}},
		})
	}
	fan.startNode(b)
	instant := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = writer.Write(fan.lastAnswer)
	}))
	b.Cleanup(instant.Close)
	fan.bareURL = instant.URL
	return fan
}

func (f *fanOut) startNode(b *testing.B) {
	memory := store.NewMemory(store.MemoryOptions{})
	record, err := policy.EncodeRecord(policy.Record{
		Format: policy.RecordFormat, Revision: 1, History: []policy.HistoryEntry{}, RecentPlans: []policy.AppliedPlan{},
		Config: policy.Config{
			Classes: []policy.Class{{Name: "normal", Deadline: 10_000, LongestWait: 1000}},
			Services: []policy.Service{{
				Name: service, Groups: f.groups,
				KeySpace: coverage.Range{Start: 0, End: uint64(len(f.groups) * keysPerGroup)},
			}},
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := memory.Put(b.Context(), policy.StoreKey, record, 0, ""); err != nil {
		b.Fatal(err)
	}
	nodeSettings := settings.Default()
	nodeSettings.Node = settings.Node{ID: "node-1", Zone: "zone-a"}
	nodeSettings.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	nodeSettings.Stop.Grace = 0
	daemon, err := node.New(node.Options{
		Settings: nodeSettings, Network: node.NewSystemNetwork(time.Second), Store: memory,
		MachineList: machinelist.NewStatic(), Logger: zerolog.Nop(),
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	<-daemon.Listening()
	f.url = "http://" + daemon.Addresses().Caller + "/v1/services/" + service + "/queries"
	deadline := time.Now().Add(10 * time.Second)
	for f.throughNode() != nil {
		if time.Now().After(deadline) {
			b.Fatal("node gave no complete answer within 10 s")
		}
		runtime.Gosched()
	}
}

// throughNode sends one query to the node and reads its complete answer.
func (f *fanOut) throughNode() error {
	return f.post(f.url)
}

// exchangeOnly performs only the exchange between caller and node: the same
// request and answer, returned immediately by a server.
func (f *fanOut) exchangeOnly() error { return f.post(f.bareURL) }

func (f *fanOut) post(url string) error {
	f.next++
	document := `{"request_id":"r-` + strconv.Itoa(f.next) + `","class":"normal","minimum_coverage":1,"repeatable":true,"body":{"find":"orders"}}`
	reply, err := f.callers.Post(url, "application/json", bytes.NewReader([]byte(document)))
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if err != nil {
		return err
	}
	if reply.StatusCode != http.StatusOK || !bytes.Contains(data, []byte(`"complete":true`)) {
		return fmt.Errorf("HTTP %d: %.200s", reply.StatusCode, data)
	}
	f.lastAnswer = data
	return nil
}

// throughBareClient sends the same sub-requests concurrently with a backend
// client and waits for all replies.
func (f *fanOut) throughBareClient() error {
	f.next++
	errs := make([]error, len(f.groups))
	var sent sync.WaitGroup
	for index, group := range f.groups {
		sent.Go(func() {
			_, errs[index] = f.bare.Query(context.Background(), group.Servers[0].Address, &backend.Request{
				AttemptID: "bare-" + strconv.Itoa(f.next) + "-" + strconv.Itoa(index),
				RequestID: "r-" + strconv.Itoa(f.next), Service: service, Class: "normal", Snapshot: 1,
				Range: group.Range, RemainingMilliseconds: 1000, Repeatable: true, Body: json.RawMessage(`{"find":"orders"}`),
			})
		})
	}
	sent.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cost accumulates the durations and allocations of one kind of query.
type cost struct {
	durations []time.Duration
	allocs    uint64
	bytes     uint64
}

func (s *cost) measure(b *testing.B, ask func() error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	err := ask()
	s.durations = append(s.durations, time.Since(start))
	runtime.ReadMemStats(&after)
	if err != nil {
		b.Fatal(err)
	}
	s.allocs += after.Mallocs - before.Mallocs
	s.bytes += after.TotalAlloc - before.TotalAlloc
}

func (s *cost) median() time.Duration {
	slices.Sort(s.durations)
	return s.durations[len(s.durations)/2]
}

// BenchmarkOverhead compares a query through a node with the same fan-out by a
// bare backend client, alternating within one run. It also measures the
// exchange between caller and node alone, which is a lower bound on what any
// node adds. Allocations are those of the whole process and include the
// servers' in both cases; the difference is due to the node and its caller.
func BenchmarkOverhead(b *testing.B) {
	for _, groups := range []int{1, 8, 16, 32, 64, 128, 256} {
		b.Run(strconv.Itoa(groups)+"-groups", func(b *testing.B) {
			fan := newFanOut(b, groups)
			for range 20 {
				new(cost).measure(b, fan.throughBareClient)
				new(cost).measure(b, fan.throughNode)
				new(cost).measure(b, fan.exchangeOnly)
			}
			var bare, through, exchange cost
			for b.Loop() {
				bare.measure(b, fan.throughBareClient)
				through.measure(b, fan.throughNode)
				exchange.measure(b, fan.exchangeOnly)
			}
			report(b, groups, &bare, &through)
			b.ReportMetric(float64(exchange.median().Microseconds()), "exchange-p50-us")
		})
	}
}

func report(b *testing.B, groups int, bare, through *cost) {
	plain, node := bare.median(), through.median()
	perSend := float64(len(bare.durations) * groups)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(plain.Microseconds()), "bare-p50-us")
	b.ReportMetric(float64(node.Microseconds()), "node-p50-us")
	b.ReportMetric(100*(float64(node)/float64(plain)-1), "added-%")
	b.ReportMetric(float64(bare.allocs)/perSend, "bare-allocs/send")
	b.ReportMetric(float64(through.allocs)/perSend, "node-allocs/send")
	b.ReportMetric(float64(bare.bytes)/perSend, "bare-B/send")
	b.ReportMetric(float64(through.bytes)/perSend, "node-B/send")
}
