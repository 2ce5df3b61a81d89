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
	// TimeToLive is how long the entry stays without renewal; default 2.5 s.
	TimeToLive time.Duration
	// RenewEvery is the time between renewals; default 800 ms.
	RenewEvery time.Duration
}

// Defaults of AnnouncerOptions.
const (
	DefaultTimeToLive = 2500 * time.Millisecond
	DefaultRenewEvery = 800 * time.Millisecond
)

// Announcer keeps the node's own entry in a registry.
type Announcer struct {
	options AnnouncerOptions

	mutex sync.Mutex
	// mutex guards the fields below.
	node  Node
	lease Lease
	// written says that the entry holds node as it is now.
	written bool
	wake    chan struct{}
}

// NewAnnouncer returns an announcer that has written nothing.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	options.TimeToLive = cmp.Or(options.TimeToLive, DefaultTimeToLive)
	options.RenewEvery = cmp.Or(options.RenewEvery, DefaultRenewEvery)
	return &Announcer{options: options, node: options.Node, wake: make(chan struct{}, 1)}
}

// Leave announces that the node is leaving.
func (a *Announcer) Leave() {
	a.change(func(n *Node) { n.Leaving = true })
}

// SetBusy announces whether others should help the node.
func (a *Announcer) SetBusy(busy bool) {
	a.change(func(n *Node) { n.Busy = busy })
}

// change announces the node as it is now, soon, if that is news.
func (a *Announcer) change(apply func(*Node)) {
	a.mutex.Lock()
	before := a.node
	apply(&a.node)
	if a.node == before {
		a.mutex.Unlock()
		return
	}
	a.written = false
	a.mutex.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run keeps the entry until ctx ends, and then ends it.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.keep(ctx)
		if errors.Is(err, ErrLeaseOver) {
			err = a.keep(ctx) // registers anew: others take the node for gone
		}
		if err != nil && ctx.Err() == nil {
			a.options.Logger.Debug().Err(err).Msg("own entry could not be kept")
		}
		waiting, stop := context.WithTimeout(ctx, a.options.RenewEvery)
		select {
		case <-waiting.Done():
		case <-a.wake:
		}
		stop()
	}
	a.end()
}

// keep registers the node, brings its entry up to date, or renews the lease.
func (a *Announcer) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.TimeToLive/2)
	defer cancel()
	a.mutex.Lock()
	node, lease, written := a.node, a.lease, a.written
	a.mutex.Unlock()
	var err error
	switch {
	case lease == nil:
		lease, err = a.options.Registrar.Register(ctx, node, a.options.TimeToLive)
	case !written:
		err = lease.Update(ctx, node)
	default:
		err = lease.Renew(ctx)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case err == nil:
		a.lease = lease
		a.written = a.node == node
	case errors.Is(err, ErrLeaseOver):
		a.lease, a.written = nil, false
		a.options.Logger.Warn().Msg("own lease is over, registering anew")
	}
	return err
}

// endTimeout bounds the last call.
const endTimeout = 300 * time.Millisecond

func (a *Announcer) end() {
	a.mutex.Lock()
	lease := a.lease
	a.mutex.Unlock()
	if lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := lease.End(ctx); err != nil {
		a.options.Logger.Debug().Err(err).Msg("own lease could not be ended")
	}
}
