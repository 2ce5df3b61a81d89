package rollout

import (
	"context"
	"testing"
	"time"

	"github.com/banksail/banksail/policy"
)

// pushed adds up the pushes of all keepers.
func (c *cluster) pushed() (deltas, records uint64) {
	for _, keeper := range c.all() {
		counters := keeper.Counters()
		deltas += counters.DeltaPushes
		records += counters.RecordPushes
	}
	return deltas, records
}

func TestSmallChangesSpreadAsDeltas(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 8)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		time.Sleep(spreadTime)
		deltasBefore, recordsBefore := c.pushed()
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], deadlineIntent("ann", 80)))
		time.Sleep(spreadTime)
		c.wantRevision(2, keepers...)
		deltas, records := c.pushed()
		if deltas == deltasBefore || records != recordsBefore {
			t.Fatalf("%d deltas and %d records were pushed", deltas-deltasBefore, records-recordsBefore)
		}
	})
}

func TestNodeThatMissedARevisionGetsTheWholeRecord(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		source := c.start(ctx, c.store)
		c.start(ctx, &gatedStore{Conn: c.store, cut: true})
		c.isolate("node-1", true)
		mustConfirm(t, source, mustPlan(t, source, initialIntent()))
		mustConfirm(t, source, mustPlan(t, source, deadlineIntent("ann", 80)))
		time.Sleep(spreadTime)
		c.isolate("node-1", false)
		before := source.Counters()
		revision, err := source.pushState(ctx, "node-1", source.snapshot())
		if err != nil || revision != 2 {
			t.Fatalf("revision %d in force after the push, %v", revision, err)
		}
		counters := source.Counters()
		if counters.DeltaPushes != before.DeltaPushes+1 || counters.RecordPushes != before.RecordPushes+1 {
			t.Fatalf("got %+v, then %+v", before, counters)
		}
	})
}

func TestDeltaOfAnotherHistoryIsNotTaken(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		source := c.start(ctx, c.store)
		mustConfirm(t, source, mustPlan(t, source, initialIntent()))
		mustConfirm(t, source, mustPlan(t, source, deadlineIntent("ann", 80)))
		delta := source.snapshot().delta

		other := newCluster(t)
		stranger := other.start(ctx, other.store)
		mustConfirm(t, stranger, mustPlan(t, stranger, deadlineIntent("bob", 60)))
		if err := stranger.Offer(2, delta); err != nil {
			t.Fatal(err)
		}
		if revision := stranger.Revision(); revision != 1 || stranger.Counters().DeltaMisfits != 1 {
			t.Fatalf("revision %d, %+v", revision, stranger.Counters())
		}
		if err := stranger.Offer(2, append([]byte(`{"delta":`), "1}"...)); err == nil {
			t.Fatal("a malformed delta was taken")
		}
		c.wantRevision(policy.Revision(2), source)
	})
}
