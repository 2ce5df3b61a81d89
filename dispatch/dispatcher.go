package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/banksail/banksail/admission"
	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/internal/priority"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/retry"
	"github.com/banksail/banksail/snapshot"
)

// Dispatcher carries the queries of one service. It is not safe for concurrent
// use: its owner serialises calls to Step.
type Dispatcher struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	actions []Action

	// The configuration in force.
	configured         bool
	stopping           bool
	liveNodes          int
	service            policy.Service
	keySpace           coverage.Range
	classes            map[string]*class
	rankedClasses      []*class  // by rank
	blockedShares      []float64 // by rank, share of groups that may be without room
	groups             []*group  // by range
	generation         uint64    // of groups
	servers            map[string]*server
	unconfiguredStates map[string]ServerState // of servers that are not configured

	// What is learned.
	catalog   *snapshot.Catalog
	budget    *retry.Budget
	latencies retry.Sketch

	// What runs and waits. blocked counts, by rank, the groups without room.
	queue         *admission.Queue
	requests      map[QueryID]Query // that wait in the queue
	running       map[QueryID]*running
	attempts      map[AttemptID]*gather.Attempt
	blockedGroups []int
	lastAttemptID AttemptID

	// resumable lists the groups in which something that waits may find room. pumped
	// is the group whose waiting segments are being tried; those that
	// still find no room gather in passed until the end.
	resumable []*group
	resuming  *group
	skipped   []waiter

	timers       *priority.Queue[timer]
	sequence     uint64
	ownerTimerAt time.Duration
}

// New returns a Dispatcher that refuses every query until it is configured.
func New(options Options) *Dispatcher {
	options = options.withDefaults()
	d := &Dispatcher{
		options:            options,
		random:             rand.New(rand.NewPCG(options.Seed, 0)),
		classes:            make(map[string]*class),
		servers:            make(map[string]*server),
		unconfiguredStates: make(map[string]ServerState),
		catalog:            snapshot.NewCatalog(),
		budget:             retry.NewBudget(0, options.Budget),
		requests:           make(map[QueryID]Query),
		running:            make(map[QueryID]*running),
		attempts:           make(map[AttemptID]*gather.Attempt),
		timers:             newTimers(),
		ownerTimerAt:       never,
	}
	d.queue = admission.NewQueue(admission.Options{
		Order:         options.QueueOrder,
		MaximumQueued: options.MaximumQueued,
	})
	return d
}

// Step takes one event at the given time and returns the actions to carry out,
// in order. Time never decreases between calls. The caller owns the result.
func (d *Dispatcher) Step(now time.Duration, event Event) []Action {
	d.now = max(d.now, now)
	d.actions = nil
	d.handle(event)
	d.runDueTimers()
	d.resumeWaiting()
	d.startQueued()
	d.updateOwnerTimer()
	return d.actions
}

func (d *Dispatcher) handle(event Event) {
	switch event := event.(type) {
	case QueryArrived:
		d.handleArrival(event.Query)
	case CallerGone:
		d.handleCallerGone(event.Query)
	case AttemptReplied:
		d.handleReply(event.Attempt, event.Reply)
	case AttemptFailed:
		d.handleFailure(event)
	case TimerFired:
		d.ownerTimerAt = never
	case Configured:
		d.configure(event)
	case ServerChanged:
		d.handleServerChanged(event)
	case ServerReported:
		d.handleServerReported(event)
	case NodesChanged:
		d.setLiveNodes(event.Live)
	case Stopping:
		d.stop()
	}
}

func (d *Dispatcher) emit(action Action) {
	d.actions = append(d.actions, action)
}
