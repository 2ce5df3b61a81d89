package node

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/backend"
)

// recordingHealthClient records when each server's health is polled and replies
// immediately.
type recordingHealthClient struct {
	backendClient
	mutex     sync.Mutex
	polls     map[string][]time.Time
	pollTimes map[time.Time]bool
}

func (h *recordingHealthClient) Health(_ context.Context, address string) (*backend.Health, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.polls[address] = append(h.polls[address], time.Now())
	h.pollTimes[time.Now()] = true
	return &backend.Health{State: backend.HealthReady}, nil
}

func (h *recordingHealthClient) Load(context.Context, string) (*backend.Load, error) {
	return &backend.Load{}, nil
}

func TestHealthPollsAreFrequentWithFewWakeups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			servers  = 100
			interval = 1500 * time.Millisecond
			span     = 30 * time.Second
			longest  = interval + interval/4 + pollTick
		)
		client := &recordingHealthClient{polls: map[string][]time.Time{}, pollTimes: map[time.Time]bool{}}
		poller := newPoller(pollerOptions{
			client: client, interval: interval, timeout: time.Second, concurrency: servers, seed: 1,
			onResult: func(pollResult) {}, onUnreachable: func(string) {},
		})
		configured := map[string]configuredServer{}
		for number := range servers {
			name := fmt.Sprint(number)
			configured[name] = configuredServer{address: name}
		}
		poller.setServers(configured)
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		poller.run(ctx)
		for address, times := range client.polls {
			for index := 1; index < len(times); index++ {
				if pause := times[index].Sub(times[index-1]); pause > longest {
					t.Errorf("server %s was not polled for %v", address, pause)
				}
			}
		}
		if most := int(span/pollTick) + servers; len(client.pollTimes) > most {
			t.Errorf("polls at %d different times, want at most %d", len(client.pollTimes), most)
		}
	})
}

// newBudgetedPoller returns a poller with a budget; the first servers, assigned
// in number, are assigned to it.
func newBudgetedPoller(client backendClient, servers, assigned int, budget float64) *poller {
	poller := newPoller(pollerOptions{
		client: client, interval: 1500 * time.Millisecond, timeout: time.Second, concurrency: servers, seed: 1,
		budgetRate: budget, onResult: func(pollResult) {}, onUnreachable: func(string) {},
	})
	configured, ranks := map[string]configuredServer{}, map[string]int{}
	for number := range servers {
		name := fmt.Sprint(number)
		configured[name] = configuredServer{address: name}
		if number < assigned {
			ranks[name] = 0
		}
	}
	poller.setServers(configured)
	poller.setAssigned(ranks, 24)
	return poller
}

func TestPollsStayWithinBudget(t *testing.T) {
	const (
		servers  = 70
		assigned = 9
		budget   = 12.0
		warmUp   = 20 * time.Second
		span     = 120 * time.Second
	)
	tests := map[string]struct {
		// each runs once per second concurrently with the poller.
		each func(p *poller)
		// wantOthers reports whether servers that are not assigned should be
		// polled.
		wantOthers bool
	}{
		"quiet": {func(*poller) {}, true},
		"the others reply": {
			func(p *poller) {
				for number := assigned; number < servers; number++ {
					p.recordReply(fmt.Sprint(number))
				}
			}, false,
		},
		"a doubt each second": {func(p *poller) { p.requestRecheck("40") }, true},
		"replies of servers that then can't be reached": {
			func(p *poller) {
				for number := assigned; number < servers; number++ {
					p.recordReply(fmt.Sprint(number))
					p.clearReply(fmt.Sprint(number))
				}
			}, true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &recordingHealthClient{polls: map[string][]time.Time{}, pollTimes: map[time.Time]bool{}}
				poller := newBudgetedPoller(client, servers, assigned, budget)
				ctx, cancel := context.WithTimeout(t.Context(), warmUp+span)
				defer cancel()
				begin := time.Now().Add(warmUp)
				go func() {
					for ctx.Err() == nil {
						test.each(poller)
						time.Sleep(time.Second)
					}
				}()
				poller.run(ctx)
				time.Sleep(time.Second)
				total, others := client.countSince(begin, assigned)
				if rate := float64(total) / span.Seconds(); rate > budget {
					t.Errorf("%.1f polls per second, budget is %g", rate, budget)
				}
				if (others > 0) != test.wantOthers {
					t.Errorf("%d polls of servers that are not assigned", others)
				}
				for number := range assigned {
					if read := len(client.polls[fmt.Sprint(number)]); read < int((span+warmUp)/(2*time.Second)) {
						t.Errorf("assigned server %d was polled only %d times", number, read)
					}
				}
			})
		})
	}
}

// countSince returns the number of polls since a time, and how many of them
// were of servers that are not assigned.
func (h *recordingHealthClient) countSince(begin time.Time, assigned int) (total, others int) {
	for address, times := range h.polls {
		number, _ := strconv.Atoi(address)
		for _, at := range times {
			if at.Before(begin) {
				continue
			}
			total++
			if number >= assigned {
				others++
			}
		}
	}
	return total, others
}

func TestRecheckedServerIsPolledSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &recordingHealthClient{polls: map[string][]time.Time{}, pollTimes: map[time.Time]bool{}}
		poller := newBudgetedPoller(client, 2000, 0, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		var requestedAt time.Time
		go func() {
			time.Sleep(time.Minute)
			requestedAt = time.Now()
			for number := range 10 {
				poller.requestRecheck(fmt.Sprint(number))
			}
		}()
		poller.run(ctx)
		for number := range 10 {
			inTime := false
			for _, at := range client.polls[fmt.Sprint(number)] {
				inTime = inTime || !at.Before(requestedAt) && at.Sub(requestedAt) <= 24*recheckSpreadPerNode+pollTick
			}
			if !inTime {
				t.Errorf("server %d was not polled within the recheck delay", number)
			}
		}
	})
}
