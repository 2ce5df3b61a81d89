package node

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/telemetry"
)

// instantSender replies immediately, without a network.
type instantSender struct{ body json.RawMessage }

func (i instantSender) sendSubRequest(_ context.Context, outgoing *subRequest) dispatch.Event {
	return dispatch.AttemptReplied{Attempt: outgoing.send.Attempt, Reply: dispatch.Reply{
		Status: dispatch.ReplyDone, Snapshot: outgoing.send.Snapshot, Range: outgoing.send.Range, Body: i.body,
	}}
}

// BenchmarkShard measures a shard and its dispatcher without a network.
func BenchmarkShard(b *testing.B) {
	for _, groups := range []int{1, 8, 64, 256} {
		b.Run(strconv.Itoa(groups)+"-groups", func(b *testing.B) { benchmarkShard(b, groups) })
	}
}

func benchmarkShard(b *testing.B, groups int) {
	const size = 100
	var running sync.WaitGroup
	epoch := time.Now()
	serviceShard := newShard(shardOptions{
		service: "catalog", attemptPrefix: "node-1-0-1-", dispatcher: dispatch.New(dispatch.Options{Seed: 1}),
		sender: instantSender{body: json.RawMessage(`{}`)}, now: func() time.Duration { return time.Since(epoch) },
		counters: newSendCounters(telemetry.NewMetrics(), "catalog"), background: b.Context(), running: &running, workers: newWorkers(),
	})
	service := policy.Service{Name: "catalog", KeySpace: coverage.Range{End: uint64(groups * size)}}
	for index := range groups {
		service.Groups = append(service.Groups, policy.Group{
			Name:    strconv.Itoa(index),
			Range:   coverage.Range{Start: uint64(index * size), End: uint64((index + 1) * size)},
			Servers: []policy.Server{{ID: strconv.Itoa(index), Address: "127.0.0.1:1", Slots: 100, Connections: 100}},
		})
	}
	class := policy.Class{Name: "normal", Deadline: 10_000, LongestWait: 1000}
	serviceShard.configure(dispatch.Configured{Revision: 1, Service: service, Classes: []policy.Class{class}})
	for index := range groups {
		serviceShard.step(dispatch.ServerReported{Server: strconv.Itoa(index), Snapshots: []dispatch.SnapshotID{1}})
	}
	request := caller.Request{Service: "catalog", RequestID: "r", Class: "normal", Deadline: 10 * time.Second, MinimumCoverage: 1, Repeatable: true}
	b.ReportAllocs()
	for b.Loop() {
		query := serviceShard.submit(request)
		if result := <-query.done; !result.outcome.Complete {
			b.Fatalf("outcome %+v", result.outcome)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*groups), "ns/send")
	running.Wait()
	serviceShard.close()
	serviceShard.options.workers.close()
}
