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

// oddSource lists one server, and one entry that can't be read.
type oddSource struct{}

func (oddSource) List(context.Context) (discovery.Listing, error) {
	var listing discovery.Listing
	listing.Revision = 1
	listing.Servers = []discovery.Entry[discovery.Server]{{ID: "good", Revision: 1, Value: discovery.Server{ID: "good"}}}
	listing.Invalid = []discovery.InvalidEntry{{Name: "odd", Err: errors.New("not readable")}}
	return listing, nil
}

func (oddSource) Changes(_ context.Context, after discovery.Revision, wait time.Duration) (discovery.Changes, error) {
	time.Sleep(wait)
	return discovery.Changes{Revision: after}, nil
}

// Entries that can't be read are counted, and change nothing else.
func TestInvalidEntriesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last discovery.News
		follower := discovery.NewFollower(discovery.FollowerOptions{
			Source: oddSource{}, Logger: zerolog.Nop(), Changed: func(news discovery.News) { last = news },
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
