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

// gatedSender counts the running sub-requests and blocks them until the gate is
// closed.
type gatedSender struct {
	gate chan struct{}

	mutex   sync.Mutex
	running int
}

func (g *gatedSender) sendSubRequest(_ context.Context, outgoing *subRequest) dispatch.Event {
	g.mutex.Lock()
	g.running++
	g.mutex.Unlock()
	<-g.gate
	return dispatch.AttemptFailed{Attempt: outgoing.send.Attempt, Delivery: dispatch.NotDelivered}
}

// noopDispatcher returns no actions.
type noopDispatcher struct{}

func (noopDispatcher) Step(_ time.Duration, _ dispatch.Event) []dispatch.Action { return nil }

func TestWorkersRunJobsImmediatelyAndReuseGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = maxIdleWorkers + 10
		pool := newWorkers()
		var reported sync.WaitGroup
		for range 3 {
			held := &gatedSender{gate: make(chan struct{})}
			serviceShard := newShard(shardOptions{
				dispatcher: noopDispatcher{}, sender: held, now: func() time.Duration { return 0 },
				counters: newSendCounters(telemetry.NewMetrics(), "catalog"), running: &reported, workers: pool,
			})
			query := &pendingQuery{}
			for number := range jobs {
				query.running++
				reported.Add(1)
				outgoing := &subRequest{
					send: dispatch.Send{Attempt: dispatch.AttemptID(number)}, query: query, cancel: func() {},
				}
				pool.start(job{serviceShard: serviceShard, context: t.Context(), outgoing: outgoing})
			}
			synctest.Wait()
			if held.running != jobs {
				t.Errorf("%d of %d jobs are running", held.running, jobs)
			}
			close(held.gate)
			reported.Wait()
			synctest.Wait()
			if idle := pool.idle.Load(); idle != maxIdleWorkers {
				t.Errorf("%d idle goroutines, want %d", idle, maxIdleWorkers)
			}
		}
		pool.close()
		if idle := pool.idle.Load(); idle != 0 {
			t.Errorf("%d idle goroutines after close, want 0", idle)
		}
	})
}
