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

// invalidEntrySource lists one server, and one entry that can't be read.
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

// Entries that can't be read are counted, and change nothing else.
func TestInvalidEntriesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last discovery.ClusterState
		follower := discovery.NewFollower(discovery.FollowerOptions{
			Source: invalidEntrySource{}, Logger: zerolog.Nop(), Changed: func(news discovery.ClusterState) { last = news },
		})
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		follower.Run(ctx)
		if got := follower.InvalidEntries(); got != 1 {
			t.Errorf("%d entries are counted, want 1", got)
		}
		if len(last.Servers) != 1 {
			t.Errorf("%d servers are believed, want 1", len(last.Servers))
		}
	})
}

// slowSource takes a while to list everything.
type slowSource struct {
	invalidEntrySource
	listing time.Duration
}

func (s slowSource) List(ctx context.Context) (discovery.Listing, error) {
	time.Sleep(s.listing)
	return s.invalidEntrySource.List(ctx)
}

// A listing that took long is as old as its beginning.
func TestListingAgeCountsFromStartOfRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const listing = 2 * time.Second
		var ages []time.Duration
		var follower *discovery.Follower
		follower = discovery.NewFollower(discovery.FollowerOptions{
			Source: slowSource{listing: listing}, Logger: zerolog.Nop(),
			Changed: func(discovery.ClusterState) {
				age, _ := follower.Age()
				ages = append(ages, age)
			},
		})
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		follower.Run(ctx)
		if len(ages) < 2 || ages[0] != listing || ages[1] != 0 {
			t.Errorf("the ages of what is believed are %v, want %s first and none after the next reading", ages, listing)
		}
	})
}
