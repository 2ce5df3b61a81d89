package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

// Options sets up a Dispatcher. The zero value of a field stands for its default.
type Options struct {
	// Seed makes random choices repeatable.
	Seed uint64
	// Zone is the node's own zone; servers there are preferred when otherwise equal.
	Zone string
	// RetryAfter is told to refused callers when nothing better is known.
	RetryAfter time.Duration
}

// DefaultRetryAfter is told to refused callers when nothing better is known.
const DefaultRetryAfter = time.Second

// Dispatcher carries the queries of one service. It is not safe for concurrent
// use: its owner serialises calls to Step.
type Dispatcher struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	actions  []Action
	service  policy.Service
	known    bool
	stopping bool
	classes  map[string]policy.Class
	groups   []group
	servers  map[string]*server
	queries  map[QueryID]*query
	attempts map[AttemptID]*attempt
	timers   timers
	wakeAt   time.Duration
	last     AttemptID
}

type group struct {
	span    coverage.Range
	servers []*server
}

// New returns a Dispatcher that refuses every query until it is configured.
func New(options Options) *Dispatcher {
	if options.RetryAfter <= 0 {
		options.RetryAfter = DefaultRetryAfter
	}
	return &Dispatcher{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		classes:  make(map[string]policy.Class),
		servers:  make(map[string]*server),
		queries:  make(map[QueryID]*query),
		attempts: make(map[AttemptID]*attempt),
		wakeAt:   never,
	}
}

// Step takes one event at the given time and returns the actions to carry out,
// in order. Time never decreases between calls. The caller owns the result.
func (d *Dispatcher) Step(now time.Duration, event Event) []Action {
	d.now = max(d.now, now)
	d.actions = nil
	switch event := event.(type) {
	case Arrived:
		d.arrive(event.Query)
	case CallerGone:
		d.callerGone(event.Query)
	case Replied:
		d.replied(event.Attempt, event.Reply)
	case Failed:
		d.failed(event)
	case Woken:
		d.wakeAt = never
	case Configured:
		d.configure(event)
	case ServerChanged:
		d.serverChanged(event)
	case Observed:
		d.observe(event.Server, event.Snapshots, event.Load)
	case Stopping:
		d.stopping = true
	}
	d.expire()
	d.wake()
	return d.actions
}

func (d *Dispatcher) emit(action Action) {
	d.actions = append(d.actions, action)
}
