package spread

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// Run replicates the configuration until the context is cancelled. It then
// waits for the calls in progress to end and returns nil.
func (r *Replicator) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	reader := &storeReader{replicator: r}
	membersTicker := time.NewTicker(r.options.MemberPollInterval)
	defer membersTicker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.stepCore(r.membersEvent())
	for {
		for _, action := range r.drainPendingActions() {
			r.performAction(ctx, &calls, reader, timer, action)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.actionsPending:
		case <-timer.C:
			r.stepCore(TimerFired{})
		case <-membersTicker.C:
			r.stepCore(r.membersEvent())
		}
	}
}

// stepCore passes the core an event that cannot lead to an adoption.
func (r *Replicator) stepCore(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.pendingActions = append(r.pendingActions, r.core.Step(r.now(), event)...)
	r.signalRun()
}

func (r *Replicator) drainPendingActions() []Action {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	actions := r.pendingActions
	r.pendingActions = nil
	return actions
}

func (r *Replicator) membersEvent() MembersChanged {
	peers := r.currentPeers()
	if peers == nil {
		return MembersChanged{}
	}
	return MembersChanged{Members: peers.Members()}
}

func (r *Replicator) currentPeers() Peers {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers
}

// performAction executes an action. Calls run in their own goroutines. The core
// limits their number to one store read, one comparison and the fan-out of
// pushes.
func (r *Replicator) performAction(ctx context.Context, calls *sync.WaitGroup, reader *storeReader, timer *time.Timer, action Action) {
	switch action := action.(type) {
	case SetTimer:
		timer.Reset(max(0, action.At-r.now()))
	case ReadStore:
		calls.Go(func() { reader.read(ctx, action.MaxWait) })
	case Fetch:
		calls.Go(func() { r.fetch(ctx, action) })
	case Push:
		calls.Go(func() { r.push(ctx, action) })
	}
}

func (r *Replicator) fetch(ctx context.Context, action Fetch) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PeerTimeout)
	defer cancel()
	r.metrics.comparisons.Add(1)
	revision, record, err := r.currentPeers().Fetch(ctx, action.Member, action.Above)
	switch {
	case err != nil:
	case len(record) == 0:
		revision = action.Above // the member has no newer revision
	default:
		err = r.offerFetched(ctx, action.Member, revision, record)
	}
	if err != nil {
		r.metrics.compareFailures.Add(1)
		r.options.Logger.Debug().Err(err).Str("member", action.Member).Msg("comparison failed")
	}
	r.stepCore(FetchCompleted{Member: action.Member, Revision: revision, Failed: err != nil})
}

func (r *Replicator) push(ctx context.Context, action Push) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PeerTimeout)
	defer cancel()
	current := r.snapshot()
	revision, err := r.pushState(ctx, action.Member, current)
	if err != nil {
		r.metrics.pushFailures.Add(1)
		r.options.Logger.Debug().Err(err).Str("member", action.Member).Msg("push failed")
	}
	r.stepCore(PushCompleted{Member: action.Member, PushedRevision: action.Revision, Revision: revision, Failed: err != nil})
}

// pushState pushes the delta first, because it is small, and then the full
// record if the member reports that it is still behind. It returns the revision
// in force at the member.
func (r *Replicator) pushState(ctx context.Context, member string, current *state) (policy.Revision, error) {
	peers := r.currentPeers()
	pushed := current.record.Revision
	if current.delta != nil {
		r.metrics.deltaPushes.Add(1)
		revision, err := peers.Push(ctx, member, pushed, current.delta)
		if err != nil || revision >= pushed {
			return revision, err
		}
	}
	r.metrics.recordPushes.Add(1)
	return peers.Push(ctx, member, pushed, current.bytes)
}

// offerFetched adopts what a member returned for a comparison. If it is a delta
// that does not apply to the record in force, the full record is fetched.
func (r *Replicator) offerFetched(ctx context.Context, member string, revision policy.Revision, data []byte) error {
	if !policy.IsDelta(data) {
		return r.offerRecord(revision, data, member)
	}
	if err := r.offerDelta(revision, data); err != nil {
		return err
	}
	if current := r.snapshot(); current != nil && current.record.Revision >= revision {
		return nil
	}
	revision, record, err := r.currentPeers().Fetch(ctx, member, 0)
	if err != nil || len(record) == 0 {
		return err
	}
	return r.offerRecord(revision, record, member)
}

// storeReader reads the store on behalf of Run, one read at a time.
type storeReader struct {
	replicator *Replicator
	// lastRevision is the store's own revision number of the record read last.
	// Zero selects a plain read in place of a watch.
	lastRevision uint64
}

func (s *storeReader) read(ctx context.Context, wait time.Duration) {
	r := s.replicator
	ctx, cancel := context.WithTimeout(ctx, wait+r.options.StoreTimeout)
	defer cancel()
	r.metrics.storeReads.Add(1)
	err := s.readOnce(ctx, wait)
	if err != nil {
		r.metrics.storeFailures.Add(1)
		r.options.Logger.Debug().Err(err).Msg("store read failed")
	}
	r.stepCore(StoreReadCompleted{Failed: err != nil})
}

// readOnce reads or watches the store and offers the record. A record with a
// revision lower than the one in force is not adopted. The next watch
// nevertheless starts after it, so that the watch ends as soon as the store
// returns a newer record.
func (s *storeReader) readOnce(ctx context.Context, wait time.Duration) error {
	r := s.replicator
	var record store.Record
	var err error
	if s.lastRevision == 0 || wait == 0 {
		record, err = r.options.Store.Get(ctx, policy.StoreKey)
	} else {
		record, err = r.options.Store.Watch(ctx, policy.StoreKey, s.lastRevision, wait)
	}
	switch {
	case errors.Is(err, store.ErrUnchanged), errors.Is(err, store.ErrNotFound):
		// A store restored from a backup continues with revision numbers below
		// lastRevision. A watch after lastRevision reports no writes until the
		// store has passed that number, so the next call is a plain read.
		s.lastRevision = 0
		return nil
	case err != nil:
		return err
	}
	if err := r.offerStored(record); err != nil {
		return err
	}
	s.lastRevision = record.Revision
	return nil
}

// offerStored adopts a record read from the store, if its revision is higher.
func (r *Replicator) offerStored(record store.Record) error {
	if current := r.snapshot(); current != nil && bytes.Equal(record.Value, current.bytes) {
		return nil
	}
	next, err := decodeState(record.Value)
	if err != nil {
		r.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return r.adoptRecord(next, "")
}
