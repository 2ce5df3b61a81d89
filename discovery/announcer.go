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
	// TimeToLive is how long the entry of a node that serves callers stays without
	// renewal; default 2.5 s. RestingTimeToLive is the same for one that does not, of
	// which nobody needs to know so soon that it is gone; default 10 s.
	TimeToLive, RestingTimeToLive time.Duration
}

// Defaults of AnnouncerOptions.
const (
	DefaultTimeToLive        = 2500 * time.Millisecond
	DefaultRestingTimeToLive = 10 * time.Second

	// renewShare is the part of the time to live after which an entry is renewed.
	renewShare = 0.32
	// restAfter is how long a node has served nobody before its entry may rest: each
	// change costs two calls.
	restAfter = 8 * time.Second
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
	// granted is the time to live of the lease.
	granted time.Duration
	// servesNobody says that callers are sent elsewhere, since restingSince.
	servesNobody bool
	restingSince time.Time
	wake         chan struct{}
}

// NewAnnouncer returns an announcer that has written nothing.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	options.TimeToLive = cmp.Or(options.TimeToLive, DefaultTimeToLive)
	options.RestingTimeToLive = cmp.Or(options.RestingTimeToLive, DefaultRestingTimeToLive)
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

// SetServing tells whether callers are sent to the node.
func (a *Announcer) SetServing(serves bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if serves || !a.servesNobody {
		a.restingSince = time.Now()
	}
	a.servesNobody = !serves
}

// timeToLive is that which the node's entry should have now: one that has no entry
// yet begins as what it is. The mutex is held.
func (a *Announcer) timeToLive() time.Duration {
	if a.servesNobody && (a.lease == nil || time.Since(a.restingSince) >= restAfter) {
		return a.options.RestingTimeToLive
	}
	if a.servesNobody && a.granted > 0 {
		return a.granted
	}
	return a.options.TimeToLive
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
		waiting, stop := context.WithTimeout(ctx, a.renewEvery())
		select {
		case <-waiting.Done():
		case <-a.wake:
		}
		stop()
	}
	a.end()
}

func (a *Announcer) renewEvery() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	every := time.Duration(renewShare * float64(a.options.TimeToLive))
	if a.granted > 0 {
		every = time.Duration(renewShare * float64(a.granted))
	}
	return every
}

// keep registers the node, brings its entry up to date, or renews the lease.
func (a *Announcer) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.TimeToLive/2)
	defer cancel()
	a.mutex.Lock()
	node, lease, written, granted, wanted := a.node, a.lease, a.written, a.granted, a.timeToLive()
	a.mutex.Unlock()
	var err error
	switch {
	case lease == nil || granted != wanted:
		// The entry goes under the new lease; an earlier one runs out without it.
		lease, err = a.options.Registrar.Register(ctx, node, wanted)
		granted = wanted
	case !written:
		err = lease.Update(ctx, node)
	default:
		err = lease.Renew(ctx)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case err == nil:
		a.lease, a.granted = lease, granted
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
