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

// tableSource lists a table, and fails once it is cut off.
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

// A machine is suspended for 10 s: its steady clock stands still. What the node believes is as
// old as it is, and so it tells others.
func TestViewAgesWhileMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var suspended atomic.Int64 // in nanoseconds
		source := new(tableSource)
		follower := discovery.NewFollower(discovery.FollowerOptions{
			Source: source, Logger: zerolog.Nop(), Changed: func(discovery.ClusterState) {}, Self: "n",
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
			t.Errorf("believed to be %s old", age)
		}
		if _, told := follower.Publish(discovery.PublicationRequest{MaxAge: 3 * time.Second}); told {
			t.Error("a belief of before the suspension is told to one who asks for a fresh one")
		}
		if told, _ := follower.Publish(discovery.PublicationRequest{}); told.Age < 10*time.Second {
			t.Errorf("told to be %s old", told.Age)
		}
		source.unavailable.Store(false)
		time.Sleep(2 * time.Second)
		if age, _ := follower.Age(); age > 2*time.Second {
			t.Errorf("%s old, 2 s after it woke", age)
		}
		stop()
		<-ended
	})
}
