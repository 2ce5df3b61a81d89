package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/route"
)

// FollowerOptions configures a Follower. Zero fields get defaults.
type FollowerOptions struct {
	Source Source
	View   Options
	Logger zerolog.Logger
	// OnChanged is called after every answer that may have changed the state. Calls do not
	// overlap.
	OnChanged func(ClusterState)
	// OnAdopted is called for each change that was applied, with the age of the view before
	// it, which bounds the time for which the change was not known. It may be nil.
	OnAdopted func(age time.Duration)
	// PollInterval is the minimum time between two reads of the registry; default 700 ms.
	// The view lags the registry by at most this time, and by twice as much after one failed
	// read. The interval is stretched so that all nodes together stay within ReadsPerSecond.
	PollInterval time.Duration
	// EntryTTL is how long an owner may fail to renew its entry before it expires; zero is
	// unknown. After that long without contact the registry may itself have been unavailable,
	// so entries removed in the meantime are retained. The limit for this is never more than
	// twice PollInterval, which is also its default.
	EntryTTL time.Duration
	// ReadsPerSecond is the total read rate of all nodes together; default 1,000.
	ReadsPerSecond float64
	// LongPollTimeout is how long the registry may hold a read until something changes.
	// Default: ReaderPollInterval less ReadPause if readers publish to other nodes, so that
	// changes arrive immediately, and otherwise 200 ms.
	LongPollTimeout time.Duration
	// ReadPause is the pause between a reader's reads of the registry, which bounds their
	// rate during frequent changes; default 150 ms.
	ReadPause time.Duration
	// CallTimeout is the timeout of a read of changes, in addition to LongPollTimeout; default 600 ms.
	CallTimeout time.Duration
	// ListTimeout is the timeout of a complete read, which takes long on a node with little
	// bandwidth. The Source is expected to detect an unresponsive registry sooner.
	// Default 2.5 s.
	ListTimeout time.Duration

	// Seed and Self make random choices reproducible. Self is the ID of this incarnation, and
	// NodeID the ID under which Nodes lists it; default Self.
	Seed   uint64
	Self   string
	NodeID string
	// Nodes returns the live nodes, including this one; by default those of the
	// registry.
	Nodes func() []Node
	// Fetcher fetches publications from the readers of the registry; if it is nil, each node
	// reads the registry itself.
	Fetcher PublicationFetcher
	// Seeds are addresses of nodes to fetch from while the registry does not answer and
	// nothing is known yet; they may be outdated or down.
	Seeds []string
	// SeedTimeout is how long a node without any state fetches from its seeds before it
	// reads the whole registry itself; zero skips the seeds. This saves the registry a read
	// per node when many nodes start at once and none is in a hurry.
	SeedTimeout time.Duration
	// FetchTimeout is the timeout of a single fetch; default 250 ms.
	FetchTimeout time.Duration
	// StaleAfter is the age from which a publication is rejected; default 1.5 times
	// ReaderPollInterval.
	StaleAfter time.Duration
	// Elapsed is a clock that also advances while the machine is suspended; ages are measured
	// with it. Default: the time since the follower was created.
	Elapsed func() time.Duration
	// ReaderPollInterval is the time between two reads of the registry by a reader, and
	// FetchInterval the time between two fetches by the other nodes. Default: 1/2 and 4/9 of
	// PollInterval, so that views are no older than if all nodes read the registry themselves.
	ReaderPollInterval, FetchInterval time.Duration
}

// ClusterState is the state that a follower knows after an answer.
type ClusterState struct {
	Servers []Server
	Nodes   []Node
	// Table is the latest routing table received; nil if there is none yet.
	Table *route.Table
	// Directives are the directives in force.
	Directives []Directive
	// Epoch is the epoch of the registry as of this state. It is not published.
	Epoch Epoch
}

// equal reports whether two states are the same as far as other nodes are concerned.
func (s ClusterState) equal(other ClusterState) bool {
	return s.Table == other.Table && slices.Equal(s.Nodes, other.Nodes) && slices.EqualFunc(s.Directives, other.Directives, sameDirective) &&
		slices.EqualFunc(s.Servers, other.Servers, sameForPeers)
}

// Default values of FollowerOptions.
const (
	DefaultPollInterval    = 700 * time.Millisecond
	DefaultReadsPerSecond  = 1_000
	DefaultLongPollTimeout = 200 * time.Millisecond
	DefaultReadPause       = 150 * time.Millisecond
	DefaultCallTimeout     = 600 * time.Millisecond
	DefaultListTimeout     = 2500 * time.Millisecond
	DefaultFetchTimeout    = 250 * time.Millisecond

	// readerPollShare and fetchShare are the default ReaderPollInterval and FetchInterval as
	// shares of PollInterval. staleShare is the default StaleAfter as a share of
	// ReaderPollInterval: at that age the reader has missed a read.
	readerPollShare = 0.5
	fetchShare      = 4.0 / 9
	staleShare      = 1.5
)

// At most invalidLogBurst invalid entries are logged per invalidLogPeriod, as other parties can
// write any number of them.
const (
	invalidLogBurst  = 10
	invalidLogPeriod = 10 * time.Second
)

// expirySlack is added to the entries' time to live for the default RestoreGrace: within it a node
// has learned that an entry from the registry's backup expired.
const expirySlack = time.Second

// RestoreGrace returns how long after a restore the registry may list servers that had left before,
// if entries expire after entryTTL without a heartbeat; zero is unknown.
func RestoreGrace(entryTTL time.Duration) time.Duration {
	if entryTTL <= 0 {
		return DefaultRestoreGrace
	}
	return entryTTL + expirySlack
}

// Bounds of the back-off after a failed read.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// Follower keeps a View in sync with a Source.
type Follower struct {
	options FollowerOptions
	// invalidCount counts the entries that could not be decoded; invalidLogger logs a sample of them.
	invalidCount  atomic.Uint64
	invalidLogger zerolog.Logger
	// notifyMutex is held from a change of the state until OnChanged has returned, so that
	// OnChanged is called in order. It is locked before mutex.
	notifyMutex sync.Mutex

	mutex sync.Mutex
	// mutex guards the fields below.
	view *View
	// position is the position up to which the registry is known.
	position    Position
	initialized bool
	table       *route.Table
	failures    int
	// published is the state that other nodes can fetch, and history its recent changes.
	published ClusterState
	history   history
	// expiryTimer updates the state when the grace period of a retained entry ends.
	expiryTimer *time.Timer
	// lastPublisher is the reader from which the whole state came last, and cursor identifies
	// its publication; both are empty after a read of the registry. Only Run uses them.
	lastPublisher string
	cursor        Cursor
	// random spreads pauses and fetches, turn determines when this node may read the registry
	// itself, and avoided holds readers that recently failed to help. Only Run uses them.
	random  *rand.Rand
	turn    readTurn
	avoided avoidList
}

// NewFollower returns a Follower with an empty view.
func NewFollower(options FollowerOptions) *Follower {
	if options.Elapsed == nil {
		options.Elapsed = clock.NewEpoch().Elapsed
	}
	options.PollInterval = cmp.Or(options.PollInterval, DefaultPollInterval)
	options.ReadsPerSecond = cmp.Or(options.ReadsPerSecond, DefaultReadsPerSecond)
	options.CallTimeout = cmp.Or(options.CallTimeout, DefaultCallTimeout)
	options.ListTimeout = cmp.Or(options.ListTimeout, DefaultListTimeout)
	options.FetchTimeout = cmp.Or(options.FetchTimeout, DefaultFetchTimeout)
	options.ReaderPollInterval = cmp.Or(options.ReaderPollInterval, time.Duration(readerPollShare*float64(options.PollInterval)))
	options.FetchInterval = cmp.Or(options.FetchInterval, time.Duration(fetchShare*float64(options.PollInterval)))
	options.ReadPause = cmp.Or(options.ReadPause, DefaultReadPause)
	if options.Fetcher != nil {
		options.LongPollTimeout = cmp.Or(options.LongPollTimeout, max(options.ReaderPollInterval-options.ReadPause, DefaultLongPollTimeout))
	}
	options.LongPollTimeout = cmp.Or(options.LongPollTimeout, DefaultLongPollTimeout)
	options.StaleAfter = cmp.Or(options.StaleAfter, time.Duration(staleShare*float64(options.ReaderPollInterval)))
	options.NodeID = cmp.Or(options.NodeID, options.Self)
	if options.OnAdopted == nil {
		options.OnAdopted = func(time.Duration) {}
	}
	options.View.RestoreGrace = cmp.Or(options.View.RestoreGrace, RestoreGrace(options.EntryTTL))
	options.View.OutageAfter = cmp.Or(options.View.OutageAfter, min(2*options.PollInterval, cmp.Or(options.EntryTTL, 2*options.PollInterval)))
	return &Follower{
		options:       options,
		invalidLogger: options.Logger.Sample(&zerolog.BurstSampler{Burst: invalidLogBurst, Period: invalidLogPeriod}),
		view:          NewView(options.View),
		random:        rand.New(rand.NewPCG(options.Seed, hashOf(options.Self))),
	}
}

// Run follows the source until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	f.bootstrapFromSeeds(ctx)
	for ctx.Err() == nil {
		_ = clock.Sleep(ctx, f.updateOnce(ctx)) // the loop checks ctx
	}
	f.notifyMutex.Lock()
	defer f.notifyMutex.Unlock()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
	}
}

// updateOnce brings the state up to date and returns the pause until the next update.
func (f *Follower) updateOnce(ctx context.Context) time.Duration {
	began := time.Now()
	if f.fetchFromReaders(ctx) == nil {
		f.turn.reset()
		return f.untilNextFetch(began)
	}
	if !f.mayRead() {
		return f.fetchWhileWaiting(ctx, began)
	}
	fetched := f.lastReadFailed() && f.fetchFromAnyPeer(ctx)
	switch err := f.read(ctx); {
	case err == nil:
		f.turn.reset()
	case fetched || f.fetchFromAnyPeer(ctx):
		f.turn.recordAttempt(time.Now())
		return f.untilNextFetch(began)
	default:
		f.turn.recordAttempt(time.Now())
		f.adoptFromSeeds(ctx)
		return f.retryPause()
	}
	if f.options.Fetcher != nil {
		return f.options.ReadPause // the long poll has taken up the rest of the interval
	}
	return f.readInterval() - time.Since(began)
}

// fetchWhileWaiting fetches from other nodes while it is not this node's turn to read the registry.
func (f *Follower) fetchWhileWaiting(ctx context.Context, began time.Time) time.Duration {
	if f.initialized && f.fetchFromAnyPeer(ctx) {
		f.turn.reset()
		return f.untilNextFetch(began)
	}
	return turnCheckInterval
}

// lastReadFailed reports whether the latest read of the registry failed.
func (f *Follower) lastReadFailed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failures > 0
}

// isReader reports whether the state came from this node's own read of the registry last.
func (f *Follower) isReader() bool { return !f.lastReadFailed() && f.lastPublisher == "" }

// minFetchPause is the minimum time between two fetches.
const minFetchPause = 50 * time.Millisecond

// untilNextFetch returns the pause after a successful fetch: the state must be refreshed before
// it reaches StaleAfter.
func (f *Follower) untilNextFetch(began time.Time) time.Duration {
	age, _ := f.Age()
	return max(min(f.options.FetchInterval-time.Since(began), f.options.StaleAfter-age), minFetchPause)
}

// Age returns the age of the view; ok is false while nothing is known.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.Age(f.now())
}

// InvalidEntries returns the number of entries since the start that could not be decoded.
func (f *Follower) InvalidEntries() uint64 { return f.invalidCount.Load() }

// knownNodes returns the live nodes.
func (f *Follower) knownNodes() []Node {
	if f.options.Nodes != nil {
		return f.options.Nodes()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.Nodes()
}

func (f *Follower) now() time.Duration { return f.options.Elapsed() }

// readInterval returns the time between two reads of the registry when every node reads it and
// all share ReadsPerSecond.
func (f *Follower) readInterval() time.Duration {
	fairInterval := time.Duration(float64(len(f.knownNodes())) / f.options.ReadsPerSecond * float64(time.Second))
	return max(f.options.PollInterval, fairInterval)
}

// retryPause returns an exponential back-off with jitter.
func (f *Follower) retryPause() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pause := min(minRetryPause<<min(f.failures, 8), maxRetryPause)
	return pause/2 + time.Duration(f.random.Int64N(int64(pause/2)+1))
}

// read performs one read of the registry and logs when the registry is lost or regained.
func (f *Follower) read(ctx context.Context) error {
	err := f.readOnce(ctx)
	f.mutex.Lock()
	before := f.failures
	if err != nil {
		f.failures++
	} else {
		f.failures = 0
	}
	f.mutex.Unlock()
	if err == nil {
		f.lastPublisher = ""
	}
	switch {
	case err != nil && before == 0:
		f.options.Logger.Warn().Err(err).Msg("registry lost")
	case err == nil && before > 0:
		f.options.Logger.Warn().Int("failures", before).Msg("registry regained")
	}
	return err
}

func (f *Follower) readOnce(ctx context.Context) error {
	if !f.initialized {
		return f.readListing(ctx)
	}
	wait := f.options.LongPollTimeout
	if f.options.Fetcher != nil && !f.isReader() {
		wait = 0 // the view may be old already: if this read fails, other nodes are tried at once
	}
	for partial := true; partial; wait = 0 {
		changes, err := f.readChanges(ctx, wait)
		if errors.Is(err, ErrHistoryGone) {
			f.options.Logger.Warn().Uint64("epoch", uint64(f.position.Epoch)).Uint64("revision", uint64(f.position.Revision)).
				Msg("history is gone, reading everything")
			return f.readListing(ctx)
		}
		if err != nil {
			return err
		}
		f.applyChanges(f.now(), changes)
		partial = changes.Partial
	}
	return nil
}

// readChanges waits for changes after the known position.
func (f *Follower) readChanges(ctx context.Context, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.options.CallTimeout)
	defer cancel()
	position := f.position
	changes, err := f.options.Source.Changes(ctx, position, wait)
	switch {
	case err != nil:
		return Changes{}, err
	case changes.Epoch != position.Epoch:
		return Changes{}, fmt.Errorf("%w: registry is in epoch %d, changes of epoch %d were requested", ErrHistoryGone, changes.Epoch, position.Epoch)
	case changes.Partial && changes.Revision <= position.Revision:
		return Changes{}, fmt.Errorf("%w: no progress after revision %d", ErrUnavailable, position.Revision)
	}
	return changes, nil
}

// readListing reads the whole registry.
func (f *Follower) readListing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.ListTimeout)
	defer cancel()
	began := f.now() // the listing may be as old as the start of the read
	listing, err := f.options.Source.List(ctx)
	if err != nil {
		return err
	}
	if known := f.knownPosition(); listing.Epoch < known.Epoch {
		return fmt.Errorf("%w: outdated answer of epoch %d, the current epoch is %d", ErrUnavailable, listing.Epoch, known.Epoch)
	}
	f.applyListing(began, Changes(listing))
	f.initialized = true
	return nil
}

// updateAndNotify changes the state and calls OnChanged; it reports whether the published state changed.
func (f *Follower) updateAndNotify(change func()) (changed bool) {
	f.notifyMutex.Lock()
	defer f.notifyMutex.Unlock()
	f.mutex.Lock()
	change()
	f.view.Expire(f.now())
	f.scheduleExpiry()
	directives := f.directives()
	published := ClusterState{Servers: f.view.RegisteredServers(), Nodes: f.view.RegisteredNodes(), Table: f.table, Directives: directives}
	changed = !published.equal(f.published)
	if changed {
		f.history.add(f.published, published)
		f.published = published
	}
	state := ClusterState{Servers: f.view.Servers(), Nodes: f.view.Nodes(), Table: f.table, Directives: directives, Epoch: f.position.Epoch}
	f.mutex.Unlock()
	f.options.OnChanged(state)
	return changed
}

// directives returns the directives in force with the bounds of their write times, where known. The
// lock must be held.
func (f *Follower) directives() []Directive {
	directives := f.view.Directives()
	for i := range directives {
		if since, known := f.view.Since(directives[i].Key()); known {
			directives[i].Since = time.Now().Add(since - f.now())
		}
		if latest, known := f.view.Latest(directives[i].Key()); known {
			directives[i].Latest = time.Now().Add(latest - f.now())
		}
	}
	return directives
}

// scheduleExpiry arranges that retained entries are dropped in time, even during a long poll. The
// lock must be held.
func (f *Follower) scheduleExpiry() {
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
		f.expiryTimer = nil
	}
	if at, ok := f.view.NextExpiry(); ok {
		f.expiryTimer = time.AfterFunc(at-f.now(), func() { _ = f.updateAndNotify(func() {}) })
	}
}
