package store

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/banksail/banksail/internal/clock"
)

// MemoryOptions configures a Memory. Zero fields are set to their defaults.
type MemoryOptions struct {
	// Now is the clock for lease expiry and the rate limit.
	Now func() time.Time
	// OnChange, if set, is called for each write of a record, in order and with
	// the mutex held. It must not call methods of the Memory.
	OnChange func(key string, record Record)
}

// MemoryFaults configures fault injection for a Memory. The zero value injects
// no faults.
type MemoryFaults struct {
	// Down makes every call fail with ErrUnavailable. Nothing changes.
	Down bool `json:"down"`
	// DelayMilliseconds delays each call.
	DelayMilliseconds float64 `json:"delay_ms" validate:"min=0,max=600000"`
	// DropChanges is the number of next changes that have no effect and get no
	// reply. The writer cannot distinguish them from changes whose reply was
	// lost.
	DropChanges int `json:"cut_changes" validate:"min=0,max=1000000"`
	// LoseReplies is the number of next changes that take effect but whose
	// reply is lost.
	LoseReplies int `json:"lose_replies" validate:"min=0,max=1000000"`
	// StaleRevisions makes reads return the value that is this many revisions
	// older than the current one, or the oldest one kept.
	StaleRevisions int `json:"stale_revisions" validate:"min=0,max=16"`
	// CallsPerSecond limits the rate of calls, with a burst of one second. Zero
	// means no limit.
	CallsPerSecond float64 `json:"calls_per_second" validate:"min=0,max=1000000"`
}

// historyLength is the number of previous values kept for each record, for
// StaleRevisions.
const historyLength = 16

// Memory is an in-memory key-value service. It is safe for concurrent use.
type Memory struct {
	now      func() time.Time
	onChange func(key string, record Record)

	// mutex guards the fields below. Invariants: revision is at least the
	// revision of every record ever stored, and changed is closed and replaced
	// on each change of a record.
	mutex    sync.Mutex
	revision uint64
	records  map[string]*memoryRecord
	leases   map[LeaseID]*memoryLease
	leaseSeq uint64
	changed  chan struct{}
	faults   MemoryFaults
	limiter  *rate.Limiter
}

type memoryRecord struct {
	// history holds the revisions of the record, newest last.
	history []Record
	lease   LeaseID
}

type memoryLease struct {
	timeToLive time.Duration
	expires    time.Time
}

var _ Conn = (*Memory)(nil)

// NewMemory returns an empty key-value service.
func NewMemory(options MemoryOptions) *Memory {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnChange == nil {
		options.OnChange = func(string, Record) {}
	}
	return &Memory{
		now:      options.Now,
		onChange: options.OnChange,
		records:  make(map[string]*memoryRecord),
		leases:   make(map[LeaseID]*memoryLease),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the injected faults and wakes all watches, so that they
// see them.
func (m *Memory) SetFaults(faults MemoryFaults) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if faults.CallsPerSecond != m.faults.CallsPerSecond {
		m.limiter = newLimiter(faults.CallsPerSecond)
	}
	m.faults = faults
	m.notifyWatchers()
}

func newLimiter(callsPerSecond float64) *rate.Limiter {
	if callsPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond)))
}

// Faults returns the injected faults.
func (m *Memory) Faults() MemoryFaults {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.faults
}

// Get reads a record.
func (m *Memory) Get(ctx context.Context, key string) (Record, error) {
	if err := ValidateKey(key); err != nil {
		return Record{}, err
	}
	if err := m.admitCall(ctx); err != nil {
		return Record{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record, ok := m.readRecord(key)
	if !ok {
		return Record{}, fmt.Errorf("%w: record %q", ErrNotFound, key)
	}
	return record, nil
}

// Put writes a record if its current revision is base. A base of zero creates
// the record.
func (m *Memory) Put(ctx context.Context, key string, value []byte, base uint64, lease LeaseID) (Record, error) {
	if err := validatePut(key, value, lease); err != nil {
		return Record{}, err
	}
	var record Record
	err := m.applyChange(ctx, func() error {
		if lease != "" && m.leases[lease] == nil {
			return fmt.Errorf("%w: lease %q", ErrNotFound, lease)
		}
		if current := m.currentRevision(key); current != base {
			return fmt.Errorf("%w: record %q is at revision %d, not %d", ErrConflict, key, current, base)
		}
		record = m.writeRecord(key, value, lease)
		return nil
	})
	if err != nil {
		return Record{}, err
	}
	return record, nil
}

// Watch waits up to wait until the record's revision is greater than after.
func (m *Memory) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Record, error) {
	if err := ValidateKey(key); err != nil {
		return Record{}, err
	}
	if err := m.admitCall(ctx); err != nil {
		return Record{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		record, changed, err := m.readForWatch(key)
		if err != nil {
			return Record{}, err
		}
		if record.Revision > after {
			return record, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return Record{}, fmt.Errorf("%w: record %q after revision %d", ErrUnchanged, key, after)
		case <-ctx.Done():
			return Record{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

// readForWatch reads a record and returns it with the channel that is closed on
// the next change of any record.
func (m *Memory) readForWatch(key string) (Record, <-chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.faults.Down {
		return Record{}, nil, fmt.Errorf("%w: the Down fault is set", ErrUnavailable)
	}
	record, _ := m.readRecord(key)
	return record, m.changed, nil
}

// Grant creates a lease.
func (m *Memory) Grant(ctx context.Context, timeToLive time.Duration) (LeaseID, error) {
	var id LeaseID
	err := m.applyChange(ctx, func() error {
		m.leaseSeq++
		id = LeaseID(fmt.Sprintf("lease-%d", m.leaseSeq))
		m.leases[id] = &memoryLease{timeToLive: timeToLive, expires: m.now().Add(timeToLive)}
		return nil
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// KeepAlive renews a lease.
func (m *Memory) KeepAlive(ctx context.Context, lease LeaseID) error {
	return m.applyLeaseChange(ctx, lease, func() error {
		existing, ok := m.leases[lease]
		if !ok {
			return fmt.Errorf("%w: lease %q", ErrNotFound, lease)
		}
		existing.expires = m.now().Add(existing.timeToLive)
		return nil
	})
}

// Revoke ends a lease and removes its records.
func (m *Memory) Revoke(ctx context.Context, lease LeaseID) error {
	return m.applyLeaseChange(ctx, lease, func() error {
		if _, ok := m.leases[lease]; !ok {
			return fmt.Errorf("%w: lease %q", ErrNotFound, lease)
		}
		m.removeLease(lease)
		return nil
	})
}

// applyLeaseChange validates the lease ID and calls applyChange.
func (m *Memory) applyLeaseChange(ctx context.Context, lease LeaseID, apply func() error) error {
	if err := ValidateKey(string(lease)); err != nil {
		return err
	}
	return m.applyChange(ctx, apply)
}

// applyChange makes one change, subject to the injected faults. apply runs with
// the mutex held.
func (m *Memory) applyChange(ctx context.Context, apply func() error) error {
	if err := m.admitCall(ctx); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := m.dropChange(); err != nil {
		return err
	}
	m.expireLeases()
	if err := apply(); err != nil {
		return err
	}
	return m.loseReply()
}

// admitCall applies the faults that act before a call takes effect: delay,
// outage and rate limit.
func (m *Memory) admitCall(ctx context.Context) error {
	m.mutex.Lock()
	faults := m.faults
	limiter := m.limiter
	m.mutex.Unlock()
	if err := clock.Sleep(ctx, milliseconds(faults.DelayMilliseconds)); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if faults.Down {
		return fmt.Errorf("%w: the Down fault is set", ErrUnavailable)
	}
	if limiter != nil && !limiter.AllowN(m.now(), 1) {
		return ErrRateLimited
	}
	return nil
}

// dropChange simulates a change that is lost before it takes effect. The caller
// holds the mutex.
func (m *Memory) dropChange() error {
	if m.faults.DropChanges == 0 {
		return nil
	}
	m.faults.DropChanges--
	return fmt.Errorf("%w: the change was dropped by fault injection", ErrOutcomeUnknown)
}

// loseReply simulates a reply that is lost after the change took effect. The
// caller holds the mutex.
func (m *Memory) loseReply() error {
	if m.faults.LoseReplies == 0 {
		return nil
	}
	m.faults.LoseReplies--
	return fmt.Errorf("%w: the reply was lost by fault injection", ErrOutcomeUnknown)
}

// readRecord returns the record that a reader sees, which may be stale because
// of StaleRevisions. The caller holds the mutex.
func (m *Memory) readRecord(key string) (Record, bool) {
	m.expireLeases()
	stored, ok := m.records[key]
	if !ok {
		return Record{}, false
	}
	newest := len(stored.history) - 1
	visible := stored.history[max(0, newest-m.faults.StaleRevisions)]
	return Record{Value: bytes.Clone(visible.Value), Revision: visible.Revision}, true
}

func (m *Memory) currentRevision(key string) uint64 {
	stored, ok := m.records[key]
	if !ok {
		return 0
	}
	return stored.history[len(stored.history)-1].Revision
}

func (m *Memory) writeRecord(key string, value []byte, lease LeaseID) Record {
	m.revision++
	record := Record{Value: bytes.Clone(value), Revision: m.revision}
	stored := m.records[key]
	if stored == nil {
		stored = &memoryRecord{}
		m.records[key] = stored
	}
	stored.history = append(stored.history, record)
	if excess := len(stored.history) - historyLength - 1; excess > 0 {
		stored.history = stored.history[excess:]
	}
	stored.lease = lease
	m.onChange(key, record)
	m.notifyWatchers()
	return record
}

// expireLeases removes the leases that have expired. The caller holds the
// mutex.
func (m *Memory) expireLeases() {
	now := m.now()
	for id, lease := range m.leases {
		if !now.Before(lease.expires) {
			m.removeLease(id)
		}
	}
}

// removeLease removes a lease and its records. The caller holds the mutex.
func (m *Memory) removeLease(id LeaseID) {
	delete(m.leases, id)
	for key, stored := range m.records {
		if stored.lease == id {
			delete(m.records, key)
			m.notifyWatchers()
		}
	}
}

// notifyWatchers wakes all watches. The caller holds the mutex.
func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}
