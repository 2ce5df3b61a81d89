package spread

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// cluster joins keepers without a network; it runs in a synctest bubble.
type cluster struct {
	t       *testing.T
	store   *store.Memory
	keepers []*Replicator

	mutex sync.Mutex
	// isolated nodes reach no peer and are reached by none.
	isolated map[string]bool
}

// gatedStore cuts one node off the store.
type gatedStore struct {
	store.Conn
	mutex sync.Mutex
	cut   bool
}

func (g *gatedStore) setCut(cut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.cut = cut
}

func (g *gatedStore) isCut() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cut
}

func (g *gatedStore) Get(ctx context.Context, key string) (store.Record, error) {
	if g.isCut() {
		return store.Record{}, store.ErrUnavailable
	}
	return g.Conn.Get(ctx, key)
}

func (g *gatedStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Record, error) {
	if g.isCut() {
		return store.Record{}, store.ErrUnavailable
	}
	record, err := g.Conn.Watch(ctx, key, after, wait)
	if g.isCut() {
		return store.Record{}, store.ErrUnavailable
	}
	return record, err
}

func (g *gatedStore) Put(ctx context.Context, key string, value []byte, base uint64, lease store.LeaseID) (store.Record, error) {
	if g.isCut() {
		return store.Record{}, store.ErrUnavailable
	}
	return g.Conn.Put(ctx, key, value, base, lease)
}

// nodePeers is one node's view of the cluster.
type nodePeers struct {
	cluster *cluster
	self    string
}

func (p nodePeers) Members() []Member {
	members := []Member{}
	for _, keeper := range p.cluster.all() {
		members = append(members, Member{ID: keeper.options.Core.Self, Zone: keeper.options.Core.Zone})
	}
	return members
}

var errCut = errors.New("cut off")

func (p nodePeers) reach(id string) (*Replicator, error) {
	p.cluster.mutex.Lock()
	defer p.cluster.mutex.Unlock()
	if p.cluster.isolated[id] || p.cluster.isolated[p.self] {
		return nil, errCut
	}
	for _, keeper := range p.cluster.keepers {
		if keeper.options.Core.Self == id {
			return keeper, nil
		}
	}
	return nil, errCut
}

func (p nodePeers) Fetch(_ context.Context, member string, above policy.Revision) (policy.Revision, []byte, error) {
	keeper, err := p.reach(member)
	if err != nil {
		return 0, nil, err
	}
	revision, record := keeper.RecordAbove(above)
	return revision, record, nil
}

func (p nodePeers) Push(_ context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error) {
	keeper, err := p.reach(member)
	if err != nil {
		return 0, err
	}
	err = keeper.Offer(revision, record)
	return keeper.Revision(), err
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, store: store.NewMemory(store.MemoryOptions{}), isolated: map[string]bool{}}
}

func (c *cluster) all() []*Replicator {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*Replicator{}, c.keepers...)
}

func (c *cluster) isolate(id string, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[id] = isolated
}

// start runs a keeper until the test's context ends.
func (c *cluster) start(ctx context.Context, conn store.Conn) *Replicator {
	c.mutex.Lock()
	number := len(c.keepers)
	id := fmt.Sprintf("node-%d", number)
	plans := 0
	keeper := NewReplicator(ReplicatorOptions{
		Core:   CoreOptions{Self: id, Zone: fmt.Sprintf("zone-%d", number%3), Seed: uint64(number)},
		Store:  conn,
		Peers:  nodePeers{cluster: c, self: id},
		Logger: zerolog.Nop(),
		NewPlanID: func() string {
			plans++
			return fmt.Sprintf("%s-plan-%d", id, plans)
		},
	})
	c.keepers = append(c.keepers, keeper)
	c.mutex.Unlock()
	go func() { _ = keeper.Run(ctx) }()
	return keeper
}

func (c *cluster) startMany(ctx context.Context, count int) []*Replicator {
	for range count {
		c.start(ctx, c.store)
	}
	return c.keepers
}

func (c *cluster) wantRevision(want policy.Revision, keepers ...*Replicator) {
	c.t.Helper()
	for _, keeper := range keepers {
		if got := keeper.Revision(); got != want {
			c.t.Errorf("%s is at revision %d, want %d", keeper.options.Core.Self, got, want)
		}
	}
}

func testConfig() policy.Config {
	return policy.Config{
		Classes: []policy.Class{{Name: "urgent", Order: 0, Deadline: 100, MinimumCoverage: 0.5}},
		Services: []policy.Service{{
			Name:     "search",
			KeySpace: coverage.Range{Start: 0, End: 100},
			Groups: []policy.Group{{
				Name:    "a",
				Range:   coverage.Range{Start: 0, End: 100},
				Servers: []policy.Server{{ID: "a1", Address: "10.0.0.1:8080", Zone: "north", Slots: 2, Connections: 70}},
			}},
		}},
	}
}

func initialIntent() policy.Intent {
	config := testConfig()
	return policy.Intent{Author: "ann", Changes: []policy.Change{{Replace: &config}}}
}

func deadlineIntent(author string, deadline policy.Milliseconds) policy.Intent {
	class := testConfig().Classes[0]
	class.Deadline = deadline
	return policy.Intent{Author: author, Changes: []policy.Change{{SetClass: &class}}}
}

func mustPlan(t *testing.T, keeper *Replicator, intent policy.Intent) policy.Plan {
	t.Helper()
	plan, err := keeper.Plan(t.Context(), intent)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	return plan
}

func mustConfirm(t *testing.T, keeper *Replicator, plan policy.Plan) policy.Receipt {
	t.Helper()
	receipt, err := keeper.Confirm(t.Context(), plan)
	if err != nil {
		t.Fatalf("confirm: %v", err)
	}
	return receipt
}

// inBubble runs a test on a virtual clock; its keepers stop at the end.
func inBubble(t *testing.T, run func(t *testing.T, ctx context.Context, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		run(t, ctx, newCluster(t))
	})
}
