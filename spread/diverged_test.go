package spread

import (
	"context"
	"errors"
	"testing"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// interceptedStore calls afterPut between a successful swap and its reply.
type interceptedStore struct {
	store.Conn
	afterPut func()
}

func (o *interceptedStore) Put(ctx context.Context, key string, value []byte, base uint64, lease store.LeaseID) (store.Record, error) {
	record, err := o.Conn.Put(ctx, key, value, base, lease)
	if err == nil && o.afterPut != nil {
		o.afterPut()
	}
	return record, err
}

// After a store has lost revisions, two different records of one revision can
// exist. A swap that succeeds in the store but diverges from the record in
// force must not be reported as not applied.
func TestDivergingSwapReportsUnknownOutcome(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		conn := &interceptedStore{Conn: c.store}
		replicator := c.startNode(ctx, conn)
		mustConfirm(t, replicator, mustPlan(t, replicator, initialIntent()))
		plan := mustPlan(t, replicator, deadlineIntent("ann", 80))
		other, err := policy.EncodeRecord(nextRecord(t, replicator.snapshot().record, "other"))
		if err != nil {
			t.Fatal(err)
		}
		conn.afterPut = func() {
			if err := replicator.Offer(2, other); err != nil {
				t.Error(err)
			}
		}
		receipt, err := replicator.Confirm(ctx, plan)
		if !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, ErrDiverged) || receipt.Outcome != policy.OutcomeUnknown {
			t.Fatalf("got %+v, %v", receipt, err)
		}
	})
}
