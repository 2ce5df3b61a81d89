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

// Run watches and spreads the configuration until the context ends; it then
// waits for its calls to end and returns nil.
func (k *Replicator) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	reader := &storeReader{keeper: k}
	membersTicker := time.NewTicker(k.options.MemberPollInterval)
	defer membersTicker.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	k.step(k.membersEvent())
	for {
		for _, action := range k.takePending() {
			k.perform(ctx, &calls, reader, wake, action)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.signal:
		case <-wake.C:
			k.step(TimerFired{})
		case <-membersTicker.C:
			k.step(k.membersEvent())
		}
	}
}

// step gives the core an event that can't adopt anything.
func (k *Replicator) step(event Event) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.pending = append(k.pending, k.core.Step(k.now(), event)...)
	k.wakeRun()
}

func (k *Replicator) takePending() []Action {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	actions := k.pending
	k.pending = nil
	return actions
}

func (k *Replicator) membersEvent() MembersChanged {
	peers := k.currentPeers()
	if peers == nil {
		return MembersChanged{}
	}
	return MembersChanged{Members: peers.Members()}
}

func (k *Replicator) currentPeers() Peers {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.peers
}

// perform starts an action; calls run in goroutines of their own, which the
// core bounds: one store read, one comparison, and the fan-out of pushes.
func (k *Replicator) perform(ctx context.Context, calls *sync.WaitGroup, reader *storeReader, wake *time.Timer, action Action) {
	switch action := action.(type) {
	case SetTimer:
		wake.Reset(max(0, action.At-k.now()))
	case ReadStore:
		calls.Go(func() { reader.read(ctx, action.MaxWait) })
	case Fetch:
		calls.Go(func() { k.fetch(ctx, action) })
	case Push:
		calls.Go(func() { k.push(ctx, action) })
	}
}

func (k *Replicator) fetch(ctx context.Context, action Fetch) {
	ctx, cancel := context.WithTimeout(ctx, k.options.PeerTimeout)
	defer cancel()
	k.metrics.comparisons.Add(1)
	revision, record, err := k.currentPeers().Fetch(ctx, action.Member, action.Above)
	switch {
	case err != nil:
	case len(record) == 0:
		revision = action.Above // the member has nothing newer
	default:
		err = k.takeFetched(ctx, action.Member, revision, record)
	}
	if err != nil {
		k.metrics.compareFailures.Add(1)
		k.options.Logger.Debug().Err(err).Str("member", action.Member).Msg("comparison failed")
	}
	k.step(FetchCompleted{Member: action.Member, Revision: revision, Failed: err != nil})
}

// push offers the record in force: by its delta first, which is small, then
// whole if the member says that it is still behind.
func (k *Replicator) push(ctx context.Context, action Push) {
	ctx, cancel := context.WithTimeout(ctx, k.options.PeerTimeout)
	defer cancel()
	current := k.snapshot()
	revision, err := k.pushState(ctx, action.Member, current)
	if err != nil {
		k.metrics.pushFailures.Add(1)
		k.options.Logger.Debug().Err(err).Str("member", action.Member).Msg("push failed")
	}
	k.step(PushCompleted{Member: action.Member, PushedRevision: action.Revision, Revision: revision, Failed: err != nil})
}

func (k *Replicator) pushState(ctx context.Context, member string, current *state) (policy.Revision, error) {
	peers := k.currentPeers()
	pushed := current.record.Revision
	if current.delta != nil {
		k.metrics.deltaPushes.Add(1)
		revision, err := peers.Push(ctx, member, pushed, current.delta)
		if err != nil || revision >= pushed {
			return revision, err
		}
	}
	k.metrics.recordPushes.Add(1)
	return peers.Push(ctx, member, pushed, current.bytes)
}

// takeFetched offers what a member answered to a comparison. When a delta does
// not fit the record in force, it asks for the whole record.
func (k *Replicator) takeFetched(ctx context.Context, member string, revision policy.Revision, data []byte) error {
	if !policy.IsDelta(data) {
		return k.offer(revision, data, member)
	}
	if err := k.offerDelta(revision, data); err != nil {
		return err
	}
	if current := k.snapshot(); current != nil && current.record.Revision >= revision {
		return nil
	}
	revision, record, err := k.currentPeers().Fetch(ctx, member, 0)
	if err != nil || len(record) == 0 {
		return err
	}
	return k.offer(revision, record, member)
}

// storeReader reads the store for Run; one read runs at a time.
type storeReader struct {
	keeper *Replicator
	// after is the store's own revision of the record read last.
	after uint64
}

func (r *storeReader) read(ctx context.Context, wait time.Duration) {
	k := r.keeper
	ctx, cancel := context.WithTimeout(ctx, wait+k.options.StoreTimeout)
	defer cancel()
	k.metrics.storeReads.Add(1)
	err := r.readOnce(ctx, wait)
	if err != nil {
		k.metrics.storeFailures.Add(1)
		k.options.Logger.Debug().Err(err).Msg("store read failed")
	}
	k.step(StoreReadCompleted{Failed: err != nil})
}

// readOnce offers what the store answers. A revision below the one in force
// is ignored by the offer; the watch then goes on after that old revision, so
// that it ends as soon as the store answers a newer one.
func (r *storeReader) readOnce(ctx context.Context, wait time.Duration) error {
	k := r.keeper
	var record store.Record
	var err error
	if r.after == 0 || wait == 0 {
		record, err = k.options.Store.Get(ctx, policy.StoreKey)
	} else {
		record, err = k.options.Store.Watch(ctx, policy.StoreKey, r.after, wait)
	}
	switch {
	case errors.Is(err, store.ErrUnchanged), errors.Is(err, store.ErrNotFound):
		// A store that came back from a copy counts on from below after, and a watch hears
		// nothing of what is written until it has passed it: it is read next.
		r.after = 0
		return nil
	case err != nil:
		return err
	}
	if err := k.offerStored(record); err != nil {
		return err
	}
	r.after = record.Revision
	return nil
}

// offerStored offers the value of the store's record.
func (k *Replicator) offerStored(record store.Record) error {
	if current := k.snapshot(); current != nil && bytes.Equal(record.Value, current.bytes) {
		return nil
	}
	next, err := newState(record.Value)
	if err != nil {
		k.metrics.rejected.Add(1)
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return k.adopt(next, "")
}
