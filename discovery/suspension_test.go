package discovery_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
)

// tableSource lists a table; its changes fail once it is unavailable.
type tableSource struct {
	invalidEntrySource
	unavailable atomic.Bool
}

func (s *tableSource) List(ctx context.Context) (discovery.Listing, error) {
	listing, _ := s.invalidEntrySource.List(ctx)
	table, err := route.New(route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}})
	listing.Table = table
	return listing, err
}

func (s *tableSource) Changes(ctx context.Context, after discovery.Position, wait time.Duration) (discovery.Changes, error) {
	if s.unavailable.Load() {
		return discovery.Changes{}, discovery.ErrUnavailable
	}
	return s.invalidEntrySource.Changes(ctx, after, wait)
}

// While a machine is suspended for 10 s its monotonic clock stops. The age of the view, and of
// what the node publishes, must include that time.
func TestViewAgesWhileMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var suspended atomic.Int64 // in nanoseconds
		source := new(tableSource)
		follower := discovery.NewFollower(discovery.FollowerOptions{
			Source: source, Logger: zerolog.Nop(), OnChanged: func(discovery.ClusterState) {}, Self: "n",
			Elapsed: func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) },
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			follower.Run(ctx)
		}()
		time.Sleep(3 * time.Second)
		source.unavailable.Store(true)
		suspended.Store(int64(10 * time.Second))
		if age, known := follower.Age(); !known || age < 10*time.Second {
			t.Errorf("age of the view is %s, want at least 10s", age)
		}
		if _, published := follower.Publish(discovery.PublicationRequest{MaxAge: 3 * time.Second}); published {
			t.Error("a view from before the suspension is published to a node that requests a fresh one")
		}
		if publication, _ := follower.Publish(discovery.PublicationRequest{}); publication.Age < 10*time.Second {
			t.Errorf("published age is %s, want at least 10s", publication.Age)
		}
		source.unavailable.Store(false)
		time.Sleep(2 * time.Second)
		if age, _ := follower.Age(); age > 2*time.Second {
			t.Errorf("age of the view is %s, 2 s after the resume", age)
		}
		stop()
		<-ended
	})
}
