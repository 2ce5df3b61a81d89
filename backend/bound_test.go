package backend_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banksail/banksail/backend"
)

// optionsWithVariableLimit returns options without spare connections whose
// connection limit is read from the returned counter.
func optionsWithVariableLimit(initial int64) (backend.ClientOptions, *atomic.Int64) {
	limit := &atomic.Int64{}
	limit.Store(initial)
	options := backend.ClientOptions{
		SpareConnectionsPerServer: -1,
		ConnectionLimit:           func(string) int { return int(limit.Load()) },
	}
	return options, limit
}

// startQueries starts queries in the background and returns once each of them
// has a connection or waits for one.
func startQueries(t *testing.T, client *backend.Client, count int) *sync.WaitGroup {
	t.Helper()
	started := &sync.WaitGroup{}
	started.Go(func() { runQueries(t, client, count) })
	time.Sleep(2 * time.Millisecond) // Virtual time: after the dial delay of 1 ms, before the service time of 10 ms ends.
	return started
}

func TestConnectionLimitChangeKeepsOpenConnections(t *testing.T) {
	for name, test := range map[string]struct{ limit, queries, open int }{
		"greater bound":                   {limit: 8, queries: 4, open: 4},
		"greater bound, more are opened":  {limit: 6, queries: 6, open: 6},
		"smaller bound, idle ones close":  {limit: 3, queries: 3, open: 3},
		"smaller bound than the requests": {limit: 1, queries: 3, open: 1},
	} {
		t.Run(name, func(t *testing.T) {
			options, limit := optionsWithVariableLimit(4)
			runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
				runQueries(t, client, 4)
				limit.Store(int64(test.limit))
				runQueries(t, client, test.queries)
				open, _, dials := network.counts()
				if want := max(4, test.open); open != test.open || dials != want {
					t.Errorf("%d connections are open after %d dials, want %d after %d", open, dials, test.open, want)
				}
			})
		})
	}
}

func TestInFlightConnectionsCountAgainstChangedLimit(t *testing.T) {
	for name, limits := range map[string][]int64{
		"smaller":              {8, 4},
		"greater":              {4, 8},
		"smaller, then as was": {8, 1, 8},
		"by one at a time":     {8, 7, 6, 5, 6, 7, 8},
	} {
		t.Run(name, func(t *testing.T) {
			options, limit := optionsWithVariableLimit(limits[0])
			runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
				var started []*sync.WaitGroup
				for _, current := range limits {
					limit.Store(current)
					started = append(started, startQueries(t, client, 8))
				}
				for _, group := range started {
					group.Wait()
				}
				open, highest, _ := network.counts()
				if last := limits[len(limits)-1]; highest > 8 || int64(open) > last {
					t.Errorf("%d connections were open at once and %d are open now, want at most 8 and %d", highest, open, last)
				}
			})
		})
	}
}

func TestInFlightConnectionsCountAfterServerConnectionsClosed(t *testing.T) {
	options, _ := optionsWithVariableLimit(4)
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
		before := startQueries(t, client, 6)
		client.CloseServerConnections("10.0.0.1:1")
		after := startQueries(t, client, 6)
		before.Wait()
		after.Wait()
		if _, highest, _ := network.counts(); highest > 4 {
			t.Errorf("%d connections were open at once, want at most 4", highest)
		}
	})
}

func TestRaisedLimitServesWaitingRequests(t *testing.T) {
	options, limit := optionsWithVariableLimit(1)
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, _ *pipeNetwork) {
		start := time.Now()
		started := startQueries(t, client, 4)
		limit.Store(4)
		client.UpdateConnectionLimit("10.0.0.1:1")
		started.Wait()
		if took := time.Since(start); took != 13*time.Millisecond {
			t.Errorf("four queries took %v, want 13 ms: 2 ms until the limit was raised, one dial and one service time", took)
		}
	})
}

func TestLoweredLimitClosesIdleAndSpareConnections(t *testing.T) {
	limit := 8
	options := backend.ClientOptions{ConnectionLimit: func(string) int { return limit }}
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, network *pipeNetwork) {
		runQueries(t, client, 8)
		limit = 2
		client.UpdateConnectionLimit("10.0.0.1:1")
		if open, _, _ := network.counts(); open != 2 {
			t.Errorf("%d connections are open, want 2", open)
		}
	})
}

func TestCancelledWaitLeavesConnectionToOthers(t *testing.T) {
	options, _ := optionsWithVariableLimit(1)
	runOnVirtualClock(t, options, func(t *testing.T, client *backend.Client, _ *pipeNetwork) {
		started := startQueries(t, client, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := client.Query(ctx, "10.0.0.1:1", newQuery("a1"))
		if !errors.Is(err, backend.ErrNotDelivered) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error is %v, want ErrNotDelivered and context.DeadlineExceeded", err)
		}
		runQueries(t, client, 2)
		started.Wait()
	})
}
