package discovery_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
)

// registrar holds one entry, which expires when its lease is not renewed in time.
type registrar struct {
	mutex     sync.Mutex
	expiresAt time.Time
	// registrations, renewals and revocations count the calls, including failed ones.
	registrations, renewals, revocations int
	down                                 bool
}

var errDown = errors.New("registrar is down")

func (r *registrar) Register(_ context.Context, _ discovery.Node, timeToLive time.Duration) (discovery.Lease, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.registrations++
	if r.down {
		return nil, errDown
	}
	r.expiresAt = time.Now().Add(timeToLive)
	return &countedLease{registrar: r, timeToLive: timeToLive}, nil
}

// registered reports whether the entry is present.
func (r *registrar) registered() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Now().Before(r.expiresAt)
}

type countedLease struct {
	registrar  *registrar
	timeToLive time.Duration
}

func (l *countedLease) Renew(context.Context) error {
	r := l.registrar
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.renewals++
	switch {
	case r.down:
		return errDown
	case !time.Now().Before(r.expiresAt):
		return discovery.ErrLeaseExpired
	}
	r.expiresAt = time.Now().Add(l.timeToLive)
	return nil
}

func (l *countedLease) Revoke(context.Context) error {
	l.registrar.mutex.Lock()
	defer l.registrar.mutex.Unlock()
	l.registrar.revocations++
	l.registrar.expiresAt = time.Time{}
	return nil
}

// withAnnouncer runs a test with an Announcer in the background, and stops it afterwards.
func withAnnouncer(t *testing.T, run func(t *testing.T, r *registrar, a *discovery.Announcer)) (after *registrar) {
	t.Helper()
	r := new(registrar)
	synctest.Test(t, func(t *testing.T) {
		announcer := discovery.NewAnnouncer(discovery.AnnouncerOptions{Registrar: r, Logger: zerolog.Nop()})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { announcer.Run(ctx) })
		run(t, r, announcer)
		stop()
		running.Wait()
	})
	return r
}

// wantRegistered fails the test unless the entry is present for the whole duration.
func wantRegistered(t *testing.T, r *registrar, during time.Duration, when string) {
	t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !r.registered() {
			t.Fatalf("%s: the entry is missing", when)
		}
	}
}

// A disabled announcer makes no calls at all.
func TestDisabledAnnouncerMakesNoCalls(t *testing.T) {
	r := withAnnouncer(t, func(_ *testing.T, _ *registrar, a *discovery.Announcer) {
		time.Sleep(time.Minute)
		a.SetEnabled(false)
		time.Sleep(time.Minute)
	})
	if r.registrations+r.renewals+r.revocations > 0 {
		t.Errorf("%d registrations, %d renewals, %d revocations, want none", r.registrations, r.renewals, r.revocations)
	}
}

// While the announcer is enabled the entry is present at once and never expires; after it is
// disabled the entry expires without a call; when enabled again it is present at once.
func TestEntryIsRegisteredWhileEnabled(t *testing.T) {
	const period = time.Minute
	r := withAnnouncer(t, func(t *testing.T, r *registrar, a *discovery.Announcer) {
		for _, when := range []string{"at first", "again"} {
			a.SetEnabled(true)
			synctest.Wait()
			wantRegistered(t, r, period, when)
			a.SetEnabled(false)
			synctest.Wait()
			renewals := r.renewals
			time.Sleep(2 * discovery.DefaultTimeToLive)
			if r.registered() || r.renewals != renewals {
				t.Errorf("%s: the entry is present (%t) after %d further renewals", when, r.registered(), r.renewals-renewals)
			}
		}
	})
	if most := int(2*period/discovery.DefaultTimeToLive)*4 + 2; r.renewals > most || r.registrations > 3 || r.revocations > 0 {
		t.Errorf("%d renewals (at most %d), %d registrations, %d revocations", r.renewals, most, r.registrations, r.revocations)
	}
}

// An entry that expired in an outage is registered soon after it, with few calls in the meantime.
func TestEntryIsRegisteredAgainAfterOutage(t *testing.T) {
	const outage = 30 * time.Second
	r := withAnnouncer(t, func(t *testing.T, r *registrar, a *discovery.Announcer) {
		a.SetEnabled(true)
		synctest.Wait()
		setDown := func(down bool) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.down = down
		}
		setDown(true)
		time.Sleep(outage)
		setDown(false)
		time.Sleep(discovery.DefaultTimeToLive / 3)
		wantRegistered(t, r, time.Minute, "after the outage")
		if calls := r.registrations + r.renewals; calls > 40 {
			t.Errorf("%d calls in 100 s with an outage of %s", calls, outage)
		}
	})
	if r.revocations != 1 {
		t.Errorf("the lease was revoked %d times on shutdown, want once", r.revocations)
	}
}
