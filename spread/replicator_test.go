package spread

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// spreadTime is longer than a revision takes to reach a few nodes.
const spreadTime = 10 * time.Second

func TestConfirmedPlanIsInForceEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 5)
		time.Sleep(spreadTime)
		receipt := mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		if receipt.Outcome != policy.OutcomeApplied || receipt.Revision != 1 {
			t.Fatalf("got %+v", receipt)
		}
		time.Sleep(spreadTime)
		c.wantRevision(1, keepers...)
	})
}

func TestTwoOperatorsAtOnceOneGetsTheConflict(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 2)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		plans := []policy.Plan{
			mustPlan(t, keepers[0], deadlineIntent("ann", 80)),
			mustPlan(t, keepers[1], deadlineIntent("bob", 60)),
		}
		results := make([]error, len(plans))
		var group sync.WaitGroup
		for index := range plans {
			group.Go(func() { _, results[index] = keepers[index].Confirm(ctx, plans[index]) })
		}
		group.Wait()
		if (results[0] == nil) == (results[1] == nil) {
			t.Fatalf("want one winner, got %v and %v", results[0], results[1])
		}
		var conflict *policy.ConflictError
		if !errors.As(errors.Join(results...), &conflict) || len(conflict.Between) != 1 || conflict.Current != 2 {
			t.Fatalf("got %v and %v", results[0], results[1])
		}
	})
}

func TestSamePlanConfirmedOnTwoNodesAppliesOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 2)
		plan := mustPlan(t, keepers[0], initialIntent())
		first := mustConfirm(t, keepers[0], plan)
		second := mustConfirm(t, keepers[1], plan)
		if first.Revision != 1 || second.Revision != 1 || first.AlreadyApplied || !second.AlreadyApplied {
			t.Fatalf("got %+v and %+v", first, second)
		}
	})
}

func TestLostStoreReplyAfterTheChangeIsRecognised(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 1)
		plan := mustPlan(t, keepers[0], initialIntent())
		c.store.SetFaults(store.MemoryFaults{LoseReplies: 1})
		receipt := mustConfirm(t, keepers[0], plan)
		if receipt.Revision != 1 || receipt.AlreadyApplied {
			t.Fatalf("got %+v", receipt)
		}
		c.wantRevision(1, keepers...)
	})
}

// lossyStore loses a number of swaps on their way to the store.
type lossyStore struct {
	store.Conn
	lose int
	// down cuts the store off after the loss.
	down bool
	lost bool
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, base uint64, lease store.LeaseID) (store.Record, error) {
	if l.lose > 0 {
		l.lose--
		l.lost = true
		return store.Record{}, store.ErrOutcomeUnknown
	}
	return l.Conn.Put(ctx, key, value, base, lease)
}

func (l *lossyStore) Get(ctx context.Context, key string) (store.Record, error) {
	if l.lost && l.down {
		return store.Record{}, store.ErrUnavailable
	}
	return l.Conn.Get(ctx, key)
}

func TestSwapLostOnItsWayIsSentAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keeper := c.start(ctx, &lossyStore{Conn: c.store, lose: 2})
		receipt := mustConfirm(t, keeper, mustPlan(t, keeper, initialIntent()))
		if receipt.Revision != 1 {
			t.Fatalf("got %+v", receipt)
		}
	})
}

func TestStoreGoneAfterTheSwapIsUnknownUntilAsked(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		conn := &lossyStore{Conn: c.store, lose: 1, down: true}
		keeper := c.start(ctx, conn)
		plan := mustPlan(t, keeper, initialIntent())
		receipt, err := keeper.Confirm(ctx, plan)
		if !errors.Is(err, ErrOutcomeUnknown) || receipt.Outcome != policy.OutcomeUnknown {
			t.Fatalf("got %+v, %v", receipt, err)
		}
		asked, err := keeper.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeUnknown {
			t.Fatalf("while the store is away: %+v, %v", asked, err)
		}
		conn.down = false
		asked, err = keeper.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeUnknown {
			t.Fatalf("once the store is back, while the base stands: %+v, %v", asked, err)
		}
		mustConfirm(t, keeper, plan)
		asked, err = keeper.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeApplied || asked.Revision != 1 {
			t.Fatalf("after confirming again: %+v, %v", asked, err)
		}
	})
}

func TestOutcomeIsNotAppliedOnceAnotherPlanTookItsPlace(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keeper := c.start(ctx, c.store)
		lost := mustPlan(t, keeper, initialIntent())
		mustConfirm(t, keeper, mustPlan(t, keeper, initialIntent()))
		asked, err := keeper.Outcome(ctx, lost.ID, lost.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeNotApplied {
			t.Fatalf("got %+v, %v", asked, err)
		}
	})
}

func TestPlanOfLongAgoIsNotCalledNotApplied(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keeper := c.start(ctx, c.store)
		old := mustPlan(t, keeper, initialIntent())
		record := policy.Record{}
		for number := range policy.MaximumRecentPlans + 1 {
			record = nextRecord(t, record, fmt.Sprintf("plan-%d", number))
		}
		data, err := policy.EncodeRecord(record)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.store.Put(ctx, policy.StoreKey, data, 0, ""); err != nil {
			t.Fatal(err)
		}
		receipt, err := keeper.Confirm(ctx, old)
		if !errors.Is(err, policy.ErrConflict) || receipt.Outcome != policy.OutcomeUnknown {
			t.Fatalf("got %+v, %v", receipt, err)
		}
	})
}

func nextRecord(t *testing.T, base policy.Record, id string) policy.Record {
	t.Helper()
	plan, err := policy.NewPlan(policy.PlanOptions{ID: id, Base: base, Intent: initialIntent()})
	if err != nil {
		t.Fatal(err)
	}
	decision, err := policy.Decide(base, plan, time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	return decision.Next
}

func TestOutcomeFromAStaleStoreIsNotCalledNotApplied(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		first := c.start(ctx, c.store)
		mustConfirm(t, first, mustPlan(t, first, initialIntent()))
		plan := mustPlan(t, first, deadlineIntent("ann", 80))
		mustConfirm(t, first, plan)
		c.store.SetFaults(store.MemoryFaults{StaleRevisions: 1})
		c.isolate("node-1", true)
		other := c.start(ctx, c.store)
		asked, err := other.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeUnknown {
			t.Fatalf("got %+v, %v", asked, err)
		}
	})
}

func TestStaleStoreReadBringsNothingBack(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 3)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], deadlineIntent("ann", 80)))
		time.Sleep(spreadTime)
		c.store.SetFaults(store.MemoryFaults{StaleRevisions: 1})
		time.Sleep(time.Minute)
		c.wantRevision(2, keepers...)
		plan := mustPlan(t, keepers[1], deadlineIntent("bob", 60))
		if plan.BaseRevision != 2 {
			t.Fatalf("planned on revision %d", plan.BaseRevision)
		}
		receipt, err := keepers[1].Confirm(ctx, plan)
		if !errors.Is(err, ErrStoreBehind) || receipt.Outcome != policy.OutcomeNotApplied {
			t.Fatalf("got %+v, %v", receipt, err)
		}
		if restored := keepers[1].Counters().RestoredRecords; restored != 0 {
			t.Fatal("a stale read was taken for a loss")
		}
		c.store.SetFaults(store.MemoryFaults{})
		mustConfirm(t, keepers[1], plan)
		time.Sleep(spreadTime)
		c.wantRevision(3, keepers...)
	})
}

func TestStoreThatLostTheRecordGetsItBack(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		before := c.start(ctx, c.store)
		mustConfirm(t, before, mustPlan(t, before, initialIntent()))
		mustConfirm(t, before, mustPlan(t, before, deadlineIntent("ann", 80)))
		revision, record := before.Record()

		empty := store.NewMemory(store.MemoryOptions{})
		keeper := newCluster(t).start(ctx, empty)
		keeper.options.NewPlanID = func() string { return "after-the-loss" }
		if err := keeper.Offer(revision, record); err != nil {
			t.Fatal(err)
		}
		receipt := mustConfirm(t, keeper, mustPlan(t, keeper, deadlineIntent("bob", 60)))
		if receipt.Revision != 3 || keeper.Counters().RestoredRecords != 1 {
			t.Fatalf("got %+v, %+v", receipt, keeper.Counters())
		}
	})
}

func TestNodeCutOffTheStoreStaysCurrentByPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 3)
		conn := &gatedStore{Conn: c.store, cut: true}
		apart := c.start(ctx, conn)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		time.Sleep(spreadTime)
		c.wantRevision(1, apart)
		mustConfirm(t, keepers[1], mustPlan(t, keepers[1], deadlineIntent("ann", 80)))
		time.Sleep(spreadTime)
		c.wantRevision(2, apart)
	})
}

func TestFreshNodeInAnOutageAsksItsPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 3)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		time.Sleep(spreadTime)
		c.store.SetFaults(store.MemoryFaults{Down: true})
		fresh := c.start(ctx, c.store)
		if _, _, ok := fresh.Current(); ok {
			t.Fatal("a fresh node must know no configuration")
		}
		time.Sleep(spreadTime)
		c.wantRevision(1, fresh)
	})
}

func TestWatcherThatThawsTakesOnlyHigherRevisions(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 3)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		time.Sleep(spreadTime)
		conn := &gatedStore{Conn: c.store}
		frozen := c.start(ctx, conn)
		time.Sleep(spreadTime)
		_, old := frozen.Record()
		conn.setCut(true)
		c.isolate("node-3", true)
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], deadlineIntent("ann", 80)))
		time.Sleep(spreadTime)
		c.wantRevision(1, frozen)
		for _, keeper := range keepers[:3] {
			if err := keeper.Offer(1, old); err != nil {
				t.Fatal(err)
			}
		}
		c.wantRevision(2, keepers[:3]...)
		conn.setCut(false)
		c.isolate("node-3", false)
		time.Sleep(spreadTime)
		c.wantRevision(2, c.all()...)
	})
}

func TestSubscribersSeeGrowingRevisions(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		keepers := c.startMany(ctx, 2)
		var mutex sync.Mutex
		seen := []policy.Revision{}
		keepers[1].Subscribe(func(revision policy.Revision, _ policy.Config) {
			mutex.Lock()
			defer mutex.Unlock()
			seen = append(seen, revision)
		})
		mustConfirm(t, keepers[0], mustPlan(t, keepers[0], initialIntent()))
		for extra := range 8 {
			mustConfirm(t, keepers[0], mustPlan(t, keepers[0], deadlineIntent("ann", policy.Milliseconds(200+extra))))
		}
		time.Sleep(spreadTime)
		mutex.Lock()
		defer mutex.Unlock()
		for index := 1; index < len(seen); index++ {
			if seen[index] <= seen[index-1] {
				t.Fatalf("revisions went %v", seen)
			}
		}
		if len(seen) == 0 || seen[len(seen)-1] != 9 {
			t.Fatalf("revisions went %v, want 9 last", seen)
		}
	})
}

func TestOfferRefuses(t *testing.T) {
	keeper := NewReplicator(ReplicatorOptions{Core: CoreOptions{Self: "a"}, Logger: zerolog.Nop()})
	first := nextRecord(t, policy.Record{}, "p")
	data, err := policy.EncodeRecord(first)
	if err != nil {
		t.Fatal(err)
	}
	other := first
	other.History[0].Author = "bob"
	different, err := policy.EncodeRecord(other)
	if err != nil {
		t.Fatal(err)
	}
	if err := keeper.Offer(2, data); !errors.Is(err, ErrRejected) {
		t.Fatalf("a record of another revision: %v", err)
	}
	if err := keeper.Offer(1, data[:len(data)-1]); !errors.Is(err, ErrRejected) {
		t.Fatalf("a cut record: %v", err)
	}
	if err := keeper.Offer(1, data); err != nil {
		t.Fatal(err)
	}
	if err := keeper.Offer(1, different); !errors.Is(err, ErrDiverged) {
		t.Fatalf("other bytes of the same revision: %v", err)
	}
	if _, record := keeper.Record(); string(record) != string(data) {
		t.Fatal("the record in force changed")
	}
}
