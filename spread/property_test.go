package spread

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// interleaving applies a sequence of operations to a few nodes.
type interleaving struct {
	store       *store.Memory
	replicators []*Replicator
	// revisions lists every revision that has been in force on a node, for late
	// and out-of-order offers.
	revisions        []policy.Revision
	recordBytes      map[policy.Revision][]byte
	plans            []policy.Plan
	highestRevisions []policy.Revision
}

const (
	operationNodes = 3
	operationKinds = 7
)

func newInterleaving() *interleaving {
	run := &interleaving{
		store:            store.NewMemory(store.MemoryOptions{}),
		recordBytes:      map[policy.Revision][]byte{},
		highestRevisions: make([]policy.Revision, operationNodes),
	}
	for index := range operationNodes {
		plans := 0
		id := fmt.Sprintf("node-%d", index)
		run.replicators = append(run.replicators, NewReplicator(ReplicatorOptions{
			Core:      CoreOptions{Self: id, Seed: uint64(index)},
			Store:     run.store,
			Logger:    zerolog.Nop(),
			NewPlanID: func() string { plans++; return fmt.Sprintf("%s-%d", id, plans) },
		}))
	}
	return run
}

// apply executes one operation. Errors are expected and ignored; checkRevisions
// verifies the result.
func (p *interleaving) apply(operation int) {
	ctx := context.Background()
	kind := operation % operationKinds
	replicator := p.replicators[operation/operationKinds%operationNodes]
	pick := operation / operationKinds / operationNodes
	switch kind {
	case 0:
		intent := deadlineIntent("ann", policy.Milliseconds(100+pick))
		if pick%3 == 0 {
			intent = initialIntent()
		}
		if plan, err := replicator.Plan(ctx, intent); err == nil {
			p.plans = append(p.plans, plan)
		}
	case 1, 2:
		if len(p.plans) > 0 {
			_, _ = replicator.Confirm(ctx, p.plans[pick%len(p.plans)])
		}
	case 3:
		if len(p.revisions) > 0 {
			revision := p.revisions[pick%len(p.revisions)]
			_ = replicator.Offer(revision, p.encodedRecord(revision, pick%2 == 0))
		}
	case 4:
		_ = replicator.refreshFromStore(ctx)
	case 5:
		p.store.SetFaults(store.MemoryFaults{StaleRevisions: pick % 3, LoseReplies: pick / 3 % 3})
	case 6:
		p.store.SetFaults(store.MemoryFaults{Down: pick%4 == 0})
	}
}

// encodedRecord returns the encoded record, or the delta to it if delta is set
// and there is one.
func (p *interleaving) encodedRecord(revision policy.Revision, delta bool) []byte {
	if !delta {
		return p.recordBytes[revision]
	}
	known, err := decodeState(p.recordBytes[revision])
	if err != nil || known.delta == nil {
		return p.recordBytes[revision]
	}
	return known.delta
}

// checkRevisions verifies that no node has gone back to a lower revision and
// that equal revisions have equal bytes.
func (p *interleaving) checkRevisions() error {
	for index, replicator := range p.replicators {
		revision, data := replicator.Record()
		if revision < p.highestRevisions[index] {
			return fmt.Errorf("node %d went from revision %d back to %d", index, p.highestRevisions[index], revision)
		}
		p.highestRevisions[index] = revision
		if revision == 0 {
			continue
		}
		known, found := p.recordBytes[revision]
		if !found {
			p.recordBytes[revision] = data
			p.revisions = append(p.revisions, revision)
			continue
		}
		if sha256.Sum256(known) != sha256.Sum256(data) {
			return fmt.Errorf("two different records of revision %d", revision)
		}
	}
	return nil
}

// checkPlans verifies that no plan has created two revisions.
func (p *interleaving) checkPlans() error {
	made := map[string]policy.Revision{}
	for _, revision := range p.revisions {
		record, err := policy.DecodeRecord(p.recordBytes[revision])
		if err != nil {
			return err
		}
		for _, applied := range record.RecentPlans {
			if other, found := made[applied.ID]; found && other != applied.Revision {
				return fmt.Errorf("plan %s created revisions %d and %d", applied.ID, other, applied.Revision)
			}
			made[applied.ID] = applied.Revision
		}
	}
	return nil
}

func TestNoInterleavingRevertsARevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(20261202)
		parameters.MinSuccessfulTests = 60
		properties := gopter.NewProperties(parameters)
		properties.Property("revisions only grow and equal ones have equal bytes", prop.ForAll(
			func(operations []int) (bool, error) {
				run := newInterleaving()
				for _, operation := range operations {
					run.apply(operation)
					time.Sleep(time.Millisecond)
					if err := run.checkRevisions(); err != nil {
						return false, err
					}
				}
				err := run.checkPlans()
				return err == nil, err
			},
			gen.SliceOfN(60, gen.IntRange(0, operationKinds*operationNodes*12-1)),
		))
		properties.TestingRun(t)
	})
}
