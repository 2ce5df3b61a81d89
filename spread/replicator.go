package spread

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// Errors of the package, wrapped with details.
var (
	// ErrStoreUnavailable: the store can't be used now; nothing changed.
	ErrStoreUnavailable = errors.New("spread: store unavailable")
	// ErrStoreBehind: the store answers a revision below the one in force; nothing changed.
	ErrStoreBehind = errors.New("spread: store answers an old revision")
	// ErrOutcomeUnknown: the plan was sent to the store and may be in effect.
	ErrOutcomeUnknown = errors.New("spread: outcome unknown")
	// ErrRejected: a record can't be read, breaks a rule, or can't be stored;
	// nothing changed.
	ErrRejected = errors.New("spread: record rejected")
	// ErrDiverged: an offered record differs from the one of the same revision in force.
	ErrDiverged = errors.New("spread: two records of one revision differ")
)

// Peers carries records between nodes and knows the live ones.
type Peers interface {
	// Members lists the live nodes; this node may be among them.
	Members() []Member
	// Fetch asks a member for its record when its revision is greater than
	// above; record is empty when it isn't.
	Fetch(ctx context.Context, member string, above policy.Revision) (revision policy.Revision, record []byte, err error)
	// Push offers a record to a member and returns the revision then in force there.
	Push(ctx context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error)
}

// ReplicatorOptions sets up a keeper; zero values of times mean the defaults.
type ReplicatorOptions struct {
	// Core sets identity, seed and pace.
	Core CoreOptions
	// Store holds the record.
	Store store.Conn
	// Peers may be set later, before Run, by SetPeers.
	Peers Peers
	// Logger receives what the keeper does.
	Logger zerolog.Logger
	// Now is the wall clock, for the history only; time.Now by default.
	Now func() time.Time
	// NewPlanID makes plan IDs that are unique among all nodes; random UUIDs by default.
	NewPlanID func() string
	// StoreTimeout bounds one call to the store, besides the wait of a watch.
	StoreTimeout time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// ConfirmTimeout bounds a confirmation with all its retries.
	ConfirmTimeout time.Duration
	// MemberPollInterval is the time between two looks at the members.
	MemberPollInterval time.Duration
}

// Defaults of ReplicatorOptions.
const (
	DefaultStoreTimeout       = 3 * time.Second
	DefaultPeerTimeout        = 1500 * time.Millisecond
	DefaultConfirmTimeout     = 8 * time.Second
	DefaultMemberPollInterval = time.Second
)

// state is one adopted record; it is never changed once made.
type state struct {
	record policy.Record
	bytes  []byte
	digest string
	// delta leads from the revision before to this one; nil when there is none.
	delta []byte
}

// Replicator drives the Core of one node: it owns the record in force, the calls
// to store and peers, and the operators' plans.
type Replicator struct {
	options ReplicatorOptions
	epoch   time.Time

	// mutex guards core, current, pending and peers. Invariant: current is the
	// record of core.Revision(), and its revision never decreases.
	mutex   sync.Mutex
	core    *Core
	current *state
	pending []Action
	peers   Peers

	// signal tells Run that pending has grown.
	signal chan struct{}

	// notifyMutex serialises the subscribers' calls, so that each sees
	// revisions in growing order. It is taken before mutex, never after it.
	notifyMutex sync.Mutex
	subscribers []func(policy.Revision, policy.Config)
	// inForce is the revision that all subscribers have taken.
	inForce atomic.Uint64

	metrics keeperMetrics
}

// NewReplicator makes a keeper that knows no configuration; Run starts it.
func NewReplicator(options ReplicatorOptions) *Replicator {
	options.StoreTimeout = cmp.Or(options.StoreTimeout, DefaultStoreTimeout)
	options.PeerTimeout = cmp.Or(options.PeerTimeout, DefaultPeerTimeout)
	options.ConfirmTimeout = cmp.Or(options.ConfirmTimeout, DefaultConfirmTimeout)
	options.MemberPollInterval = cmp.Or(options.MemberPollInterval, DefaultMemberPollInterval)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewPlanID == nil {
		options.NewPlanID = uuid.NewString
	}
	return &Replicator{
		options: options,
		epoch:   time.Now(),
		core:    NewCore(options.Core),
		peers:   options.Peers,
		signal:  make(chan struct{}, 1),
	}
}

// SetPeers gives the keeper its peers; it must be called before Run.
func (k *Replicator) SetPeers(peers Peers) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.peers = peers
}

// Revision is the revision in force at this node; zero when none is.
func (k *Replicator) Revision() policy.Revision {
	return policy.Revision(k.inForce.Load())
}

// Record returns the record in force, byte for byte. The bytes must not be changed.
func (k *Replicator) Record() (policy.Revision, []byte) {
	current := k.snapshot()
	if current == nil {
		return 0, nil
	}
	return current.record.Revision, current.bytes
}

// RecordAbove returns what a node with the given revision in force needs to get
// to the one in force here: a delta when it is one revision behind and there is
// one, else the record, byte for byte. Nothing is returned when it is not behind.
// The bytes must not be changed.
func (k *Replicator) RecordAbove(above policy.Revision) (policy.Revision, []byte) {
	current := k.snapshot()
	if current == nil || current.record.Revision <= above {
		return 0, nil
	}
	revision := current.record.Revision
	if above > 0 && revision == above+1 && current.delta != nil {
		return revision, current.delta
	}
	return revision, current.bytes
}

// Current returns the configuration in force; ok is false when none is known.
// The configuration must not be changed.
func (k *Replicator) Current() (revision policy.Revision, config policy.Config, ok bool) {
	current := k.snapshot()
	if current == nil {
		return 0, policy.Config{}, false
	}
	return current.record.Revision, current.record.Config, true
}

// History lists the latest changes, oldest first.
func (k *Replicator) History() []policy.HistoryEntry {
	current := k.snapshot()
	if current == nil {
		return []policy.HistoryEntry{}
	}
	return current.record.History
}

func (k *Replicator) snapshot() *state {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.current
}

// Subscribe calls back with each configuration that comes into force, in
// growing order of revisions, starting with the present one. The callback must
// not call Subscribe, Offer or Confirm.
func (k *Replicator) Subscribe(callback func(policy.Revision, policy.Config)) {
	k.notifyMutex.Lock()
	defer k.notifyMutex.Unlock()
	k.subscribers = append(k.subscribers, callback)
	if current := k.snapshot(); current != nil && uint64(current.record.Revision) == k.inForce.Load() {
		callback(current.record.Revision, current.record.Config)
	}
}

// Offer takes a record, or a delta to one, from a peer. Lower and equal
// revisions change nothing, nor does a delta that does not fit the record in
// force: the peer sees by the revision in force that it must send the record.
func (k *Replicator) Offer(revision policy.Revision, data []byte) error {
	// What another call is taking into force is in force when this one ends. Without that, the
	// peer was told of the revision before, and sent the whole record (3 of 380 plays).
	defer k.notify()
	if policy.IsDelta(data) {
		return k.offerDelta(revision, data)
	}
	return k.offer(revision, data, "")
}

// offer checks a record and adopts it if its revision is higher.
func (k *Replicator) offer(revision policy.Revision, data []byte, from string) error {
	current := k.snapshot()
	if current != nil && revision < current.record.Revision {
		return nil
	}
	if current != nil && revision == current.record.Revision && bytes.Equal(data, current.bytes) {
		return k.adopt(current, from) // checked already; tells the core what the sender has
	}
	next, err := newState(data)
	if err != nil {
		k.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if next.record.Revision != revision {
		k.metrics.rejected.Add(1)
		return fmt.Errorf("%w: offered as revision %d, holds %d", ErrRejected, revision, next.record.Revision)
	}
	return k.adopt(next, from)
}

// offerDelta applies a delta to the record in force, if it is the base.
func (k *Replicator) offerDelta(revision policy.Revision, data []byte) error {
	current := k.snapshot()
	if current == nil || revision != current.record.Revision+1 {
		return nil
	}
	delta, err := policy.DecodeDelta(data)
	if err != nil {
		k.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	record, encoded, err := policy.ApplyDelta(current.record, delta)
	if err != nil {
		k.metrics.deltaMisfits.Add(1)
		k.options.Logger.Warn().Err(err).Uint64("revision", uint64(revision)).Msg("delta refused")
		return nil
	}
	return k.adopt(&state{record: record, bytes: encoded, digest: delta.RecordDigest, delta: data}, "")
}

// newState reads a record's bytes.
func newState(data []byte) (*state, error) {
	record, err := policy.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	return stateOf(record, data), nil
}

// stateOf is the state of a record that was checked already.
func stateOf(record policy.Record, data []byte) *state {
	digest := policy.RecordDigest(data)
	delta, ok := policy.EncodeDelta(record, digest)
	if !ok {
		delta = nil
	}
	return &state{record: record, bytes: data, digest: digest, delta: delta}
}

// adopt lets the core decide on a checked record.
func (k *Replicator) adopt(next *state, from string) error {
	event := RecordOffered{Revision: next.record.Revision, Digest: next.digest, From: from}
	err := k.offerToCore(event, next)
	k.notify()
	return err
}

func (k *Replicator) offerToCore(event RecordOffered, next *state) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var diverged error
	for _, action := range k.core.Step(k.now(), event) {
		switch action := action.(type) {
		case Adopt:
			k.current = next
			k.metrics.adopted.Add(1)
			k.options.Logger.Info().Uint64("revision", uint64(action.Revision)).Str("from", from(event)).Msg("configuration adopted")
		case ReportDivergence:
			diverged = fmt.Errorf("%w: revision %d", ErrDiverged, action.Revision)
			k.metrics.diverged.Add(1)
			k.options.Logger.Error().Uint64("revision", uint64(action.Revision)).Str("from", from(event)).Msg("two records of one revision differ")
		default:
			k.pending = append(k.pending, action)
		}
	}
	k.wakeRun()
	return diverged
}

func from(event RecordOffered) string {
	if event.From == "" {
		return "store or push"
	}
	return event.From
}

// notify gives the record in force to the subscribers that have not seen it.
func (k *Replicator) notify() {
	k.notifyMutex.Lock()
	defer k.notifyMutex.Unlock()
	current := k.snapshot()
	if current == nil || uint64(current.record.Revision) <= k.inForce.Load() {
		return
	}
	for _, callback := range k.subscribers {
		callback(current.record.Revision, current.record.Config)
	}
	k.inForce.Store(uint64(current.record.Revision))
}

func (k *Replicator) wakeRun() {
	select {
	case k.signal <- struct{}{}:
	default:
	}
}

func (k *Replicator) now() time.Duration { return time.Since(k.epoch) }
