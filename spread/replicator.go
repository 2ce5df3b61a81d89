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

// Errors returned by this package, wrapped with details.
var (
	// ErrStoreUnavailable means that the store cannot be used at present.
	// Nothing has changed.
	ErrStoreUnavailable = errors.New("spread: store unavailable")
	// ErrStoreBehind means that the store returned a revision lower than the
	// one in force. Nothing has changed.
	ErrStoreBehind = errors.New("spread: store answers an old revision")
	// ErrOutcomeUnknown means that the plan was sent to the store and may be in
	// effect.
	ErrOutcomeUnknown = errors.New("spread: outcome unknown")
	// ErrRejected means that a record cannot be decoded, is invalid, or cannot
	// be stored. Nothing has changed.
	ErrRejected = errors.New("spread: record rejected")
	// ErrDiverged means that an offered record differs from the record of the
	// same revision in force.
	ErrDiverged = errors.New("spread: two records of one revision differ")
)

// Peers gives access to the other nodes.
type Peers interface {
	// Members returns the live nodes. The list may include this node.
	Members() []Member
	// Fetch requests a member's record, or a delta to it. record is empty
	// unless the member's revision is greater than above.
	Fetch(ctx context.Context, member string, above policy.Revision) (revision policy.Revision, record []byte, err error)
	// Push offers a record or a delta to a member and returns the revision that
	// is in force there afterwards.
	Push(ctx context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error)
}

// ReplicatorOptions configures a Replicator. Zero durations select the
// defaults.
type ReplicatorOptions struct {
	// Core configures the replication state machine.
	Core CoreOptions
	// Store is the connection to the store that holds the record.
	Store store.Conn
	// Peers gives access to the other nodes. It may be set later by SetPeers,
	// before Run.
	Peers Peers
	// Logger receives the log lines.
	Logger zerolog.Logger
	// Now returns the wall-clock time recorded in the history. The default is
	// time.Now.
	Now func() time.Time
	// NewPlanID returns a plan ID that is unique across all nodes. The default
	// is a random UUID.
	NewPlanID func() string
	// StoreTimeout limits one call to the store. A watch may last longer by its
	// own maximum duration.
	StoreTimeout time.Duration
	// PeerTimeout limits one fetch or push, including the repetition with the
	// full record if a delta does not apply.
	PeerTimeout time.Duration
	// ConfirmTimeout limits one confirmation, including its retries.
	ConfirmTimeout time.Duration
	// MemberPollInterval is the interval between two reads of the member list.
	MemberPollInterval time.Duration
}

// Defaults for ReplicatorOptions.
const (
	DefaultStoreTimeout       = 3 * time.Second
	DefaultPeerTimeout        = 1500 * time.Millisecond
	DefaultConfirmTimeout     = 8 * time.Second
	DefaultMemberPollInterval = time.Second
)

// state is an adopted record. It is immutable.
type state struct {
	record policy.Record
	bytes  []byte
	digest string
	// delta is the encoded delta from the previous revision to this one, or nil
	// if there is none.
	delta []byte
}

// Replicator runs the Core of one node. It holds the record in force, calls the
// store and the peers, and makes and confirms the operators' plans. Its methods
// are safe for concurrent use.
type Replicator struct {
	options   ReplicatorOptions
	startedAt time.Time

	// mutex guards core, current, pendingActions and peers. Invariant: current
	// is the record of revision core.Revision(), which never decreases.
	mutex          sync.Mutex
	core           *Core
	current        *state
	pendingActions []Action
	peers          Peers

	// actionsPending wakes Run when pendingActions has grown.
	actionsPending chan struct{}

	// notifyMutex serializes the subscriber callbacks, so that each subscriber
	// sees increasing revisions. It is locked before mutex, never while mutex
	// is held.
	notifyMutex sync.Mutex
	subscribers []func(policy.Revision, policy.Config)
	// notifiedRevision is the latest revision that all subscribers have
	// processed.
	notifiedRevision atomic.Uint64

	metrics replicatorMetrics
}

// NewReplicator returns a replicator without a configuration. Replication
// starts with Run.
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

// SetPeers sets the access to the other nodes. It must be called before Run.
func (r *Replicator) SetPeers(peers Peers) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers = peers
}

// Revision returns the revision that all subscribers have processed, or zero if
// there is none.
func (r *Replicator) Revision() policy.Revision {
	return policy.Revision(r.notifiedRevision.Load())
}

// Record returns the revision and the encoded bytes of the record in force. The
// caller must not modify the bytes.
func (r *Replicator) Record() (policy.Revision, []byte) {
	current := r.snapshot()
	if current == nil {
		return 0, nil
	}
	return current.record.Revision, current.bytes
}

// RecordAbove returns what a node at the given revision needs to reach the
// revision in force here: the delta if that node is exactly one revision behind
// and a delta exists, otherwise the full encoded record. It returns zero and
// nil if that node is not behind. The caller must not modify the bytes.
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

// Current returns the configuration in force; ok is false if there is none. The
// caller must not modify the configuration.
func (r *Replicator) Current() (revision policy.Revision, config policy.Config, ok bool) {
	current := r.snapshot()
	if current == nil {
		return 0, policy.Config{}, false
	}
	return current.record.Revision, current.record.Config, true
}

// History returns the most recent changes, oldest first.
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

// Subscribe registers a callback that receives each configuration that comes
// into force, in increasing order of revisions. It is called at once with the
// present configuration if there is one. Revisions adopted in quick succession
// may be skipped. The callback must not call Subscribe, Offer or Confirm.
func (r *Replicator) Subscribe(callback func(policy.Revision, policy.Config)) {
	r.notifyMutex.Lock()
	defer r.notifyMutex.Unlock()
	r.subscribers = append(r.subscribers, callback)
	if current := r.snapshot(); current != nil && uint64(current.record.Revision) == r.notifiedRevision.Load() {
		callback(current.record.Revision, current.record.Config)
	}
}

// Offer adopts a record, or a delta to one, received from a peer. Lower
// revisions, an identical record, and a delta that does not apply to the record
// in force are ignored without an error. In the last case the peer learns from
// the revision in force that it must send the full record. Offer returns
// ErrRejected for an invalid record and ErrDiverged for a different record of
// the revision in force.
func (r *Replicator) Offer(revision policy.Revision, data []byte) error {
	// Wait until a revision that a concurrent call has adopted is in force.
	// Otherwise the pushing peer would see the previous revision and needlessly
	// send the full record, as happened in 3 of about 380 runs of
	// TestSmallChangesSpreadAsDeltas.
	defer r.notifySubscribers()
	if policy.IsDelta(data) {
		return r.offerDelta(revision, data)
	}
	return r.offerRecord(revision, data, "")
}

// offerRecord validates a record and adopts it if its revision is higher.
func (r *Replicator) offerRecord(revision policy.Revision, data []byte, from string) error {
	current := r.snapshot()
	if current != nil && revision < current.record.Revision {
		return nil
	}
	if current != nil && revision == current.record.Revision && bytes.Equal(data, current.bytes) {
		return r.adoptRecord(current, from) // already validated; informs the core of the sender's revision
	}
	next, err := decodeState(data)
	if err != nil {
		r.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	if next.record.Revision != revision {
		r.metrics.rejected.Add(1)
		return fmt.Errorf("%w: offered as revision %d, but holds revision %d", ErrRejected, revision, next.record.Revision)
	}
	return r.adoptRecord(next, from)
}

// offerDelta applies a delta if the record in force is its base.
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
		r.options.Logger.Warn().Err(err).Uint64("revision", uint64(revision)).Msg("delta does not apply to the record in force")
		return nil
	}
	return r.adoptRecord(&state{record: record, bytes: encoded, digest: delta.RecordDigest, delta: data}, "")
}

// decodeState decodes and validates an encoded record.
func decodeState(data []byte) (*state, error) {
	record, err := policy.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	return buildState(record, data), nil
}

// buildState returns the state for a record that has already been validated and
// its encoded bytes.
func buildState(record policy.Record, data []byte) *state {
	digest := policy.RecordDigest(data)
	delta, ok := policy.EncodeDelta(record, digest)
	if !ok {
		delta = nil
	}
	return &state{record: record, bytes: data, digest: digest, delta: delta}
}

// adoptRecord offers a validated record to the core, which adopts it if its
// revision is higher, and notifies the subscribers.
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

// notifySubscribers passes the record in force to the subscribers if they have
// not yet received it. It waits for notifications in progress.
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
