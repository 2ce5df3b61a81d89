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

// cluster connects replicators without a network. It must run in a synctest
// bubble.
type cluster struct {
	t           *testing.T
	store       *store.Memory
	replicators []*Replicator

	mutex sync.Mutex
	// isolated nodes cannot reach any peer, nor be reached by one.
	isolated map[string]bool
}

// partitionedStore is one node's connection to the store, which can be
// interrupted.
type partitionedStore struct {
	store.Conn
	mutex       sync.Mutex
	partitioned bool
}

func (g *partitionedStore) setPartitioned(partitioned bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.partitioned = partitioned
}

func (g *partitionedStore) isPartitioned() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.partitioned
}

func (g *partitionedStore) Get(ctx context.Context, key string) (store.Record, error) {
	if g.isPartitioned() {
		return store.Record{}, store.ErrUnavailable
	}
	return g.Conn.Get(ctx, key)
}

func (g *partitionedStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Record, error) {
	if g.isPartitioned() {
		return store.Record{}, store.ErrUnavailable
	}
	record, err := g.Conn.Watch(ctx, key, after, wait)
	if g.isPartitioned() {
		return store.Record{}, store.ErrUnavailable
	}
	return record, err
}

func (g *partitionedStore) Put(ctx context.Context, key string, value []byte, base uint64, lease store.LeaseID) (store.Record, error) {
	if g.isPartitioned() {
		return store.Record{}, store.ErrUnavailable
	}
	return g.Conn.Put(ctx, key, value, base, lease)
}

// nodePeers gives one node access to the others.
type nodePeers struct {
	cluster *cluster
	self    string
}

func (p nodePeers) Members() []Member {
	members := []Member{}
	for _, replicator := range p.cluster.allReplicators() {
		members = append(members, Member{ID: replicator.options.Core.Self, Zone: replicator.options.Core.Zone})
	}
	return members
}

var errUnreachable = errors.New("cut off")

func (p nodePeers) lookup(id string) (*Replicator, error) {
	p.cluster.mutex.Lock()
	defer p.cluster.mutex.Unlock()
	if p.cluster.isolated[id] || p.cluster.isolated[p.self] {
		return nil, errUnreachable
	}
	for _, replicator := range p.cluster.replicators {
		if replicator.options.Core.Self == id {
			return replicator, nil
		}
	}
	return nil, errUnreachable
}

func (p nodePeers) Fetch(_ context.Context, member string, above policy.Revision) (policy.Revision, []byte, error) {
	replicator, err := p.lookup(member)
	if err != nil {
		return 0, nil, err
	}
	revision, record := replicator.RecordAbove(above)
	return revision, record, nil
}

func (p nodePeers) Push(_ context.Context, member string, revision policy.Revision, record []byte) (policy.Revision, error) {
	replicator, err := p.lookup(member)
	if err != nil {
		return 0, err
	}
	err = replicator.Offer(revision, record)
	return replicator.Revision(), err
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, store: store.NewMemory(store.MemoryOptions{}), isolated: map[string]bool{}}
}

func (c *cluster) allReplicators() []*Replicator {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]*Replicator{}, c.replicators...)
}

func (c *cluster) isolate(id string, isolated bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[id] = isolated
}

// startNode runs a replicator until ctx is cancelled.
func (c *cluster) startNode(ctx context.Context, conn store.Conn) *Replicator {
	c.mutex.Lock()
	number := len(c.replicators)
	id := fmt.Sprintf("node-%d", number)
	plans := 0
	replicator := NewReplicator(ReplicatorOptions{
		Core:   CoreOptions{Self: id, Zone: fmt.Sprintf("zone-%d", number%3), Seed: uint64(number)},
		Store:  conn,
		Peers:  nodePeers{cluster: c, self: id},
		Logger: zerolog.Nop(),
		NewPlanID: func() string {
			plans++
			return fmt.Sprintf("%s-plan-%d", id, plans)
		},
	})
	c.replicators = append(c.replicators, replicator)
	c.mutex.Unlock()
	go func() { _ = replicator.Run(ctx) }()
	return replicator
}

func (c *cluster) startNodes(ctx context.Context, count int) []*Replicator {
	for range count {
		c.startNode(ctx, c.store)
	}
	return c.replicators
}

func (c *cluster) wantRevision(want policy.Revision, replicators ...*Replicator) {
	c.t.Helper()
	for _, replicator := range replicators {
		if got := replicator.Revision(); got != want {
			c.t.Errorf("%s is at revision %d, want %d", replicator.options.Core.Self, got, want)
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

func mustPlan(t *testing.T, replicator *Replicator, intent policy.Intent) policy.Plan {
	t.Helper()
	plan, err := replicator.Plan(t.Context(), intent)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	return plan
}

func mustConfirm(t *testing.T, replicator *Replicator, plan policy.Plan) policy.Receipt {
	t.Helper()
	receipt, err := replicator.Confirm(t.Context(), plan)
	if err != nil {
		t.Fatalf("confirm: %v", err)
	}
	return receipt
}

// runInBubble runs a test with a virtual clock and stops its replicators at the
// end.
func runInBubble(t *testing.T, run func(t *testing.T, ctx context.Context, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		run(t, ctx, newCluster(t))
	})
}
