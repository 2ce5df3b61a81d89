package spread

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banksail/banksail/internal/clock"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// Back-off between the attempts of a confirmation.
const (
	confirmBackoffBase    = 50 * time.Millisecond
	confirmBackoffMaximum = time.Second
)

// Plan computes what an intent would change. It is based on the newest revision
// in the store. If the store cannot be read, the plan is based on the revision
// in force at this node and carries a warning, or fails if no revision is in
// force.
func (r *Replicator) Plan(ctx context.Context, intent policy.Intent) (policy.Plan, error) {
	storeErr := r.refreshFromStore(ctx)
	base := policy.Record{}
	if current := r.snapshot(); current != nil {
		base = current.record
	}
	if storeErr != nil && base.Revision == 0 {
		return policy.Plan{}, storeErr
	}
	options := policy.PlanOptions{ID: r.options.NewPlanID(), Base: base, Intent: intent, Nodes: r.liveNodeCount()}
	if storeErr != nil {
		options.Warnings = []policy.Warning{{
			Field:   "base_revision",
			Message: fmt.Sprintf("the store can't be read now: planned on revision %d, in force at this node", base.Revision),
		}}
	}
	return policy.NewPlan(options)
}

// refreshFromStore reads the record from the store and adopts it if its
// revision is higher. It is not an error if the store has no record.
func (r *Replicator) refreshFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.StoreTimeout)
	defer cancel()
	record, err := r.options.Store.Get(ctx, policy.StoreKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	return r.offerStored(record)
}

// liveNodeCount returns the number of live nodes including this one.
func (r *Replicator) liveNodeCount() int {
	nodes := 1
	peers := r.currentPeers()
	if peers == nil {
		return nodes
	}
	for _, member := range peers.Members() {
		if member.ID != r.options.Core.Self {
			nodes++
		}
	}
	return nodes
}

// Confirm puts a plan into effect by a compare-and-swap on its base revision.
//
// Confirm is idempotent: a plan that is confirmed repeatedly is applied once.
// If the reply of the store is lost, Confirm reads the record and looks for the
// plan's ID. As long as the base revision is unchanged, it sends the same swap
// again.
//
// The error is a *policy.ConflictError if another plan was applied first, and
// ErrOutcomeUnknown if the plan may be in effect. After any other error nothing
// has changed. A conflict with PlanMayBeEvicted set leaves the outcome unknown
// too.
func (r *Replicator) Confirm(ctx context.Context, plan policy.Plan) (policy.Receipt, error) {
	r.metrics.confirmations.Add(1)
	if err := plan.Verify(); err != nil {
		return r.receipt(plan, policy.OutcomeNotApplied), err
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.ConfirmTimeout)
	defer cancel()
	confirmation := &confirmation{replicator: r, plan: plan, confirmedAt: r.options.Now()}
	revision, err := confirmation.run(ctx)
	if err == nil {
		receipt := r.receipt(plan, policy.OutcomeApplied)
		receipt.Revision = revision
		receipt.AlreadyApplied = confirmation.alreadyApplied && !confirmation.mayBeApplied
		return receipt, nil
	}
	var conflict *policy.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.PlanMayBeEvicted:
		receipt := r.receipt(plan, policy.OutcomeUnknown)
		receipt.Detail = planEvictedDetail
		return receipt, err
	case confirmation.mayBeApplied && conflict == nil:
		r.metrics.unknownOutcomes.Add(1)
		return r.receipt(plan, policy.OutcomeUnknown), fmt.Errorf("%w: plan %s: %w", ErrOutcomeUnknown, plan.ID, err)
	default:
		return r.receipt(plan, policy.OutcomeNotApplied), err
	}
}

// planEvictedDetail is the receipt's detail if the outcome can no longer be
// determined.
const planEvictedDetail = "the record no longer names plans that old"

func (r *Replicator) receipt(plan policy.Plan, outcome policy.Outcome) policy.Receipt {
	revision, _ := r.Record()
	return policy.Receipt{PlanID: plan.ID, Outcome: outcome, Current: revision}
}

// confirmation is the state of one call of Confirm.
type confirmation struct {
	replicator  *Replicator
	plan        policy.Plan
	confirmedAt time.Time
	// mayBeApplied is set once a swap may have reached the store although its
	// outcome is unknown, or is in the store without being in force here.
	mayBeApplied bool
	// alreadyApplied is set if the record already contained the plan.
	alreadyApplied bool
}

// run repeats the attempt until the outcome is known or the context ends.
func (c *confirmation) run(ctx context.Context) (policy.Revision, error) {
	backoff := confirmBackoffBase
	for {
		revision, err := c.attempt(ctx)
		if err == nil || !isRetryable(err) {
			return revision, err
		}
		if clock.Sleep(ctx, jitter(backoff)) != nil {
			return 0, err
		}
		backoff = min(2*backoff, confirmBackoffMaximum)
	}
}

func isRetryable(err error) bool {
	return errors.Is(err, ErrStoreUnavailable) || errors.Is(err, ErrStoreBehind) || errors.Is(err, ErrOutcomeUnknown)
}

// attempt reads the record and swaps in its successor according to the plan,
// unless the record already contains the plan.
func (c *confirmation) attempt(ctx context.Context) (policy.Revision, error) {
	current, base, err := c.replicator.readForSwap(ctx, c.plan)
	if err != nil {
		return 0, err
	}
	decision, err := policy.Decide(current, c.plan, c.confirmedAt)
	if err != nil {
		return 0, err
	}
	if decision.Applied {
		c.alreadyApplied = true
		return decision.Revision, nil
	}
	return c.swap(ctx, decision.Next, base)
}

// readForSwap returns the record in the store and the store's own revision
// number of it. If the record in force here already contains the plan, that
// record is returned without a read. A record in the store that is older than
// the one in force or than the plan's base revision gives ErrStoreBehind.
func (r *Replicator) readForSwap(ctx context.Context, plan policy.Plan) (record policy.Record, base uint64, err error) {
	if current := r.snapshot(); current != nil {
		if _, found := current.record.FindPlan(plan.ID); found {
			return current.record, 0, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.StoreTimeout)
	defer cancel()
	stored, err := r.options.Store.Get(ctx, policy.StoreKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
		stored = store.Record{}
	case err != nil:
		return policy.Record{}, 0, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	default:
		record, err = policy.DecodeRecord(stored.Value)
		if err != nil {
			return policy.Record{}, 0, fmt.Errorf("%w: %w", ErrRejected, err)
		}
		if err := r.offerStored(stored); err != nil {
			return policy.Record{}, 0, err
		}
	}
	current := r.snapshot()
	switch {
	case current != nil && record.Revision < current.record.Revision:
		return policy.Record{}, 0, r.restoreStore(ctx, current, record.Revision, stored.Revision)
	case record.Revision < plan.BaseRevision:
		return policy.Record{}, 0, storeBehindError(record.Revision, plan.BaseRevision)
	}
	return record, stored.Revision, nil
}

func storeBehindError(stored, known policy.Revision) error {
	return fmt.Errorf("%w: revision %d, expected at least %d", ErrStoreBehind, stored, known)
}

// restoreStore writes the record in force back to a store that has lost it. If
// the store only returned a stale read, the swap fails and nothing is written.
// It always returns ErrStoreBehind or ErrStoreUnavailable, so that the caller
// reads again.
func (r *Replicator) restoreStore(ctx context.Context, current *state, found policy.Revision, base uint64) error {
	_, err := r.options.Store.Put(ctx, policy.StoreKey, current.bytes, base, "")
	if err != nil && !errors.Is(err, store.ErrConflict) {
		return fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	if err == nil {
		r.metrics.restoredRecords.Add(1)
		r.options.Logger.Warn().Uint64("found", uint64(found)).Uint64("restored", uint64(current.record.Revision)).
			Msg("store lost revisions; wrote the record in force back")
	}
	return storeBehindError(found, current.record.Revision)
}

// swap writes the next record if the store still holds the base, and adopts it.
func (c *confirmation) swap(ctx context.Context, next policy.Record, base uint64) (policy.Revision, error) {
	r := c.replicator
	data, err := policy.EncodeRecord(next)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.StoreTimeout)
	defer cancel()
	_, err = r.options.Store.Put(ctx, policy.StoreKey, data, base, "")
	switch {
	case err == nil:
		err = r.adoptRecord(buildState(next, data), "")
		if err != nil {
			c.mayBeApplied = true // the record is in the store but not in force here
		}
		return next.Revision, err
	case errors.Is(err, store.ErrInvalid):
		return 0, fmt.Errorf("%w: %w", ErrRejected, err)
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrUnavailable):
		return 0, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	default:
		c.mayBeApplied = true
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// Outcome reports whether a plan made for a base revision is in effect. It
// reports not applied only if another plan has been applied to that base. As
// long as the base is in force, a swap may still be in progress, or the store
// may have returned a stale revision, so the outcome is unknown.
func (r *Replicator) Outcome(ctx context.Context, planID string, base policy.Revision) (policy.Receipt, error) {
	storeErr := r.refreshFromStore(ctx)
	receipt := r.receipt(policy.Plan{ID: planID}, policy.OutcomeUnknown)
	current := r.snapshot()
	if current != nil {
		if revision, found := current.record.FindPlan(planID); found {
			receipt.Outcome = policy.OutcomeApplied
			receipt.Revision = revision
			return receipt, nil
		}
	}
	switch {
	case storeErr != nil:
		receipt.Detail = storeErr.Error()
	case receipt.Current <= base:
		receipt.Detail = "nothing took its place yet; confirm it again: it is applied once at most"
	case current.record.MayHaveEvictedPlan(base):
		receipt.Detail = planEvictedDetail
	default:
		receipt.Outcome = policy.OutcomeNotApplied
		receipt.Detail = "another plan took its place; make a new plan from the same intent"
	}
	return receipt, nil
}

// jitter returns a uniformly distributed duration between 0.5 and 1.5 times
// mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
