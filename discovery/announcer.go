package discovery

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// AnnouncerOptions configures an Announcer. Zero fields get defaults.
type AnnouncerOptions struct {
	Registrar Registrar
	Node      Node
	Logger    zerolog.Logger
	// TimeToLive is the lifetime of the entry without renewal; default 10 s.
	TimeToLive time.Duration
	// CallTimeout is the timeout of a single call; default 1.2 s.
	CallTimeout time.Duration
}

// Default values of AnnouncerOptions.
const (
	// DefaultTimeToLive is longer than the simultaneous restart of all nodes after a power
	// failure takes, so that they find each other by the entries of their previous
	// incarnations. Nothing waits for an entry to expire.
	DefaultTimeToLive = 10 * time.Second
	// DefaultAnnounceTimeout is 300 times the registry's usual response time.
	DefaultAnnounceTimeout = 1200 * time.Millisecond

	// renewShare is the fraction of the time to live after which an entry is renewed: two
	// renewals may fail before it expires.
	renewShare = 0.32
)

// Announcer maintains this node's own entry in a registry while the node is one of those
// through which others find the cluster.
type Announcer struct {
	options AnnouncerOptions
	wake    chan struct{}

	mutex sync.Mutex
	// mutex guards the fields below.
	enabled bool
	lease   Lease
}

// NewAnnouncer returns an Announcer that is disabled until SetEnabled is called.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	options.TimeToLive = cmp.Or(options.TimeToLive, DefaultTimeToLive)
	options.CallTimeout = cmp.Or(options.CallTimeout, DefaultAnnounceTimeout)
	return &Announcer{options: options, wake: make(chan struct{}, 1)}
}

// SetEnabled sets whether the node's entry is maintained. When it is disabled, the entry expires
// by itself, which costs no call.
func (a *Announcer) SetEnabled(wanted bool) {
	a.mutex.Lock()
	changed := a.enabled != wanted
	a.enabled = wanted
	a.mutex.Unlock()
	if !changed {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run maintains the entry until ctx is done, and then revokes it.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.registerOrRenew(ctx)
		if errors.Is(err, ErrLeaseExpired) {
			err = a.registerOrRenew(ctx) // registers again
		}
		if err != nil && ctx.Err() == nil {
			a.options.Logger.Debug().Err(err).Msg("failed to register or renew this node's entry")
		}
		a.waitForRenewal(ctx)
	}
	a.revoke()
}

// waitForRenewal waits until the entry is due for renewal or SetEnabled changes the setting.
func (a *Announcer) waitForRenewal(ctx context.Context) {
	waiting, stop := context.WithTimeout(ctx, time.Duration(renewShare*float64(a.options.TimeToLive)))
	defer stop()
	select {
	case <-waiting.Done():
	case <-a.wake:
	}
}

// registerOrRenew registers the node or renews its lease, if the announcer is enabled.
func (a *Announcer) registerOrRenew(ctx context.Context) error {
	a.mutex.Lock()
	lease, wanted := a.lease, a.enabled
	a.mutex.Unlock()
	if !wanted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	var err error
	if lease == nil {
		lease, err = a.options.Registrar.Register(ctx, a.options.Node, a.options.TimeToLive)
	} else {
		err = lease.Renew(ctx)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case err == nil:
		a.lease = lease
	case errors.Is(err, ErrLeaseExpired):
		a.lease = nil
		a.options.Logger.Info().Msg("own lease is over")
	}
	return err
}

// revokeTimeout is the timeout of the call that revokes the lease on shutdown.
const revokeTimeout = 300 * time.Millisecond

func (a *Announcer) revoke() {
	a.mutex.Lock()
	lease, wanted := a.lease, a.enabled
	a.mutex.Unlock()
	if lease == nil || !wanted {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := lease.Revoke(ctx); err != nil {
		a.options.Logger.Debug().Err(err).Msg("failed to revoke this node's lease")
	}
}
