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

// Dispatcher runs the queries of one service. It is not safe for concurrent use: the owner must
// serialize calls to Step.
type Dispatcher struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	actions []Action

	// Current configuration.
	configured         bool
	stopping           bool
	liveNodes          int
	service            policy.Service
	keySpace           coverage.Range
	classes            map[string]*class
	rankedClasses      []*class  // by rank
	blockedShares      []float64 // by rank; share of groups that may lack capacity when a query starts
	groups             []*group  // sorted by range
	generation         uint64    // incremented when groups change
	servers            map[string]*server
	unconfiguredStates map[string]ServerState // of servers that are not configured

	// Estimates and what is known of snapshots and budgets.
	catalog   *snapshot.Catalog
	budget    *retry.Budget
	latencies retry.Sketch

	// Queued and running queries. blockedGroups counts, by rank, the groups that lack capacity.
	queue         *admission.Queue
	requests      map[QueryID]Query // of queries in the queue
	running       map[QueryID]*running
	attempts      map[AttemptID]*gather.Attempt
	blockedGroups []int
	lastAttemptID AttemptID

	// resumable lists the groups in which a waiting segment may find capacity. resuming is the
	// group whose waiting segments are being retried; those that still find no capacity are
	// collected in skipped until the end.
	resumable []*group
	resuming  *group
	skipped   []waiter

	timers       *priority.Queue[timer]
	sequence     uint64
	ownerTimerAt time.Duration
}

// New returns a Dispatcher that refuses all queries until it is configured.
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

// Step processes an event at the given time and returns the resulting actions in order. Times
// must not decrease between calls. The caller owns the returned slice.
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
