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

// ReplicatorOptions sets up a replicator; zero values of times mean the defaults.
type ReplicatorOptions struct {
	// Core sets identity, seed and pace.
	Core CoreOptions
	// Store holds the record.
	Store store.Conn
	// Peers may be set later, before Run, by SetPeers.
	Peers Peers
	// Logger receives what the replicator does.
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
	options   ReplicatorOptions
	startedAt time.Time

	// mutex guards core, current, pending and peers. Invariant: current is the
	// record of core.Revision(), and its revision never decreases.
	mutex          sync.Mutex
	core           *Core
	current        *state
	pendingActions []Action
	peers          Peers

	// actionsPending tells Run that pending has grown.
	actionsPending chan struct{}

	// notifyMutex serialises the subscribers' calls, so that each sees
	// revisions in growing order. It is taken before mutex, never after it.
	notifyMutex sync.Mutex
	subscribers []func(policy.Revision, policy.Config)
	// notifiedRevision is the revision that all subscribers have taken.
	notifiedRevision atomic.Uint64

	metrics replicatorMetrics
}

// NewReplicator makes a replicator that knows no configuration; Run starts it.
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
		options:        options,
		startedAt:      time.Now(),
		core:           NewCore(options.Core),
		peers:          options.Peers,
		actionsPending: make(chan struct{}, 1),
	}
}

// SetPeers gives the replicator its peers; it must be called before Run.
func (r *Replicator) SetPeers(peers Peers) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers = peers
}

// Revision is the revision in force at this node; zero when none is.
func (r *Replicator) Revision() policy.Revision {
	return policy.Revision(r.notifiedRevision.Load())
}

// Record returns the record in force, byte for byte. The bytes must not be changed.
func (r *Replicator) Record() (policy.Revision, []byte) {
	current := r.snapshot()
	if current == nil {
		return 0, nil
	}
	return current.record.Revision, current.bytes
}

// RecordAbove returns what a node with the given revision in force needs to get
// to the one in force here: a delta when it is one revision behind and there is
// one, else the record, byte for byte. Nothing is returned when it is not behind.
// The bytes must not be changed.
func (r *Replicator) RecordAbove(above policy.Revision) (policy.Revision, []byte) {
	current := r.snapshot()
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
func (r *Replicator) Current() (revision policy.Revision, config policy.Config, ok bool) {
	current := r.snapshot()
	if current == nil {
		return 0, policy.Config{}, false
	}
	return current.record.Revision, current.record.Config, true
}

// History lists the latest changes, oldest first.
func (r *Replicator) History() []policy.HistoryEntry {
	current := r.snapshot()
	if current == nil {
		return []policy.HistoryEntry{}
	}
	return current.record.History
}

func (r *Replicator) snapshot() *state {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// Subscribe calls back with each configuration that comes into force, in
// growing order of revisions, starting with the present one. The callback must
// not call Subscribe, Offer or Confirm.
func (r *Replicator) Subscribe(callback func(policy.Revision, policy.Config)) {
	r.notifyMutex.Lock()
	defer r.notifyMutex.Unlock()
	r.subscribers = append(r.subscribers, callback)
	if current := r.snapshot(); current != nil && uint64(current.record.Revision) == r.notifiedRevision.Load() {
		callback(current.record.Revision, current.record.Config)
	}
}

// Offer takes a record, or a delta to one, from a peer. Lower and equal
// revisions change nothing, nor does a delta that does not fit the record in
// force: the peer sees by the revision in force that it must send the record.
func (r *Replicator) Offer(revision policy.Revision, data []byte) error {
	// What another call is taking into force is in force when this one ends. Without that, the
	// peer was told of the revision before, and sent the whole record (3 of 380 plays).
	defer r.notifySubscribers()
	if policy.IsDelta(data) {
		return r.offerDelta(revision, data)
	}
	return r.offerRecord(revision, data, "")
}

// offerRecord checks a record and adopts it if its revision is higher.
func (r *Replicator) offerRecord(revision policy.Revision, data []byte, from string) error {
	current := r.snapshot()
	if current != nil && revision < current.record.Revision {
		return nil
	}
	if current != nil && revision == current.record.Revision && bytes.Equal(data, current.bytes) {
		return r.adoptRecord(current, from) // checked already; tells the core what the sender has
	}
	next, err := decodeState(data)
	if err != nil {
		r.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if next.record.Revision != revision {
		r.metrics.rejected.Add(1)
		return fmt.Errorf("%w: offered as revision %d, holds %d", ErrRejected, revision, next.record.Revision)
	}
	return r.adoptRecord(next, from)
}

// offerDelta applies a delta to the record in force, if it is the base.
func (r *Replicator) offerDelta(revision policy.Revision, data []byte) error {
	current := r.snapshot()
	if current == nil || revision != current.record.Revision+1 {
		return nil
	}
	delta, err := policy.DecodeDelta(data)
	if err != nil {
		r.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	record, encoded, err := policy.ApplyDelta(current.record, delta)
	if err != nil {
		r.metrics.deltaMismatches.Add(1)
		r.options.Logger.Warn().Err(err).Uint64("revision", uint64(revision)).Msg("delta refused")
		return nil
	}
	return r.adoptRecord(&state{record: record, bytes: encoded, digest: delta.RecordDigest, delta: data}, "")
}

// decodeState reads a record's bytes.
func decodeState(data []byte) (*state, error) {
	record, err := policy.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	return buildState(record, data), nil
}

// buildState is the state of a record that was checked already.
func buildState(record policy.Record, data []byte) *state {
	digest := policy.RecordDigest(data)
	delta, ok := policy.EncodeDelta(record, digest)
	if !ok {
		delta = nil
	}
	return &state{record: record, bytes: data, digest: digest, delta: delta}
}

// adoptRecord lets the core decide on a checked record.
func (r *Replicator) adoptRecord(next *state, from string) error {
	event := RecordOffered{Revision: next.record.Revision, Digest: next.digest, From: from}
	err := r.offerToCore(event, next)
	r.notifySubscribers()
	return err
}

func (r *Replicator) offerToCore(event RecordOffered, next *state) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var diverged error
	for _, action := range r.core.Step(r.now(), event) {
		switch action := action.(type) {
		case Adopt:
			r.current = next
			r.metrics.adopted.Add(1)
			r.options.Logger.Info().Uint64("revision", uint64(action.Revision)).Str("from", sourceLabel(event)).Msg("configuration adopted")
		case ReportDivergence:
			diverged = fmt.Errorf("%w: revision %d", ErrDiverged, action.Revision)
			r.metrics.diverged.Add(1)
			r.options.Logger.Error().Uint64("revision", uint64(action.Revision)).Str("from", sourceLabel(event)).Msg("two records of one revision differ")
		default:
			r.pendingActions = append(r.pendingActions, action)
		}
	}
	r.signalRun()
	return diverged
}

func sourceLabel(event RecordOffered) string {
	if event.From == "" {
		return "store or push"
	}
	return event.From
}

// notifySubscribers gives the record in force to the subscribers that have not seen it.
func (r *Replicator) notifySubscribers() {
	r.notifyMutex.Lock()
	defer r.notifyMutex.Unlock()
	current := r.snapshot()
	if current == nil || uint64(current.record.Revision) <= r.notifiedRevision.Load() {
		return
	}
	for _, callback := range r.subscribers {
		callback(current.record.Revision, current.record.Config)
	}
	r.notifiedRevision.Store(uint64(current.record.Revision))
}

func (r *Replicator) signalRun() {
	select {
	case r.actionsPending <- struct{}{}:
	default:
	}
}

func (r *Replicator) now() time.Duration { return time.Since(r.startedAt) }
