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

// propagationTime exceeds the time that a revision takes to reach a few nodes.
const propagationTime = 10 * time.Second

func TestConfirmedPlanIsInForceEverywhere(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 5)
		time.Sleep(propagationTime)
		receipt := mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		if receipt.Outcome != policy.OutcomeApplied || receipt.Revision != 1 {
			t.Fatalf("got %+v", receipt)
		}
		time.Sleep(propagationTime)
		c.wantRevision(1, replicators...)
	})
}

func TestOneOfTwoConcurrentPlansConflicts(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 2)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		plans := []policy.Plan{
			mustPlan(t, replicators[0], deadlineIntent("ann", 80)),
			mustPlan(t, replicators[1], deadlineIntent("bob", 60)),
		}
		results := make([]error, len(plans))
		var group sync.WaitGroup
		for index := range plans {
			group.Go(func() { _, results[index] = replicators[index].Confirm(ctx, plans[index]) })
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
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 2)
		plan := mustPlan(t, replicators[0], initialIntent())
		first := mustConfirm(t, replicators[0], plan)
		second := mustConfirm(t, replicators[1], plan)
		if first.Revision != 1 || second.Revision != 1 || first.AlreadyApplied || !second.AlreadyApplied {
			t.Fatalf("got %+v and %+v", first, second)
		}
	})
}

func TestConfirmDetectsAppliedPlanAfterLostReply(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 1)
		plan := mustPlan(t, replicators[0], initialIntent())
		c.store.SetFaults(store.MemoryFaults{LoseReplies: 1})
		receipt := mustConfirm(t, replicators[0], plan)
		if receipt.Revision != 1 || receipt.AlreadyApplied {
			t.Fatalf("got %+v", receipt)
		}
		c.wantRevision(1, replicators...)
	})
}

// lossyStore drops a number of swaps before they reach the store.
type lossyStore struct {
	store.Conn
	putsToLose int
	// unavailableAfterLoss makes reads fail once a swap has been dropped.
	unavailableAfterLoss bool
	hasLostPut           bool
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, base uint64, lease store.LeaseID) (store.Record, error) {
	if l.putsToLose > 0 {
		l.putsToLose--
		l.hasLostPut = true
		return store.Record{}, store.ErrOutcomeUnknown
	}
	return l.Conn.Put(ctx, key, value, base, lease)
}

func (l *lossyStore) Get(ctx context.Context, key string) (store.Record, error) {
	if l.hasLostPut && l.unavailableAfterLoss {
		return store.Record{}, store.ErrUnavailable
	}
	return l.Conn.Get(ctx, key)
}

func TestLostSwapIsRetried(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicator := c.startNode(ctx, &lossyStore{Conn: c.store, putsToLose: 2})
		receipt := mustConfirm(t, replicator, mustPlan(t, replicator, initialIntent()))
		if receipt.Revision != 1 {
			t.Fatalf("got %+v", receipt)
		}
	})
}

func TestOutcomeIsUnknownWhileStoreIsUnavailable(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		conn := &lossyStore{Conn: c.store, putsToLose: 1, unavailableAfterLoss: true}
		replicator := c.startNode(ctx, conn)
		plan := mustPlan(t, replicator, initialIntent())
		receipt, err := replicator.Confirm(ctx, plan)
		if !errors.Is(err, ErrOutcomeUnknown) || receipt.Outcome != policy.OutcomeUnknown {
			t.Fatalf("got %+v, %v", receipt, err)
		}
		asked, err := replicator.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeUnknown {
			t.Fatalf("while the store is unavailable: %+v, %v", asked, err)
		}
		conn.unavailableAfterLoss = false
		asked, err = replicator.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeUnknown {
			t.Fatalf("with the store available and the base unchanged: %+v, %v", asked, err)
		}
		mustConfirm(t, replicator, plan)
		asked, err = replicator.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeApplied || asked.Revision != 1 {
			t.Fatalf("after confirming again: %+v, %v", asked, err)
		}
	})
}

func TestOutcomeIsNotAppliedAfterCompetingPlan(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicator := c.startNode(ctx, c.store)
		lost := mustPlan(t, replicator, initialIntent())
		mustConfirm(t, replicator, mustPlan(t, replicator, initialIntent()))
		asked, err := replicator.Outcome(ctx, lost.ID, lost.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeNotApplied {
			t.Fatalf("got %+v, %v", asked, err)
		}
	})
}

func TestEvictedPlanReportsUnknownOutcome(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicator := c.startNode(ctx, c.store)
		old := mustPlan(t, replicator, initialIntent())
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
		receipt, err := replicator.Confirm(ctx, old)
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

func TestOutcomeFromStaleStoreIsUnknown(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		first := c.startNode(ctx, c.store)
		mustConfirm(t, first, mustPlan(t, first, initialIntent()))
		plan := mustPlan(t, first, deadlineIntent("ann", 80))
		mustConfirm(t, first, plan)
		c.store.SetFaults(store.MemoryFaults{StaleRevisions: 1})
		c.isolate("node-1", true)
		other := c.startNode(ctx, c.store)
		asked, err := other.Outcome(ctx, plan.ID, plan.BaseRevision)
		if err != nil || asked.Outcome != policy.OutcomeUnknown {
			t.Fatalf("got %+v, %v", asked, err)
		}
	})
}

func TestStaleStoreReadDoesNotRevertRevision(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 3)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], deadlineIntent("ann", 80)))
		time.Sleep(propagationTime)
		c.store.SetFaults(store.MemoryFaults{StaleRevisions: 1})
		time.Sleep(time.Minute)
		c.wantRevision(2, replicators...)
		plan := mustPlan(t, replicators[1], deadlineIntent("bob", 60))
		if plan.BaseRevision != 2 {
			t.Fatalf("planned on revision %d, want 2", plan.BaseRevision)
		}
		receipt, err := replicators[1].Confirm(ctx, plan)
		if !errors.Is(err, ErrStoreBehind) || receipt.Outcome != policy.OutcomeNotApplied {
			t.Fatalf("got %+v, %v", receipt, err)
		}
		if restored := replicators[1].Counters().RestoredRecords; restored != 0 {
			t.Fatal("a stale read was treated as a lost record")
		}
		c.store.SetFaults(store.MemoryFaults{})
		mustConfirm(t, replicators[1], plan)
		time.Sleep(propagationTime)
		c.wantRevision(3, replicators...)
	})
}

func TestRecordLostByStoreIsRestored(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		before := c.startNode(ctx, c.store)
		mustConfirm(t, before, mustPlan(t, before, initialIntent()))
		mustConfirm(t, before, mustPlan(t, before, deadlineIntent("ann", 80)))
		revision, record := before.Record()

		empty := store.NewMemory(store.MemoryOptions{})
		replicator := newCluster(t).startNode(ctx, empty)
		replicator.options.NewPlanID = func() string { return "after-the-loss" }
		if err := replicator.Offer(revision, record); err != nil {
			t.Fatal(err)
		}
		receipt := mustConfirm(t, replicator, mustPlan(t, replicator, deadlineIntent("bob", 60)))
		if receipt.Revision != 3 || replicator.Counters().RestoredRecords != 1 {
			t.Fatalf("got %+v, %+v", receipt, replicator.Counters())
		}
	})
}

func TestNodeWithoutStoreStaysCurrentThroughPeers(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 3)
		conn := &partitionedStore{Conn: c.store, partitioned: true}
		disconnected := c.startNode(ctx, conn)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		time.Sleep(propagationTime)
		c.wantRevision(1, disconnected)
		mustConfirm(t, replicators[1], mustPlan(t, replicators[1], deadlineIntent("ann", 80)))
		time.Sleep(propagationTime)
		c.wantRevision(2, disconnected)
	})
}

func TestNewNodeFetchesFromPeersDuringStoreOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 3)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		time.Sleep(propagationTime)
		c.store.SetFaults(store.MemoryFaults{Down: true})
		newNode := c.startNode(ctx, c.store)
		if _, _, ok := newNode.Current(); ok {
			t.Fatal("a new node has a configuration before any fetch")
		}
		time.Sleep(propagationTime)
		c.wantRevision(1, newNode)
	})
}

func TestResumedWatcherAdoptsOnlyHigherRevisions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 3)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		time.Sleep(propagationTime)
		conn := &partitionedStore{Conn: c.store}
		paused := c.startNode(ctx, conn)
		time.Sleep(propagationTime)
		_, old := paused.Record()
		conn.setPartitioned(true)
		c.isolate("node-3", true)
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], deadlineIntent("ann", 80)))
		time.Sleep(propagationTime)
		c.wantRevision(1, paused)
		for _, replicator := range replicators[:3] {
			if err := replicator.Offer(1, old); err != nil {
				t.Fatal(err)
			}
		}
		c.wantRevision(2, replicators[:3]...)
		conn.setPartitioned(false)
		c.isolate("node-3", false)
		time.Sleep(propagationTime)
		c.wantRevision(2, c.allReplicators()...)
	})
}

func TestSubscribersSeeIncreasingRevisions(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, c *cluster) {
		replicators := c.startNodes(ctx, 2)
		var mutex sync.Mutex
		seen := []policy.Revision{}
		replicators[1].Subscribe(func(revision policy.Revision, _ policy.Config) {
			mutex.Lock()
			defer mutex.Unlock()
			seen = append(seen, revision)
		})
		mustConfirm(t, replicators[0], mustPlan(t, replicators[0], initialIntent()))
		for extra := range 8 {
			mustConfirm(t, replicators[0], mustPlan(t, replicators[0], deadlineIntent("ann", policy.Milliseconds(200+extra))))
		}
		time.Sleep(propagationTime)
		mutex.Lock()
		defer mutex.Unlock()
		for index := 1; index < len(seen); index++ {
			if seen[index] <= seen[index-1] {
				t.Fatalf("subscriber received revisions %v", seen)
			}
		}
		if len(seen) == 0 || seen[len(seen)-1] != 9 {
			t.Fatalf("subscriber received revisions %v, want 9 last", seen)
		}
	})
}

func TestOfferRejectsInvalidRecords(t *testing.T) {
	replicator := NewReplicator(ReplicatorOptions{Core: CoreOptions{Self: "a"}, Logger: zerolog.Nop()})
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
	if err := replicator.Offer(2, data); !errors.Is(err, ErrRejected) {
		t.Fatalf("record offered with the wrong revision: %v", err)
	}
	if err := replicator.Offer(1, data[:len(data)-1]); !errors.Is(err, ErrRejected) {
		t.Fatalf("truncated record: %v", err)
	}
	if err := replicator.Offer(1, data); err != nil {
		t.Fatal(err)
	}
	if err := replicator.Offer(1, different); !errors.Is(err, ErrDiverged) {
		t.Fatalf("different record of the same revision: %v", err)
	}
	if _, record := replicator.Record(); string(record) != string(data) {
		t.Fatal("the record in force changed")
	}
}
