package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/telemetry"
)

// gatedAsker counts the sub-requests that run and holds them until the gate opens.
type gatedAsker struct {
	gate chan struct{}

	mutex   sync.Mutex
	running int
}

func (g *gatedAsker) ask(_ context.Context, outgoing *subRequest) dispatch.Event {
	g.mutex.Lock()
	g.running++
	g.mutex.Unlock()
	<-g.gate
	return dispatch.AttemptFailed{Attempt: outgoing.send.Attempt, Delivery: dispatch.NotDelivered}
}

// silentMachine decides nothing.
type silentMachine struct{}

func (silentMachine) Step(_ time.Duration, _ dispatch.Event) []dispatch.Action { return nil }

func TestWorkersRunEveryJobAtOnceAndKeepSomeGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = maximumIdleWorkers + 10
		pool := newWorkers()
		var reported sync.WaitGroup
		for range 3 {
			held := &gatedAsker{gate: make(chan struct{})}
			carrier := newShard(shardOptions{
				machine: silentMachine{}, asker: held, now: func() time.Duration { return 0 },
				counters: newSendCounters(telemetry.NewMetrics(), "catalog"), running: &reported, workers: pool,
			})
			query := &pendingQuery{}
			for number := range jobs {
				query.running++
				reported.Add(1)
				outgoing := &subRequest{
					send: dispatch.Send{Attempt: dispatch.AttemptID(number)}, query: query, cancel: func() {},
				}
				pool.start(job{carrier: carrier, context: t.Context(), outgoing: outgoing})
			}
			synctest.Wait()
			if held.running != jobs {
				t.Errorf("%d of %d jobs run", held.running, jobs)
			}
			close(held.gate)
			reported.Wait()
			synctest.Wait()
			if idle := pool.idle.Load(); idle != maximumIdleWorkers {
				t.Errorf("%d goroutines wait for a job, want %d", idle, maximumIdleWorkers)
			}
		}
		pool.close()
		if idle := pool.idle.Load(); idle != 0 {
			t.Errorf("%d goroutines wait after the end", idle)
		}
	})
}
