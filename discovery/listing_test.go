package discovery_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
)

// invalidEntrySource lists one valid server and one entry that cannot be decoded.
type invalidEntrySource struct{}

func (invalidEntrySource) List(context.Context) (discovery.Listing, error) {
	var listing discovery.Listing
	listing.Revision = 1
	listing.Servers = []discovery.Entry[discovery.Server]{{ID: "good", Revision: 1, Value: discovery.Server{ID: "good"}}}
	listing.Invalid = []discovery.InvalidEntry{{Name: "odd", Err: errors.New("not readable")}}
	return listing, nil
}

func (invalidEntrySource) Changes(_ context.Context, after discovery.Position, wait time.Duration) (discovery.Changes, error) {
	time.Sleep(wait)
	return discovery.Changes{Epoch: after.Epoch, Revision: after.Revision}, nil
}

// Entries that cannot be decoded are counted and have no other effect.
func TestInvalidEntriesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last discovery.ClusterState
		follower := discovery.NewFollower(discovery.FollowerOptions{
			Source: invalidEntrySource{}, Logger: zerolog.Nop(), OnChanged: func(state discovery.ClusterState) { last = state },
		})
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		follower.Run(ctx)
		if got := follower.InvalidEntries(); got != 1 {
			t.Errorf("%d invalid entries, want 1", got)
		}
		if len(last.Servers) != 1 {
			t.Errorf("%d servers known, want 1", len(last.Servers))
		}
	})
}

// slowSource takes some time to list everything.
type slowSource struct {
	invalidEntrySource
	listing time.Duration
}

func (s slowSource) List(ctx context.Context) (discovery.Listing, error) {
	time.Sleep(s.listing)
	return s.invalidEntrySource.List(ctx)
}

// A listing is as old as the start of the read, not as its end.
func TestListingAgeCountsFromStartOfRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const listing = 2 * time.Second
		var ages []time.Duration
		var follower *discovery.Follower
		follower = discovery.NewFollower(discovery.FollowerOptions{
			Source: slowSource{listing: listing}, Logger: zerolog.Nop(),
			OnChanged: func(discovery.ClusterState) {
				age, _ := follower.Age()
				ages = append(ages, age)
			},
		})
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		follower.Run(ctx)
		if len(ages) < 2 || ages[0] != listing || ages[1] != 0 {
			t.Errorf("ages of the view are %v, want %s first and 0 after the next read", ages, listing)
		}
	})
}
