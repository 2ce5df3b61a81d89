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
	// Changed is called after every answer that may have changed something, one
	// call at a time.
	Changed func(ClusterState)
	// OnAdopted is told of each change that was taken in how old the belief before it was:
	// the change was not known for so long at most. Nil is nobody.
	OnAdopted func(age time.Duration)
	// PollInterval is the least time between two readings; default 700 ms. What is
	// believed is at most so much older than the registry, and twice that after
	// one reading that failed. It is stretched so that all nodes together stay
	// within ReadsPerSecond.
	PollInterval time.Duration
	// LapseTime is how long an owner may be silent until its entry lapses; zero is unknown.
	// A registry that was not heard for so long may have been away for so long, and what
	// went meanwhile is in doubt. Default: twice Pace, and never more.
	LapseTime time.Duration
	// ReadsPerSecond is what all nodes together may spend; default 1,000.
	ReadsPerSecond float64
	// LongPollTimeout is how long the registry may hold a reading until something changes.
	// Default: where readers tell the others, ReaderPollInterval less ReadPause, so that
	// changes are heard of at once; else 200 ms.
	LongPollTimeout time.Duration
	// ReadPause is the time between a reader's readings of the registry, which
	// bounds their rate while much changes; default 150 ms.
	ReadPause time.Duration
	// CallTimeout bounds a reading of changes beyond Wait; default 600 ms.
	CallTimeout time.Duration
	// ListTimeout bounds a reading of everything, which is long for a node with
	// little bandwidth; that the registry is silent is for the Source to notice
	// sooner. Default 2.5 s.
	ListTimeout time.Duration

	// Seed and Self make random choices repeatable. Self is this incarnation's ID, and
	// NodeID the one under which Nodes lists it; default Self.
	Seed   uint64
	Self   string
	NodeID string
	// Nodes lists the nodes that are there, this one among them; the default is those
	// of the registry.
	Nodes func() []Node
	// Fetcher asks the nodes that read the registry for all; nil is none: then
	// each node reads for itself.
	Fetcher PublicationFetcher
	// Seeds are addresses of nodes that are asked while the registry gives no answer
	// and nothing is known yet; they may be stale or down.
	Seeds []string
	// SeedTimeout is for how long a node that knows nothing asks its seeds before it reads
	// everything by itself; zero is not at all. It spares the registry a reading for
	// each node where many start at once and none is in a hurry.
	SeedTimeout time.Duration
	// FetchTimeout bounds one asking; default 250 ms.
	FetchTimeout time.Duration
	// StaleAfter is the age from which a publication is not believed; default
	// 1.5 times ReaderPollInterval.
	StaleAfter time.Duration
	// Elapsed is the time since some moment, also while the machine is suspended; ages of
	// beliefs count by it. Default is that since the follower was made.
	Elapsed func() time.Duration
	// ReaderPollInterval and FetchInterval are the times between two readings of the registry
	// by a reader, and between two askings by the others; default 1/2 and 4/9 of
	// Pace, so that a belief is no older than when all nodes read by themselves.
	ReaderPollInterval, FetchInterval time.Duration
}

// ClusterState is what a follower believes after an answer.
type ClusterState struct {
	Servers []Server
	Nodes   []Node
	// Table is the newest that came; nil when none did yet.
	Table *route.Table
	// Directives are those in force.
	Directives []Directive
}

// equal reports whether others need not be told of the difference.
func (n ClusterState) equal(other ClusterState) bool {
	return n.Table == other.Table && slices.Equal(n.Nodes, other.Nodes) && slices.EqualFunc(n.Directives, other.Directives, sameDirective) &&
		slices.EqualFunc(n.Servers, other.Servers, sameForPeers)
}

// Defaults of FollowerOptions.
const (
	DefaultPollInterval    = 700 * time.Millisecond
	DefaultReadsPerSecond  = 1_000
	DefaultLongPollTimeout = 200 * time.Millisecond
	DefaultReadPause       = 150 * time.Millisecond
	DefaultCallTimeout     = 600 * time.Millisecond
	DefaultListTimeout     = 2500 * time.Millisecond
	DefaultFetchTimeout    = 250 * time.Millisecond

	// readerPollShare and fetchShare are the parts of Pace between two readings of a reader and
	// between two askings of the others, and staleShare is that of a reader's pace from
	// which on its belief is too old for others: it has missed a reading then.
	readerPollShare = 0.5
	fetchShare      = 4.0 / 9
	staleShare      = 1.5
)

// invalidLogBurst of entries that can't be read are logged in each invalidLogPeriod: others may write
// any number of them.
const (
	invalidLogBurst  = 10
	invalidLogPeriod = 10 * time.Second
)

// expirySlack is the time beyond LapseTime after which a node has heard that an entry lapsed that
// the registry had in its copy.
const expirySlack = time.Second

// Bounds of the pause after a failed reading.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// Follower keeps a View true to a Source.
type Follower struct {
	options FollowerOptions
	// invalidCount counts the entries that could not be read, and invalidLogger tells of some.
	invalidCount  atomic.Uint64
	invalidLogger zerolog.Logger
	// notifyMutex is held from a change of what is believed until it has been told, so
	// that Changed is called in order. It is locked before mutex.
	notifyMutex sync.Mutex

	mutex sync.Mutex
	// mutex guards the fields below.
	view *View
	// position is up to where the registry is known.
	position    Position
	initialized bool
	table       *route.Table
	failures    int
	// published is what others are told, and history what changed in it of late.
	published ClusterState
	history   history
	// expiryTimer tells what is believed anew when a missing entry's time is over.
	expiryTimer *time.Timer
	// lastPublisher is the reader from which all that is believed came last, and mark is
	// of what it told; empty after a reading of the registry. Only reading uses them.
	lastPublisher string
	cursor        Cursor
	// random spreads pauses and askings, turn tells when this node may read the registry
	// itself, and avoided which readers did not help; only Run uses them.
	random  *rand.Rand
	turn    readTurn
	avoided avoidList
}

// NewFollower returns a follower that knows nothing.
func NewFollower(options FollowerOptions) *Follower {
	if options.Elapsed == nil {
		options.Elapsed = clock.Begin().Elapsed
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
	if options.LapseTime > 0 {
		options.View.RestoreGrace = cmp.Or(options.View.RestoreGrace, options.LapseTime+expirySlack)
	}
	options.View.OutageAfter = cmp.Or(options.View.OutageAfter, min(2*options.PollInterval, cmp.Or(options.LapseTime, 2*options.PollInterval)))
	return &Follower{
		options:       options,
		invalidLogger: options.Logger.Sample(&zerolog.BurstSampler{Burst: invalidLogBurst, Period: invalidLogPeriod}),
		view:          NewView(options.View),
		random:        rand.New(rand.NewPCG(options.Seed, hashOf(options.Self))),
	}
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.bootstrapFromSeeds(ctx)
	for ctx.Err() == nil {
		_ = clock.Sleep(ctx, f.updateOnce(ctx)) // the loop looks at ctx
	}
	f.notifyMutex.Lock()
	defer f.notifyMutex.Unlock()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
	}
}

// updateOnce brings the beliefs up to date and returns the pause until the next time.
func (f *Follower) updateOnce(ctx context.Context) time.Duration {
	began := time.Now()
	if f.fetchFromReaders(ctx) == nil {
		f.turn.reset()
		return f.untilNextFetch(began)
	}
	if !f.mayRead() {
		return f.fetchWhileWaiting(ctx, began)
	}
	helped := f.lastReadFailed() && f.fetchFromAnyPeer(ctx)
	switch err := f.read(ctx); {
	case err == nil:
		f.turn.reset()
	case helped || f.fetchFromAnyPeer(ctx):
		f.turn.recordAttempt(time.Now())
		return f.untilNextFetch(began)
	default:
		f.turn.recordAttempt(time.Now())
		f.adoptFromSeeds(ctx)
		return f.retryPause()
	}
	if f.options.Fetcher != nil {
		return f.options.ReadPause // the registry held the reading for the rest
	}
	return f.readInterval() - time.Since(began)
}

// fetchWhileWaiting asks other nodes while it is not this node's turn to read the registry.
func (f *Follower) fetchWhileWaiting(ctx context.Context, began time.Time) time.Duration {
	if f.initialized && f.fetchFromAnyPeer(ctx) {
		f.turn.reset()
		return f.untilNextFetch(began)
	}
	return turnCheckInterval
}

// lastReadFailed reports whether the last reading of the registry failed.
func (f *Follower) lastReadFailed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failures > 0
}

// isReader reports whether what is believed came from a reading of the registry last.
func (f *Follower) isReader() bool { return !f.lastReadFailed() && f.lastPublisher == "" }

// minFetchPause is the shortest time between two askings.
const minFetchPause = 50 * time.Millisecond

// untilNextFetch is the pause after an asking that helped: what is believed is to be
// refreshed before it is too old to be believed of another node.
func (f *Follower) untilNextFetch(began time.Time) time.Duration {
	age, _ := f.Age()
	return max(min(f.options.FetchInterval-time.Since(began), f.options.StaleAfter-age), minFetchPause)
}

// Age is how old the beliefs are; ok is false when there are none.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.Age(f.now())
}

// InvalidEntries is the number of entries that could not be read since the start.
func (f *Follower) InvalidEntries() uint64 { return f.invalidCount.Load() }

// knownNodes lists the nodes that are there.
func (f *Follower) knownNodes() []Node {
	if f.options.Nodes != nil {
		return f.options.Nodes()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.Nodes()
}

func (f *Follower) now() time.Duration { return f.options.Elapsed() }

// readInterval is the time between two readings of the registry where all nodes read, and
// share what the registry allows.
func (f *Follower) readInterval() time.Duration {
	fair := time.Duration(float64(len(f.knownNodes())) / f.options.ReadsPerSecond * float64(time.Second))
	return max(f.options.PollInterval, fair)
}

// retryPause doubles with each failure in a row, with jitter.
func (f *Follower) retryPause() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pause := min(minRetryPause<<min(f.failures, 8), maxRetryPause)
	return pause/2 + time.Duration(f.random.Int64N(int64(pause/2)+1))
}

// read takes the next answer in.
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
		wait = 0 // what is believed may be old already: others are asked if no answer comes
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

// readChanges waits for changes after what is known.
func (f *Follower) readChanges(ctx context.Context, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.options.CallTimeout)
	defer cancel()
	after := f.position
	changes, err := f.options.Source.Changes(ctx, after, wait)
	switch {
	case err != nil:
		return Changes{}, err
	case changes.Epoch != after.Epoch:
		return Changes{}, fmt.Errorf("%w: epoch %d, asked for changes of %d", ErrHistoryGone, changes.Epoch, after.Epoch)
	case changes.Partial && changes.Revision <= after.Revision:
		return Changes{}, fmt.Errorf("%w: no progress after revision %d", ErrUnavailable, after.Revision)
	}
	return changes, nil
}

// readListing reads everything.
func (f *Follower) readListing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.ListTimeout)
	defer cancel()
	began := f.now() // what is listed may be as old as that
	listing, err := f.options.Source.List(ctx)
	if err != nil {
		return err
	}
	if known := f.knownPosition(); listing.Epoch < known.Epoch {
		return fmt.Errorf("%w: a late answer of epoch %d, in epoch %d", ErrUnavailable, listing.Epoch, known.Epoch)
	}
	f.applyListing(began, Changes(listing))
	f.initialized = true
	return nil
}

// updateAndNotify changes what is believed, and tells it; it reports whether others are to be told.
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
	news := ClusterState{Servers: f.view.Servers(), Nodes: f.view.Nodes(), Table: f.table, Directives: directives}
	f.mutex.Unlock()
	f.options.Changed(news)
	return changed
}

// directives lists those in force with the times between which they were written, where they are
// known. The lock is held.
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

// scheduleExpiry arranges that missing entries are dropped in time, also while a
// reading is held. The lock is held.
func (f *Follower) scheduleExpiry() {
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
		f.expiryTimer = nil
	}
	if at, ok := f.view.NextExpiry(); ok {
		f.expiryTimer = time.AfterFunc(at-f.now(), func() { _ = f.updateAndNotify(func() {}) })
	}
}
