package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/backend"
)

// timedHealth notes when each server's health is read; it answers at once.
type timedHealth struct {
	backends
	mutex    sync.Mutex
	readings map[string][]time.Time
	moments  map[time.Time]bool
}

func (h *timedHealth) Health(_ context.Context, address string) (*backend.Health, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.readings[address] = append(h.readings[address], time.Now())
	h.moments[time.Now()] = true
	return &backend.Health{State: backend.HealthReady}, nil
}

func (h *timedHealth) Load(context.Context, string) (*backend.Load, error) {
	return &backend.Load{}, nil
}

func TestHealthIsReadOftenEnoughInFewWakeUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			servers  = 100
			interval = 1500 * time.Millisecond
			span     = 30 * time.Second
			longest  = interval + interval/4 + readingTick
		)
		client := &timedHealth{readings: map[string][]time.Time{}, moments: map[time.Time]bool{}}
		poller := newPoller(pollerOptions{
			client: client, interval: interval, timeout: time.Second, concurrency: servers, seed: 1,
			report: func(reading) {}, unreachable: func(string) {},
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
		for address, times := range client.readings {
			for index := 1; index < len(times); index++ {
				if pause := times[index].Sub(times[index-1]); pause > longest {
					t.Errorf("server %s was not read for %v", address, pause)
				}
			}
		}
		if most := int(span/readingTick) + servers; len(client.moments) > most {
			t.Errorf("%d moments of readings, want at most %d", len(client.moments), most)
		}
	})
}
