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
	// watchPause separates two watches, so that a store that answers at once
	// is not asked in a tight loop.
	watchPause = 200 * time.Millisecond
	// freshReadSpacing is the time that each node adds to the period over
	// which nodes without a configuration spread their store reads.
	freshReadSpacing = 20 * time.Millisecond
	// spareReadSpacing is the same for nodes that do not watch: together they
	// read the store once in this time.
	spareReadSpacing = 5 * time.Second
	// spareReadMinimum is the least time between two spare reads of a node.
	spareReadMinimum = 30 * time.Second
	// freshCompareInterval replaces CompareInterval until a configuration is known.
	freshCompareInterval = 250 * time.Millisecond
	// retryFetchDelay follows a failed comparison.
	retryFetchDelay = 200 * time.Millisecond
	// heardFetchDelay follows word of a higher revision.
	heardFetchDelay = 100 * time.Millisecond
	// aheadPreference of its comparisons a node makes with members that are
	// said to be ahead, out of comparisonCycle; the others are random, since
	// such word may be out of date.
	aheadPreference = 3
	comparisonCycle = 4
	// maximumPushAttempts bounds the pushes of one revision, as a multiple of the fan-out.
	maximumPushAttempts = 3
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
	// highestHeard is the highest revision that membership told of.
	highestHeard policy.Revision
	watcher      bool

	started      bool
	storeDue     time.Duration
	storeReading bool
	storeBackoff time.Duration
	compareDue   time.Duration
	fetching     bool
	pushTries    int
	wakeAt       time.Duration
}

// NewCore makes a core that knows no configuration yet.
func NewCore(options CoreOptions) *Core {
	options = options.withDefaults()
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, hashID(options.Self))),
		watcher: true,
		wakeAt:  never,
	}
}

const never = time.Duration(1<<63 - 1)

// Revision is the highest revision that the core has adopted.
func (c *Core) Revision() policy.Revision { return c.revision }

// IsWatcher tells whether the node watches the store.
func (c *Core) IsWatcher() bool { return c.watcher }

// Step takes one event and returns what the owner must do, in order.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.start(now)
	var actions []Action
	switch event := event.(type) {
	case RecordOffered:
		actions = c.offered(now, event)
	case MembersChanged:
		c.membersChanged(now, event.Members)
	case StoreReadCompleted:
		c.storeAnswered(now, event)
	case FetchCompleted:
		c.fetchAnswered(now, event)
	case PushCompleted:
		actions = c.pushAnswered(event)
	case TimerFired:
		c.wakeAt = never
	}
	actions = append(actions, c.dueActions(now)...)
	return append(actions, c.wake()...)
}

func (c *Core) start(now time.Duration) {
	if c.started {
		return
	}
	c.started = true
	c.storeDue = now + c.jitter(storeBackoffBase)
	c.compareDue = now + c.jitter(freshCompareInterval)
}

// offered adopts a higher revision and pushes it on; anything else changes nothing.
func (c *Core) offered(now time.Duration, event RecordOffered) []Action {
	c.heard(event.From, event.Revision)
	if event.Revision == c.revision && event.Digest != c.digest {
		return []Action{ReportDivergence{Revision: event.Revision, From: event.From}}
	}
	if event.Revision <= c.revision {
		return nil
	}
	fresh := c.revision == 0
	c.revision = event.Revision
	c.digest = event.Digest
	c.pushTries = c.options.PushFanout * maximumPushAttempts
	if fresh {
		c.compareDue = now + c.jitter(c.options.CompareInterval)
		c.storeDue = now + c.storePause()
	}
	actions := []Action{Adopt{Revision: event.Revision}}
	return append(actions, c.pushes(c.options.PushFanout)...)
}

// pushes picks random members that are behind, as far as is known.
func (c *Core) pushes(count int) []Action {
	behind := make([]int, 0, len(c.members))
	for index := range c.members {
		if c.members[index].Revision < c.revision {
			behind = append(behind, index)
		}
	}
	actions := []Action{}
	for len(behind) > 0 && count > 0 && c.pushTries > 0 {
		pick := c.random.IntN(len(behind))
		actions = append(actions, Push{Member: c.members[behind[pick]].ID, Revision: c.revision})
		behind = slices.Delete(behind, pick, pick+1)
		count--
		c.pushTries--
	}
	return actions
}

// pushAnswered replaces a failed push by one to another member.
func (c *Core) pushAnswered(event PushCompleted) []Action {
	if !event.Failed {
		c.heard(event.Member, event.Revision)
		return nil
	}
	if event.PushedRevision != c.revision {
		return nil
	}
	return c.pushes(1)
}

func (c *Core) fetchAnswered(now time.Duration, event FetchCompleted) {
	c.fetching = false
	if event.Failed {
		c.compareDue = now + c.jitter(max(retryFetchDelay, c.compareInterval()/4))
		return
	}
	c.heard(event.Member, event.Revision)
	c.compareDue = now + c.jitter(c.compareInterval())
}

func (c *Core) compareInterval() time.Duration {
	if c.revision == 0 {
		return freshCompareInterval
	}
	return c.options.CompareInterval
}

func (c *Core) storeAnswered(now time.Duration, event StoreReadCompleted) {
	c.storeReading = false
	if event.Failed {
		c.storeBackoff = min(max(2*c.storeBackoff, storeBackoffBase), storeBackoffMaximum)
		c.storeDue = now + max(c.jitter(c.storeBackoff), c.storePause())
		return
	}
	c.storeBackoff = 0
	c.storeDue = now + c.storePause()
}

// storePause is the time until this node's next store read.
func (c *Core) storePause() time.Duration {
	nodes := time.Duration(len(c.members) + 1)
	switch {
	case c.watcher:
		return c.jitter(watchPause)
	case c.revision == 0:
		return c.jitter(nodes * freshReadSpacing)
	default:
		return c.jitter(max(spareReadMinimum, nodes*spareReadSpacing))
	}
}

// dueActions starts the reads whose time has come.
func (c *Core) dueActions(now time.Duration) []Action {
	var actions []Action
	if !c.storeReading && now >= c.storeDue {
		c.storeReading = true
		wait := time.Duration(0)
		if c.watcher {
			wait = c.options.WatchTimeout
		}
		actions = append(actions, ReadStore{MaxWait: wait})
	}
	if !c.fetching && now >= c.compareDue {
		if len(c.members) == 0 {
			c.compareDue = now + c.jitter(c.compareInterval())
			return actions
		}
		c.fetching = true
		actions = append(actions, Fetch{Member: c.comparePeer(), Above: c.revision})
	}
	return actions
}

// comparePeer prefers a member that is known to be ahead.
func (c *Core) comparePeer() string {
	ahead := []string{}
	for _, member := range c.members {
		if member.Revision > c.revision {
			ahead = append(ahead, member.ID)
		}
	}
	if len(ahead) > 0 && c.random.IntN(comparisonCycle) < aheadPreference {
		return ahead[c.random.IntN(len(ahead))]
	}
	return c.members[c.random.IntN(len(c.members))].ID
}

func (c *Core) wake() []Action {
	at := never
	if !c.storeReading {
		at = min(at, c.storeDue)
	}
	if !c.fetching {
		at = min(at, c.compareDue)
	}
	if at == c.wakeAt || at == never {
		return nil
	}
	c.wakeAt = at
	return []Action{SetTimer{At: at}}
}

// jitter draws evenly between half and one and a half times the duration.
func (c *Core) jitter(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}
