package discovery_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
)

// registrar keeps one entry, which goes when its lease is not renewed in time.
type registrar struct {
	mutex      sync.Mutex
	expiresAt  time.Time
	lapses     int
	registered []time.Duration
	renewals   int
}

func (r *registrar) Register(_ context.Context, _ discovery.Node, timeToLive time.Duration) (discovery.Lease, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.registered = append(r.registered, timeToLive)
	r.extend(timeToLive)
	return &countedLease{registrar: r, timeToLive: timeToLive}, nil
}

func (r *registrar) extend(timeToLive time.Duration) {
	if !r.expiresAt.IsZero() && time.Now().After(r.expiresAt) {
		r.lapses++
	}
	r.expiresAt = time.Now().Add(timeToLive)
}

type countedLease struct {
	registrar  *registrar
	timeToLive time.Duration
}

func (l *countedLease) Renew(context.Context) error {
	l.registrar.mutex.Lock()
	defer l.registrar.mutex.Unlock()
	l.registrar.renewals++
	l.registrar.extend(l.timeToLive)
	return nil
}

func (l *countedLease) Update(ctx context.Context, _ discovery.Node) error { return l.Renew(ctx) }

func (l *countedLease) End(context.Context) error { return nil }

// The entry of a node that serves nobody is renewed less often, and that of one that
// begins to serve as often as others' at once; it never lapses on the way.
func TestEntriesOfRestingNodesLiveLonger(t *testing.T) {
	const (
		short, long = 2 * time.Second, 10 * time.Second
		spell       = 60 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		r := new(registrar)
		announcer := discovery.NewAnnouncer(discovery.AnnouncerOptions{
			Registrar: r, Logger: zerolog.Nop(), TimeToLive: short, RestingTimeToLive: long,
		})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { announcer.Run(ctx) })
		renewalsIn := func(serves bool) int {
			announcer.SetServing(serves)
			time.Sleep(spell)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			count := r.renewals
			r.renewals = 0
			return count
		}
		serving, resting, again := renewalsIn(true), renewalsIn(false), renewalsIn(true)
		stop()
		running.Wait()
		if resting > serving/2 || again < serving*9/10 {
			t.Errorf("%d renewals while it serves, %d while it rests, %d while it serves again", serving, resting, again)
		}
		if want := []time.Duration{short, long, short}; len(r.registered) != len(want) || r.registered[1] != long {
			t.Errorf("registered for %v, want %v", r.registered, want)
		}
		if r.lapses > 0 {
			t.Errorf("the entry lapsed %d times", r.lapses)
		}
	})
}
