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

// interleaving plays one list of operations on a few nodes.
type interleaving struct {
	store   *store.Memory
	keepers []*Replicator
	// records holds every record ever seen, for late and crossed offers.
	records []policy.Revision
	bytes   map[policy.Revision][]byte
	plans   []policy.Plan
	highest []policy.Revision
}

const (
	operationNodes = 3
	operationKinds = 7
)

func newInterleaving() *interleaving {
	play := &interleaving{
		store:   store.NewMemory(store.MemoryOptions{}),
		bytes:   map[policy.Revision][]byte{},
		highest: make([]policy.Revision, operationNodes),
	}
	for index := range operationNodes {
		plans := 0
		id := fmt.Sprintf("node-%d", index)
		play.keepers = append(play.keepers, NewReplicator(ReplicatorOptions{
			Core:      CoreOptions{Self: id, Seed: uint64(index)},
			Store:     play.store,
			Logger:    zerolog.Nop(),
			NewPlanID: func() string { plans++; return fmt.Sprintf("%s-%d", id, plans) },
		}))
	}
	return play
}

// operate plays one operation; errors are part of the game.
func (p *interleaving) operate(operation int) {
	ctx := context.Background()
	kind := operation % operationKinds
	keeper := p.keepers[operation/operationKinds%operationNodes]
	pick := operation / operationKinds / operationNodes
	switch kind {
	case 0:
		intent := deadlineIntent("ann", policy.Milliseconds(100+pick))
		if pick%3 == 0 {
			intent = initialIntent()
		}
		if plan, err := keeper.Plan(ctx, intent); err == nil {
			p.plans = append(p.plans, plan)
		}
	case 1, 2:
		if len(p.plans) > 0 {
			_, _ = keeper.Confirm(ctx, p.plans[pick%len(p.plans)])
		}
	case 3:
		if len(p.records) > 0 {
			revision := p.records[pick%len(p.records)]
			_ = keeper.Offer(revision, p.offered(revision, pick%2 == 0))
		}
	case 4:
		_ = keeper.refresh(ctx)
	case 5:
		p.store.SetFaults(store.MemoryFaults{StaleRevisions: pick % 3, LoseReplies: pick / 3 % 3})
	case 6:
		p.store.SetFaults(store.MemoryFaults{Down: pick%4 == 0})
	}
}

// offered is the delta to a record, or the record.
func (p *interleaving) offered(revision policy.Revision, delta bool) []byte {
	if !delta {
		return p.bytes[revision]
	}
	known, err := newState(p.bytes[revision])
	if err != nil || known.delta == nil {
		return p.bytes[revision]
	}
	return known.delta
}

// check judges the state after an operation.
func (p *interleaving) check() error {
	for index, keeper := range p.keepers {
		revision, data := keeper.Record()
		if revision < p.highest[index] {
			return fmt.Errorf("node %d went from revision %d back to %d", index, p.highest[index], revision)
		}
		p.highest[index] = revision
		if revision == 0 {
			continue
		}
		known, found := p.bytes[revision]
		if !found {
			p.bytes[revision] = data
			p.records = append(p.records, revision)
			continue
		}
		if sha256.Sum256(known) != sha256.Sum256(data) {
			return fmt.Errorf("two records of revision %d", revision)
		}
	}
	return nil
}

// checkPlans judges that no plan made two revisions.
func (p *interleaving) checkPlans() error {
	made := map[string]policy.Revision{}
	for _, revision := range p.records {
		record, err := policy.DecodeRecord(p.bytes[revision])
		if err != nil {
			return err
		}
		for _, applied := range record.RecentPlans {
			if other, found := made[applied.ID]; found && other != applied.Revision {
				return fmt.Errorf("plan %s made revisions %d and %d", applied.ID, other, applied.Revision)
			}
			made[applied.ID] = applied.Revision
		}
	}
	return nil
}

func TestNoInterleavingBringsARevisionBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(20261202)
		parameters.MinSuccessfulTests = 60
		properties := gopter.NewProperties(parameters)
		properties.Property("revisions only grow and equal ones have equal bytes", prop.ForAll(
			func(operations []int) (bool, error) {
				play := newInterleaving()
				for _, operation := range operations {
					play.operate(operation)
					time.Sleep(time.Millisecond)
					if err := play.check(); err != nil {
						return false, err
					}
				}
				err := play.checkPlans()
				return err == nil, err
			},
			gen.SliceOfN(60, gen.IntRange(0, operationKinds*operationNodes*12-1)),
		))
		properties.TestingRun(t)
	})
}
