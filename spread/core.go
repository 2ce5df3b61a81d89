// Package spread spreads the accepted configuration over all nodes and
// confirms the operators' plans.
//
// Few nodes watch the platform's store, which is rate-limited. Nodes carry
// revisions to each other: whoever learns a higher one pushes it to a few
// random peers, and every node compares with a random peer from time to time.
// A node takes only higher revisions, so no stale reader can bring an old one
// back; the choice of watchers is only an optimisation.
package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/policy"
)

// Member is a live node, as membership knows it.
type Member struct {
	ID   string
	Zone string
	// Revision is the configuration in force at the member, as last heard.
	Revision policy.Revision
}

// CoreOptions sets a core's identity and pace; zero values mean the defaults.
type CoreOptions struct {
	// Self is this node's ID.
	Self string
	// Zone is this node's zone.
	Zone string
	// Seed makes the core's random choices repeatable.
	Seed uint64
	// PushFanout is the number of peers that a new revision is pushed to.
	PushFanout int
	// CompareInterval is the mean time between comparisons with a random peer.
	CompareInterval time.Duration
	// WatchTimeout is how long one watch of the store may last.
	WatchTimeout time.Duration
	// MinimumWatchers is the least number of nodes that watch the store.
	MinimumWatchers int
	// MaximumWatchers bounds the nodes that watch the store, one a zone.
	MaximumWatchers int
}

// Defaults of CoreOptions.
const (
	DefaultPushFanout      = 3
	DefaultCompareInterval = 2 * time.Second
	DefaultWatchTimeout    = 20 * time.Second
	DefaultMinimumWatchers = 3
	DefaultMaximumWatchers = 8
)

// Pace of store reads and of retries.
const (
	storeBackoffBase    = 250 * time.Millisecond
	storeBackoffMaximum = 8 * time.Second
	// watchDelay separates two watches, so that a store that answers at once
	// is not asked in a tight loop.
	watchDelay = 200 * time.Millisecond
	// bootstrapReadSpacing is the time that each node adds to the period over
	// which nodes without a configuration spread their store reads.
	bootstrapReadSpacing = 20 * time.Millisecond
	// nonWatcherReadSpacing is the same for nodes that do not watch: together they
	// read the store once in this time.
	nonWatcherReadSpacing = 5 * time.Second
	// nonWatcherReadInterval is the least time between two spare reads of a node.
	nonWatcherReadInterval = 30 * time.Second
	// bootstrapCompareInterval replaces CompareInterval until a configuration is known.
	bootstrapCompareInterval = 250 * time.Millisecond
	// fetchRetryDelay follows a failed comparison.
	fetchRetryDelay = 200 * time.Millisecond
	// reportedFetchDelay follows word of a higher revision.
	reportedFetchDelay = 100 * time.Millisecond
	// aheadComparisons of its comparisons a node makes with members that are
	// said to be ahead, out of comparisonCycle; the others are random, since
	// such word may be out of date.
	aheadComparisons = 3
	comparisonCycle  = 4
	// pushAttemptFactor bounds the pushes of one revision, as a multiple of the fan-out.
	pushAttemptFactor = 3
)

func (o CoreOptions) withDefaults() CoreOptions {
	o.PushFanout = cmp.Or(o.PushFanout, DefaultPushFanout)
	o.CompareInterval = cmp.Or(o.CompareInterval, DefaultCompareInterval)
	o.WatchTimeout = cmp.Or(o.WatchTimeout, DefaultWatchTimeout)
	o.MinimumWatchers = cmp.Or(o.MinimumWatchers, DefaultMinimumWatchers)
	o.MaximumWatchers = cmp.Or(o.MaximumWatchers, DefaultMaximumWatchers)
	return o
}

// Core is the pure state machine of one node. Its owner calls Step with what
// happened, serialised by the owner's lock, and carries out the actions. It
// has no goroutine, clock or I/O.
type Core struct {
	options CoreOptions
	random  *rand.Rand

	revision policy.Revision
	digest   string

	// members holds the other live nodes, sorted by ID.
	members []Member
	// highestReported is the highest revision that membership told of.
	highestReported policy.Revision
	isWatcher       bool

	started           bool
	nextStoreRead     time.Duration
	storeReadInFlight bool
	storeBackoff      time.Duration
	nextComparison    time.Duration
	fetchInFlight     bool
	pushesLeft        int
	timerAt           time.Duration
}

// NewCore makes a core that knows no configuration yet.
func NewCore(options CoreOptions) *Core {
	options = options.withDefaults()
	return &Core{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, hashID(options.Self))),
		isWatcher: true,
		timerAt:   never,
	}
}

const never = time.Duration(1<<63 - 1)

// Revision is the highest revision that the core has adopted.
func (c *Core) Revision() policy.Revision { return c.revision }

// IsWatcher tells whether the node watches the store.
func (c *Core) IsWatcher() bool { return c.isWatcher }

// Step takes one event and returns what the owner must do, in order.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.scheduleFirst(now)
	var actions []Action
	switch event := event.(type) {
	case RecordOffered:
		actions = c.handleRecordOffered(now, event)
	case MembersChanged:
		c.handleMembersChanged(now, event.Members)
	case StoreReadCompleted:
		c.handleStoreReadCompleted(now, event)
	case FetchCompleted:
		c.handleFetchCompleted(now, event)
	case PushCompleted:
		actions = c.handlePushCompleted(event)
	case TimerFired:
		c.timerAt = never
	}
	actions = append(actions, c.startDueReads(now)...)
	return append(actions, c.updateTimer()...)
}

func (c *Core) scheduleFirst(now time.Duration) {
	if c.started {
		return
	}
	c.started = true
	c.nextStoreRead = now + c.jitter(storeBackoffBase)
	c.nextComparison = now + c.jitter(bootstrapCompareInterval)
}

// handleRecordOffered adopts a higher revision and pushes it on; anything else changes nothing.
func (c *Core) handleRecordOffered(now time.Duration, event RecordOffered) []Action {
	c.recordMemberRevision(event.From, event.Revision)
	if event.Revision == c.revision && event.Digest != c.digest {
		return []Action{ReportDivergence{Revision: event.Revision, From: event.From}}
	}
	if event.Revision <= c.revision {
		return nil
	}
	fresh := c.revision == 0
	c.revision = event.Revision
	c.digest = event.Digest
	c.pushesLeft = c.options.PushFanout * pushAttemptFactor
	if fresh {
		c.nextComparison = now + c.jitter(c.options.CompareInterval)
		c.nextStoreRead = now + c.storeReadDelay()
	}
	actions := []Action{Adopt{Revision: event.Revision}}
	return append(actions, c.pickPushes(c.options.PushFanout)...)
}

// pickPushes picks random members that are behind, as far as is known.
func (c *Core) pickPushes(count int) []Action {
	behind := make([]int, 0, len(c.members))
	for index := range c.members {
		if c.members[index].Revision < c.revision {
			behind = append(behind, index)
		}
	}
	actions := []Action{}
	for len(behind) > 0 && count > 0 && c.pushesLeft > 0 {
		pick := c.random.IntN(len(behind))
		actions = append(actions, Push{Member: c.members[behind[pick]].ID, Revision: c.revision})
		behind = slices.Delete(behind, pick, pick+1)
		count--
		c.pushesLeft--
	}
	return actions
}

// handlePushCompleted replaces a failed push by one to another member.
func (c *Core) handlePushCompleted(event PushCompleted) []Action {
	if !event.Failed {
		c.recordMemberRevision(event.Member, event.Revision)
		return nil
	}
	if event.PushedRevision != c.revision {
		return nil
	}
	return c.pickPushes(1)
}

func (c *Core) handleFetchCompleted(now time.Duration, event FetchCompleted) {
	c.fetchInFlight = false
	if event.Failed {
		c.nextComparison = now + c.jitter(max(fetchRetryDelay, c.compareInterval()/4))
		return
	}
	c.recordMemberRevision(event.Member, event.Revision)
	c.nextComparison = now + c.jitter(c.compareInterval())
}

func (c *Core) compareInterval() time.Duration {
	if c.revision == 0 {
		return bootstrapCompareInterval
	}
	return c.options.CompareInterval
}

func (c *Core) handleStoreReadCompleted(now time.Duration, event StoreReadCompleted) {
	c.storeReadInFlight = false
	if event.Failed {
		c.storeBackoff = min(max(2*c.storeBackoff, storeBackoffBase), storeBackoffMaximum)
		c.nextStoreRead = now + max(c.jitter(c.storeBackoff), c.storeReadDelay())
		return
	}
	c.storeBackoff = 0
	c.nextStoreRead = now + c.storeReadDelay()
}

// storeReadDelay is the time until this node's next store read.
func (c *Core) storeReadDelay() time.Duration {
	nodes := time.Duration(len(c.members) + 1)
	switch {
	case c.isWatcher:
		return c.jitter(watchDelay)
	case c.revision == 0:
		return c.jitter(nodes * bootstrapReadSpacing)
	default:
		return c.jitter(max(nonWatcherReadInterval, nodes*nonWatcherReadSpacing))
	}
}

// startDueReads starts the reads whose time has come.
func (c *Core) startDueReads(now time.Duration) []Action {
	var actions []Action
	if !c.storeReadInFlight && now >= c.nextStoreRead {
		c.storeReadInFlight = true
		wait := time.Duration(0)
		if c.isWatcher {
			wait = c.options.WatchTimeout
		}
		actions = append(actions, ReadStore{MaxWait: wait})
	}
	if !c.fetchInFlight && now >= c.nextComparison {
		if len(c.members) == 0 {
			c.nextComparison = now + c.jitter(c.compareInterval())
			return actions
		}
		c.fetchInFlight = true
		actions = append(actions, Fetch{Member: c.pickComparePeer(), Above: c.revision})
	}
	return actions
}

// pickComparePeer prefers a member that is known to be ahead.
func (c *Core) pickComparePeer() string {
	ahead := []string{}
	for _, member := range c.members {
		if member.Revision > c.revision {
			ahead = append(ahead, member.ID)
		}
	}
	if len(ahead) > 0 && c.random.IntN(comparisonCycle) < aheadComparisons {
		return ahead[c.random.IntN(len(ahead))]
	}
	return c.members[c.random.IntN(len(c.members))].ID
}

func (c *Core) updateTimer() []Action {
	at := never
	if !c.storeReadInFlight {
		at = min(at, c.nextStoreRead)
	}
	if !c.fetchInFlight {
		at = min(at, c.nextComparison)
	}
	if at == c.timerAt || at == never {
		return nil
	}
	c.timerAt = at
	return []Action{SetTimer{At: at}}
}

// jitter draws evenly between half and one and a half times the duration.
func (c *Core) jitter(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}
