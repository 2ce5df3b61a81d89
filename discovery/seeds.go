package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/banksail/banksail/internal/clock"
)

// seedRetryPause is the time between two rounds of requests to the seeds at start-up.
const seedRetryPause = 150 * time.Millisecond

// bootstrapFromSeeds initializes the view from a seed's publication if one is available within
// SeedTimeout.
func (f *Follower) bootstrapFromSeeds(ctx context.Context) {
	if f.options.Fetcher == nil || f.options.SeedTimeout == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.SeedTimeout)
	defer cancel()
	for ctx.Err() == nil {
		publication, ok := f.fetchFromAnySeed(ctx, PublicationRequest{MaxAge: f.options.StaleAfter})
		if ok && publication.Age <= f.options.StaleAfter && f.applyPublication(publication) == nil {
			f.initialized = true
			return
		}
		_ = clock.Sleep(ctx, seedRetryPause) // the loop checks ctx
	}
}

// fetchFromAnySeed sends requests to all seeds concurrently and returns the first answer.
func (f *Follower) fetchFromAnySeed(ctx context.Context, request PublicationRequest) (publication Publication, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, f.options.FetchTimeout)
	defer cancel()
	answers := make(chan Publication, len(f.options.Seeds))
	var requests sync.WaitGroup
	for _, seed := range f.options.Seeds {
		requests.Go(func() {
			if answer, err := f.options.Fetcher.Fetch(ctx, seed, request); err == nil {
				answers <- answer
			}
		})
	}
	go func() {
		requests.Wait()
		close(answers)
	}()
	publication, ok = <-answers
	return publication, ok
}

// adoptFromSeeds adopts another node's state regardless of its age, as long as this node has
// never synced with the registry. A node that starts during an outage would otherwise reject all
// requests, and call the registry as often as a node without any state.
func (f *Follower) adoptFromSeeds(ctx context.Context) {
	if f.initialized || f.options.Fetcher == nil {
		return
	}
	publication, ok := f.fetchFromAnySeed(ctx, PublicationRequest{Position: f.knownPosition()})
	if !ok || f.applyPublication(publication) != nil {
		return
	}
	f.initialized = true
	f.options.Logger.Warn().Str("publisher", publication.Publisher).Dur("age_ms", publication.Age).
		Msg("registry unavailable, adopting another node's view")
}
