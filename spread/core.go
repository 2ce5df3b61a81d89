// Package spread replicates the accepted configuration to all nodes and
// confirms the operators' plans.
//
// Only a few nodes watch the platform's store, because the store limits the
// rate of requests. All others receive revisions from their peers: a node that
// adopts a higher revision pushes it to a few random peers, and every node
// periodically compares its revision with that of a random peer (anti-entropy).
// A node adopts only higher revisions, so a stale read of the store cannot
// revert one, and correctness does not depend on which nodes watch the store.
package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/banksail/banksail/policy"
)

// Member is a live node as reported by the membership protocol.
type Member struct {
	ID   string
	Zone string
	// Revision is the last known revision in force at the member.
	Revision policy.Revision
}

// CoreOptions configures a Core. Zero values select the defaults.
type CoreOptions struct {
	// Self is this node's ID.
	Self string
	// Zone is this node's zone.
	Zone string
	// Seed initializes the random choices; equal seeds and IDs give equal
	// choices.
	Seed uint64
	// PushFanout is the number of peers to which a node pushes a new revision.
	PushFanout int
	// CompareInterval is the mean time between comparisons with a random peer.
	CompareInterval time.Duration
	// WatchTimeout is the maximum duration of one watch of the store.
	WatchTimeout time.Duration
	// MinimumWatchers is the minimum number of nodes that watch the store, if
	// there are as many nodes.
	MinimumWatchers int
	// MaximumWatchers limits the number of zones from which one node watches
	// the store.
	MaximumWatchers int
}

// Defaults for CoreOptions.
const (
	DefaultPushFanout      = 3
	DefaultCompareInterval = 2 * time.Second
	DefaultWatchTimeout    = 20 * time.Second
	DefaultMinimumWatchers = 3
	DefaultMaximumWatchers = 8
)

// Intervals and limits of store reads, comparisons and pushes.
const (
	storeBackoffBase    = 250 * time.Millisecond
	storeBackoffMaximum = 8 * time.Second
	// watchDelay is the mean delay between two watches. It prevents a tight
	// loop of requests if the store answers watches immediately.
	watchDelay = 200 * time.Millisecond
	// bootstrapReadSpacing, multiplied by the number of nodes, is the mean
	// delay between two store reads of a node that has no configuration yet and
	// does not watch the store.
	bootstrapReadSpacing = 20 * time.Millisecond
	// nonWatcherReadSpacing, multiplied by the number of nodes, is the mean
	// delay between two store reads of a node that has a configuration and does
	// not watch the store. Together such nodes read the store about once in
	// this time.
	nonWatcherReadSpacing = 5 * time.Second
	// nonWatcherReadInterval is the lower bound of that mean delay.
	nonWatcherReadInterval = 30 * time.Second
	// bootstrapCompareInterval replaces CompareInterval as long as the node has
	// no configuration.
	bootstrapCompareInterval = 250 * time.Millisecond
	// fetchRetryDelay is the minimum mean delay before the next comparison
	// after a failed one.
	fetchRetryDelay = 200 * time.Millisecond
	// reportedFetchDelay is the mean delay before the next comparison after
	// membership has reported a higher revision.
	reportedFetchDelay = 100 * time.Millisecond
	// Out of comparisonCycle comparisons, on average aheadComparisons go to a
	// member that is reported to be ahead. The others go to a random member,
	// because the reports may be out of date.
	aheadComparisons = 3
	comparisonCycle  = 4
	// pushAttemptFactor limits the push attempts for one revision, as a
	// multiple of PushFanout.
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

// Core is the replication state machine of one node. It has no goroutines, no
// clock and performs no I/O: its owner calls Step for each event and executes
// the returned actions. It is not safe for concurrent use; the owner serializes
// calls with a lock.
type Core struct {
	options CoreOptions
	random  *rand.Rand

	revision policy.Revision
	digest   string

	// members holds the other live nodes, sorted by ID.
	members []Member
	// highestReported is the highest revision reported by membership.
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

// NewCore returns a core that has no configuration yet.
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

// Revision returns the highest adopted revision, or zero if there is none.
func (c *Core) Revision() policy.Revision { return c.revision }

// IsWatcher reports whether this node watches the store.
func (c *Core) IsWatcher() bool { return c.isWatcher }

// Step processes one event and returns the actions that the owner must execute,
// in order. The time now is measured from an arbitrary fixed origin.
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

// handleRecordOffered adopts a higher revision and pushes it to peers. Lower
// and equal revisions are ignored, except that a different record with the
// revision in force is reported as a divergence.
func (c *Core) handleRecordOffered(now time.Duration, event RecordOffered) []Action {
	c.recordMemberRevision(event.From, event.Revision)
	if event.Revision == c.revision && event.Digest != c.digest {
		return []Action{ReportDivergence{Revision: event.Revision, From: event.From}}
	}
	if event.Revision <= c.revision {
		return nil
	}
	isFirst := c.revision == 0
	c.revision = event.Revision
	c.digest = event.Digest
	c.pushesLeft = c.options.PushFanout * pushAttemptFactor
	if isFirst {
		c.nextComparison = now + c.jitter(c.options.CompareInterval)
		c.nextStoreRead = now + c.storeReadDelay()
	}
	actions := []Action{Adopt{Revision: event.Revision}}
	return append(actions, c.pickPushes(c.options.PushFanout)...)
}

// pickPushes returns pushes to at most count random members whose last known
// revision is lower than the one in force.
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

// handlePushCompleted replaces a failed push by a push to another member.
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

// storeReadDelay returns the delay before this node's next store read.
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

// startDueReads starts the store read and the comparison that are due.
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

// pickComparePeer selects the member for the next comparison, with a preference
// for members that are reported to be ahead.
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

// updateTimer returns a SetTimer action if the time of the next due read has
// changed.
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

// jitter returns a uniformly distributed duration between 0.5 and 1.5 times
// mean.
func (c *Core) jitter(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(c.random.Int64N(int64(mean)))
}
