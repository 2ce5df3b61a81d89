package discovery_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/route"
)

// outageSource is a registry with an outage in which the entry of one server expires. While that
// removal is delivered, another server leaves and the history is lost.
type outageSource struct {
	table *route.Table
	calls int
	// removalDelivered is closed once the removal is being delivered; listingSent receives the
	// time at which the listing without the other server is sent.
	removalDelivered chan struct{}
	listingSent      chan time.Time
}

var errOutage = errors.New("outage")

func (s *outageSource) List(context.Context) (discovery.Listing, error) {
	listing := discovery.Listing{Revision: 1, Table: s.table}
	names := []string{"stays", "lapses", "leaves"}
	if s.calls > 0 {
		listing.Revision, names = 3, names[:1]
		s.listingSent <- time.Now()
	}
	for _, id := range names {
		listing.Servers = append(listing.Servers, discovery.Entry[discovery.Server]{ID: id, Revision: 1, Value: discovery.Server{ID: id}})
	}
	return listing, nil
}

func (s *outageSource) Changes(context.Context, discovery.Position, time.Duration) (discovery.Changes, error) {
	s.calls++
	switch s.calls {
	case 1:
		return discovery.Changes{}, errOutage
	case 2:
		gone := discovery.Entry[discovery.Server]{ID: "lapses", Revision: 2, Gone: true}
		return discovery.Changes{Revision: 2, Servers: []discovery.Entry[discovery.Server]{gone}}, nil
	default:
		<-s.removalDelivered
		return discovery.Changes{}, discovery.ErrHistoryGone
	}
}

// Published content is never older than the published age, even while a listing is applied and the
// owner's callback is slow: content and age change together.
func TestPublishedContentIsNoOlderThanItsAge(t *testing.T) {
	table, err := route.New(route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}})
	if err != nil {
		t.Fatal(err)
	}
	source := &outageSource{table: table, removalDelivered: make(chan struct{}), listingSent: make(chan time.Time, 1)}
	release := make(chan struct{})
	had := false
	follower := discovery.NewFollower(discovery.FollowerOptions{
		Source: source, Self: "node", Logger: zerolog.Nop(), PollInterval: time.Millisecond,
		View: discovery.Options{OutageAfter: time.Nanosecond, RemovalGrace: 20 * time.Millisecond},
		OnChanged: func(state discovery.ClusterState) {
			has := slices.ContainsFunc(state.Servers, func(s discovery.Server) bool { return s.ID == "lapses" })
			if had && !has {
				close(source.removalDelivered)
				<-release
			}
			had = has
		},
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	left := <-source.listingSent
	for range 100 { // the listing is applied as far as possible
		publication, ok := follower.Publish(discovery.PublicationRequest{})
		published := slices.ContainsFunc(publication.Servers, func(s discovery.Server) bool { return s.ID == "leaves" })
		if since := time.Since(left); !ok || published && publication.Age < since {
			t.Errorf("%s after a server left it is still published, with an age of %s (%t)", since, publication.Age, ok)
			break
		}
		time.Sleep(time.Millisecond)
	}
	stop()
	close(release)
	<-ended
}
