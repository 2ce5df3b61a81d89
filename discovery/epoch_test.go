package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/rollout"
	"github.com/banksail/banksail/route"
)

// registryBackup is the content of a registry at one moment.
type registryBackup struct {
	revision discovery.Revision
	events   discovery.Changes
}

func (r *registry) copy() registryBackup {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := r.events
	events.Servers, events.Nodes, events.Directives = slices.Clone(events.Servers), slices.Clone(events.Nodes), slices.Clone(events.Directives)
	return registryBackup{r.revision, events}
}

// restore restores the registry from a backup. The backup's directives belong to the new epoch.
func (r *registry) restore(backup registryBackup) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.epoch++
	r.revision, r.events = backup.revision, backup.events
	for index := range r.events.Directives {
		r.events.Directives[index].Value.StoredAt.Epoch = r.epoch
		r.events.Directives[index].Value.Number = r.events.Directives[index].Value.StoredAt.Number()
	}
}

// tableVersion returns the version of a node's routing table.
func (w *testCluster) tableVersion(number int) uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.states[number].Table.Version
}

// Random sequences of changes to servers, tables and evacuations, with a registry that is restored
// from a backup of some seconds earlier, once or twice in a row, during or without an outage.
// All nodes must converge to the registry's content, an evacuation that its author writes again
// must never end, and no node may go back to an older table.
func TestNodesConvergeAcrossRegistryRestores(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 45))
			w := startCluster(t, 6)
			version := uint64(1)
			w.registry.evacuate("kept", false)
			time.Sleep(evacuationBound)
			for round := range 6 {
				backup := w.registry.copy()
				if random.IntN(3) == 0 {
					w.registry.evacuate("other", random.IntN(2) == 0)
				}
				for range random.IntN(30) {
					server := discovery.Server{ID: fmt.Sprintf("s%d", random.IntN(20)), Service: "x", Address: "y", State: discovery.State(random.IntN(2))}
					w.registry.putServer(server, random.IntN(4) == 0)
				}
				version++
				w.registry.putTable(version)
				time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
				w.registry.setDown(random.IntN(4) > 0)
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				w.registry.restore(backup)
				if random.IntN(3) == 0 {
					time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
					w.registry.restore(backup)
				}
				w.registry.setDown(false)
				for range random.IntN(40) { // so that revisions overlap those before the restore
					w.registry.putServer(discovery.Server{ID: fmt.Sprintf("t%d", random.IntN(9)), Service: "x", Address: "y"}, false)
				}
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				version++
				w.registry.putTable(version)
				time.Sleep(evacuationBound)
				for number := range w.states {
					if !slices.Contains(w.evacuatedZones(number), "kept") {
						t.Fatalf("seed %d round %d: node %d dropped an evacuation", seed, round, number)
					}
					if got := w.tableVersion(number); got != version {
						t.Fatalf("seed %d round %d: node %d has table %d, want %d", seed, round, number, got, version)
					}
				}
				time.Sleep(10 * time.Second) // until the grace periods after a restore are over
				w.wantConverged(t, fmt.Sprintf("seed %d round %d", seed, round))
			}
			w.stop()
			w.loops.Wait()
		})
	}
}

// A node that was isolated while the registry was restored fetches nothing older than its own
// view, and other nodes reject its publications of the earlier epoch.
func TestNodesIgnorePublicationsOfEarlierEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startCluster(t, 5)
		const isolated = 4
		backup := w.registry.copy()
		w.registry.putServer(discovery.Server{ID: "lost", Service: "x"}, false)
		time.Sleep(3 * time.Second)
		w.sources[isolated].rejection.Store(int32(rejectsImmediately))
		w.network.setIsolated("node-04", true)
		w.registry.setDown(true)
		time.Sleep(3 * time.Second)
		w.registry.restore(backup)
		w.registry.putServer(discovery.Server{ID: "new", Service: "x"}, false)
		w.registry.setDown(false)
		time.Sleep(6 * time.Second)
		if !w.knowsServer(isolated, "lost") || w.knowsServer(isolated, "new") {
			t.Error("the isolated node changed its view")
		}
		newer := w.network.followers["node-00"]
		publication, _ := newer.Publish(discovery.PublicationRequest{})
		if got, ok := newer.Publish(discovery.PublicationRequest{Known: publication.Cursor, Position: epochPosition(0, 1)}); !ok || got.Since != 0 {
			t.Errorf("a node in the earlier epoch gets changes since %d (%t), want the complete state", got.Since, ok)
		}
		if _, ok := w.network.followers["node-04"].Publish(discovery.PublicationRequest{Position: publication.Position}); ok {
			t.Error("a node in the earlier epoch publishes to a node in the later one")
		}
		w.network.setIsolated("node-04", false)
		time.Sleep(6 * time.Second)
		w.wantConverged(t, "together again")
		w.stop()
		w.loops.Wait()
	})
}

// scriptedFetcher returns prepared publications by address.
type scriptedFetcher struct {
	mutex        sync.Mutex
	publications map[string]discovery.Publication
}

func (p *scriptedFetcher) Fetch(_ context.Context, address string, request discovery.PublicationRequest) (discovery.Publication, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	publication, ok := p.publications[address]
	if !ok || publication.Before(request.Position) {
		return discovery.Publication{}, discovery.ErrUnavailable
	}
	return publication, nil
}

func (p *scriptedFetcher) set(publications map[string]discovery.Publication) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publications = publications
}

// A reader that started after a restore does not know that a server in the backup has left, and
// lists it. A node that does know, and fetches a complete publication from that reader after one
// from another reader, must not use the server.
func TestReaderUnawareOfRemovalDoesNotReviveServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := route.Definition{Version: 1, Limits: route.Limits{HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1}}
		publication := func(publisher string, position discovery.Position, ids ...string) map[string]discovery.Publication {
			var publication discovery.Publication
			publication.Cursor, publication.Position, publication.Table = discovery.Cursor{Publisher: publisher, Generation: 1}, position, &table
			for _, id := range ids {
				publication.Servers = append(publication.Servers, discovery.Server{ID: id, Service: "x"})
			}
			return map[string]discovery.Publication{publisher: publication}
		}
		publishers := new(scriptedFetcher)
		var mutex sync.Mutex
		var used []string
		follower := discovery.NewFollower(discovery.FollowerOptions{
			Source: &unavailableSource{}, Self: "self", Fetcher: publishers, Logger: zerolog.Nop(),
			Nodes: func() []discovery.Node {
				return []discovery.Node{{ID: "self"}, {ID: "a", Peer: "a", Capacity: 2}, {ID: "b", Peer: "b", Capacity: 2}}
			},
			OnChanged: func(state discovery.ClusterState) {
				mutex.Lock()
				defer mutex.Unlock()
				used = nil
				for _, s := range state.Servers {
					used = append(used, s.ID)
				}
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); follower.Run(ctx) }()
		for _, step := range []struct {
			publications map[string]discovery.Publication
			want         []string
		}{
			{publication("a", epochPosition(1, 50), "s", "gone"), []string{"gone", "s"}},
			{publication("a", epochPosition(1, 60), "s"), []string{"s"}},
			{publication("a", epochPosition(2, 40), "s"), []string{"s"}},
			{publication("b", epochPosition(2, 45), "s", "gone"), []string{"s"}},
		} {
			publishers.set(step.publications)
			time.Sleep(1500 * time.Millisecond)
			mutex.Lock()
			if !slices.Equal(used, step.want) {
				t.Errorf("after publication %v: servers %v are used, want %v", step.publications, used, step.want)
			}
			mutex.Unlock()
		}
		stop()
		<-ended
	})
}

// unavailableSource is a registry that does not answer.
type unavailableSource struct{}

func (*unavailableSource) List(context.Context) (discovery.Listing, error) {
	return discovery.Listing{}, discovery.ErrUnavailable
}

func (*unavailableSource) Changes(context.Context, discovery.Position, time.Duration) (discovery.Changes, error) {
	return discovery.Changes{}, discovery.ErrUnavailable
}

// Positions and their numbers have the same order, for any revisions in two epochs.
func TestNumberPreservesPositionOrder(t *testing.T) {
	properties := gopter.NewProperties(nil)
	position := func(epoch uint16, revision uint32) discovery.Position {
		return discovery.Position{Epoch: discovery.Epoch(epoch), Revision: discovery.Revision(revision)}
	}
	properties.Property("numbers order as positions do", prop.ForAll(
		func(e1, e2 uint16, r1, r2 uint32) bool {
			a, b := position(e1, r1), position(e2, r2)
			return a.Before(b) == (a.Number() < b.Number()) && (a.Compare(b) == 0) == (a == b)
		}, gen.UInt16Range(0, 3), gen.UInt16Range(0, 3), gen.UInt32(), gen.UInt32Range(0, 99),
	))
	properties.TestingRun(t)
}

// epochPosition returns a position in an epoch.
func epochPosition(epoch discovery.Epoch, revision discovery.Revision) discovery.Position {
	return discovery.Position{Epoch: epoch, Revision: revision}
}

// The backup's entry of a server known to be draining or gone takes effect only after the grace
// period, when a stale entry would have expired. Entries written after the restore take effect
// immediately, and so does another incarnation under the same ID.
func TestDrainsAndRemovalsSurviveRestore(t *testing.T) {
	const restoredFor = 5 * time.Second
	server := func(id string, state discovery.State, born int64) discovery.Server {
		return discovery.Server{ID: id, Service: "x", State: state, Born: born}
	}
	view := discovery.NewView(discovery.Options{RestoreGrace: restoredFor})
	view.RecordContinuousSync(0)
	now := time.Minute
	for _, id := range []string{"drains", "gone", "reborn", "writes"} {
		view.PutServer(now, server(id, discovery.Ready, 1), epochPosition(1, 50))
	}
	view.PutServer(now, server("drains", discovery.Draining, 1), epochPosition(1, 60))
	view.PutServer(now, server("writes", discovery.Draining, 1), epochPosition(1, 61))
	view.RemoveServer(now, "gone", epochPosition(1, 62))
	view.RemoveServer(now, "reborn", epochPosition(1, 63))

	view.BeginEpoch(now, epochPosition(2, 55))
	for _, id := range []string{"drains", "gone", "writes"} {
		view.PutServer(now, server(id, discovery.Ready, 1), epochPosition(2, 50))
	}
	view.PutServer(now, server("reborn", discovery.Ready, 2), epochPosition(2, 54))
	want := func(when string, states map[string]discovery.State) {
		t.Helper()
		got := view.Servers()
		if len(got) != len(states) {
			t.Errorf("%s: %v", when, got)
		}
		for _, s := range got {
			if state, there := states[s.ID]; !there || state != s.State {
				t.Errorf("%s: unexpected server %s in state %v", when, s.ID, s.State)
			}
		}
	}
	want("at first", map[string]discovery.State{"drains": discovery.Draining, "writes": discovery.Draining, "reborn": discovery.Ready})
	view.PutServer(now+time.Second, server("writes", discovery.Ready, 1), epochPosition(2, 56))
	view.Expire(now + time.Second)
	want("written again", map[string]discovery.State{"drains": discovery.Draining, "writes": discovery.Ready, "reborn": discovery.Ready})
	if at, ok := view.NextExpiry(); !ok || at != now+restoredFor {
		t.Errorf("next expiry is at %s (%t)", at, ok)
	}
	view.Expire(now + restoredFor)
	want("in the end", map[string]discovery.State{"drains": discovery.Ready, "gone": discovery.Ready, "writes": discovery.Ready, "reborn": discovery.Ready})
}

// newRecord returns a roll-out record of an epoch, stored at a position.
func newRecord(epoch uint64, phase rollout.Phase, stored discovery.Position) discovery.Directive {
	written := discovery.Position{Epoch: discovery.Epoch(epoch), Revision: stored.Revision}
	return discovery.Directive{
		Kind: discovery.RolloutRecord, Subject: "s", StoredAt: stored, Number: written.Number(),
		Record: &rollout.Record{Order: 7, Epoch: epoch, Phase: phase},
	}
}

// Roll-out records are never reverted by a restore: the nodes' record is marked as lost until it is
// written again, whichever way later states arrive. A record of a later order, whether of the new epoch
// or one in the backup that this node did not know, takes effect. One that contradicts a completed order
// does not: it was written by a node that did not know of the end, when the previous servers had stopped.
func TestRolloutRecordsSurviveRestore(t *testing.T) {
	ofOrder := func(order uint64, directive discovery.Directive) discovery.Directive {
		directive.Record.Order = order
		return directive
	}
	for name, test := range map[string]struct {
		update discovery.Directive
		want   rollout.Phase
		lost   bool
	}{
		"the copy has it":              {newRecord(1, rollout.Completed, epochPosition(2, 50)), rollout.Completed, false},
		"the copy has an earlier one":  {newRecord(1, rollout.Moving, epochPosition(2, 40)), rollout.Completed, true},
		"the copy has a later one":     {ofOrder(8, newRecord(1, rollout.RolledBack, epochPosition(2, 51))), rollout.RolledBack, false},
		"written in the new epoch":     {ofOrder(8, newRecord(2, rollout.RolledBack, epochPosition(2, 30))), rollout.RolledBack, false},
		"written at the same revision": {ofOrder(8, newRecord(2, rollout.RolledBack, epochPosition(2, 50))), rollout.RolledBack, false},
		"rolled back in the copy":      {newRecord(1, rollout.RolledBack, epochPosition(2, 51)), rollout.Completed, true},
		"rolled back in the new epoch": {newRecord(2, rollout.RolledBack, epochPosition(2, 30)), rollout.Completed, true},
		"moving in the new epoch":      {newRecord(2, rollout.Moving, epochPosition(2, 60)), rollout.Completed, true},
		"completed again":              {newRecord(2, rollout.Completed, epochPosition(2, 60)), rollout.Completed, false},
	} {
		t.Run(name, func(t *testing.T) {
			view := discovery.NewView(discovery.Options{})
			view.RecordContinuousSync(0)
			known := newRecord(1, rollout.Completed, epochPosition(1, 50))
			view.PutDirective(0, known, known.StoredAt, 0, false)
			view.BeginEpoch(time.Second, epochPosition(2, 52))
			view.RetainDirectives(map[string]struct{}{}, epochPosition(2, 52))
			if got := view.Directives(); len(got) != 1 || !got[0].Lost || got[0].StoredAt.Revision != 0 {
				t.Fatalf("after a listing without the record: %+v", got)
			}
			view.PutDirective(time.Second, test.update, epochPosition(2, 52), 0, false)
			view.Expire(time.Hour)
			got := view.Directives()
			if len(got) != 1 || got[0].Record.Phase != test.want || got[0].Lost != test.lost || got[0].StoredAt != test.update.StoredAt {
				t.Errorf("directives are %+v", got)
			}
		})
	}
}

// Roll-out orders keep their number when the operator writes them again. A different order takes
// effect immediately if it was written after the restore, and otherwise if nobody has written the
// known order again within the grace period. An order that a node receives as already lost expires
// as well.
func TestRolloutOrdersSurviveRestore(t *testing.T) {
	const keptFor = 10 * time.Second
	order := func(target string, stored discovery.Position) discovery.Directive {
		return discovery.Directive{
			Kind: discovery.RollOut, Subject: "s", StoredAt: stored, Number: stored.Number(),
			Order: &rollout.Order{Target: target, Duration: time.Minute},
		}
	}
	lost := order("v2", epochPosition(2, 0))
	lost.Number, lost.Lost = epochPosition(1, 50).Number(), true
	for name, test := range map[string]struct {
		update              *discovery.Directive
		target, targetLater string
		number              uint64
	}{
		"not there":                  {nil, "v2", "", epochPosition(1, 50).Number()},
		"the same":                   {new(order("v2", epochPosition(2, 50))), "v2", "v2", epochPosition(1, 50).Number()},
		"written again, soon":        {new(order("v2", epochPosition(2, 45))), "v2", "v2", epochPosition(1, 50).Number()},
		"written again":              {new(order("v2", epochPosition(2, 60))), "v2", "v2", epochPosition(1, 50).Number()},
		"an earlier one of the copy": {new(order("v1", epochPosition(2, 30))), "v2", "v1", epochPosition(1, 50).Number()},
		"a new one":                  {new(order("v3", epochPosition(2, 60))), "v3", "v3", epochPosition(2, 60).Number()},
		"told by one that lost it":   {&lost, "v2", "", epochPosition(1, 50).Number()},
	} {
		t.Run(name, func(t *testing.T) {
			view := discovery.NewView(discovery.Options{DirectiveGrace: keptFor})
			view.RecordContinuousSync(0)
			known := order("v2", epochPosition(1, 50))
			view.PutDirective(0, known, known.StoredAt, 3*time.Second, true)
			now := time.Minute
			view.BeginEpoch(now, epochPosition(2, 52))
			view.RetainDirectives(map[string]struct{}{}, epochPosition(2, 52))
			if test.update != nil {
				view.PutDirective(now, *test.update, epochPosition(2, 70), 0, false)
			}
			view.Expire(now + keptFor - 1)
			if got := view.Directives(); len(got) != 1 || got[0].Order.Target != test.target || got[0].Number != test.number {
				t.Errorf("before the grace period ends: %+v", got)
			}
			if since, known := view.Since(known.Key()); test.number == epochPosition(1, 50).Number() && (!known || since != 3*time.Second) {
				t.Errorf("earliest write time is %s (%t), want 3s", since, known)
			}
			view.Expire(now + keptFor)
			got := view.Directives()
			if test.targetLater == "" && len(got) != 0 || test.targetLater != "" && (len(got) != 1 || got[0].Order.Target != test.targetLater || got[0].Lost) {
				t.Errorf("after the grace period: %+v", got)
			}
		})
	}
}
