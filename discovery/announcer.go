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
	// TimeToLive is how long the entry stays without renewal; default 10 s.
	TimeToLive time.Duration
	// CallTimeout bounds one call; default 1.2 s.
	CallTimeout time.Duration
}

// Defaults of AnnouncerOptions.
const (
	// DefaultTimeToLive outlasts the start of all nodes after they lost power at the
	// same moment: they find each other by the entries of their earlier incarnations.
	// Nobody waits for an entry to go.
	DefaultTimeToLive = 10 * time.Second
	// DefaultAnnounceTimeout is 300 times the registry's usual answer.
	DefaultAnnounceTimeout = 1200 * time.Millisecond

	// renewShare is the part of the time to live after which an entry is renewed: two
	// renewals may fail.
	renewShare = 0.32
)

// Announcer keeps the node's own entry in a registry while the node is one that
// others are to be found by.
type Announcer struct {
	options AnnouncerOptions
	wake    chan struct{}

	mutex sync.Mutex
	// mutex guards the fields below.
	enabled bool
	lease   Lease
}

// NewAnnouncer returns an announcer that has written nothing, and won't until it is
// told that the entry is wanted.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	options.TimeToLive = cmp.Or(options.TimeToLive, DefaultTimeToLive)
	options.CallTimeout = cmp.Or(options.CallTimeout, DefaultAnnounceTimeout)
	return &Announcer{options: options, wake: make(chan struct{}, 1)}
}

// SetEnabled tells whether the node's entry is to be kept. One that is not wanted any
// more runs out by itself, which costs no call.
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

// Run keeps the entry until ctx ends, and then ends it.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.registerOrRenew(ctx)
		if errors.Is(err, ErrLeaseExpired) {
			err = a.registerOrRenew(ctx) // registers anew
		}
		if err != nil && ctx.Err() == nil {
			a.options.Logger.Debug().Err(err).Msg("own entry could not be kept")
		}
		a.waitForRenewal(ctx)
	}
	a.revoke()
}

// waitForRenewal waits until the entry is to be renewed, or whether it is wanted has changed.
func (a *Announcer) waitForRenewal(ctx context.Context) {
	waiting, stop := context.WithTimeout(ctx, time.Duration(renewShare*float64(a.options.TimeToLive)))
	defer stop()
	select {
	case <-waiting.Done():
	case <-a.wake:
	}
}

// registerOrRenew registers the node or renews its lease, if its entry is wanted.
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

// revokeTimeout bounds the last call.
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
		a.options.Logger.Debug().Err(err).Msg("own lease could not be ended")
	}
}
