package snapshot_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/snapshot"
)

func twoGroups() *snapshot.Catalog {
	c := snapshot.NewCatalog()
	c.Configure([]snapshot.Group{
		{Keys: 10, Servers: []string{"a1", "a2"}},
		{Keys: 30, Servers: []string{"b1", "b2"}},
	})
	return c
}

func TestChoose(t *testing.T) {
	type ids = []snapshot.ID
	tests := []struct {
		name        string
		held        map[string]ids
		unavailable []string
		exclude     ids
		want        snapshot.Choice
		none        bool
	}{
		{name: "nothing observed", none: true},
		{
			name: "newest that every group can serve",
			held: map[string]ids{"a1": {7, 8}, "a2": {7}, "b1": {7}, "b2": {8, 7}},
			want: snapshot.Choice{ID: 8, Keys: 40, Complete: true},
		},
		{
			name: "newer one that a group lacks",
			held: map[string]ids{"a1": {7, 8}, "b1": {7}},
			want: snapshot.Choice{ID: 7, Keys: 40, Complete: true},
		},
		{
			name:        "newer one whose only holder left",
			held:        map[string]ids{"a1": {7, 8}, "b1": {7}, "b2": {8}},
			unavailable: []string{"b2"},
			want:        snapshot.Choice{ID: 7, Keys: 40, Complete: true},
		},
		{
			name: "most keys when none serves every group",
			held: map[string]ids{"a1": {9}, "b1": {7}},
			want: snapshot.Choice{ID: 7, Keys: 30},
		},
		{
			name:    "excepted one",
			held:    map[string]ids{"a1": {7, 8}, "b1": {7, 8}},
			exclude: ids{8},
			want:    snapshot.Choice{ID: 7, Keys: 40, Complete: true},
		},
		{name: "zero is no snapshot", held: map[string]ids{"a1": {0}, "b1": {0}}, none: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := twoGroups()
			for server, held := range test.held {
				c.ServerSnapshots(server).RecordReport(held)
			}
			for _, server := range test.unavailable {
				c.ServerSnapshots(server).SetAvailable(false)
			}
			got, ok := c.Choose(test.exclude...)
			if ok == test.none || got != test.want {
				t.Fatalf("got %+v, %t; want %+v", got, ok, test.want)
			}
		})
	}
}

func TestMissingSnapshotIsHeldAgainAfterReport(t *testing.T) {
	c := twoGroups()
	c.ServerSnapshots("a1").RecordReport([]snapshot.ID{7})
	c.ServerSnapshots("a1").RecordMissing(7)
	if c.ServerSnapshots("a1").Holds(7) {
		t.Fatal("the server still holds a snapshot recorded as missing")
	}
	c.ServerSnapshots("a1").RecordReport([]snapshot.ID{7})
	if !c.ServerSnapshots("a1").Holds(7) {
		t.Fatal("a repeated report was ignored after RecordMissing")
	}
}

func TestConfigureKeepsReportsOfRemainingServers(t *testing.T) {
	c := twoGroups()
	c.ServerSnapshots("a1").RecordReport([]snapshot.ID{7})
	c.Configure([]snapshot.Group{{Keys: 5, Servers: []string{"a1", "c1"}}})
	choice, ok := c.Choose()
	if !ok || choice != (snapshot.Choice{ID: 7, Keys: 5, Complete: true}) {
		t.Fatalf("got %+v, %t", choice, ok)
	}
	if c.ServerSnapshots("b1") != nil {
		t.Fatal("a server in no group is still tracked")
	}
}

// TestIncrementalCountsMatchRecount compares choices from the incrementally
// updated counts with a full recount, after random reports, missing snapshots
// and changes of availability.
func TestIncrementalCountsMatchRecount(t *testing.T) {
	const groups, replicas = 4, 3
	name := func(i int) string { return fmt.Sprint(i) }
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("newest of the most keys", prop.ForAll(func(changes []uint16) bool {
		c := snapshot.NewCatalog()
		var configured []snapshot.Group
		for g := range groups {
			group := snapshot.Group{Keys: uint64(g + 1)}
			for r := range replicas {
				group.Servers = append(group.Servers, name(g*replicas+r))
			}
			configured = append(configured, group)
		}
		c.Configure(configured)
		held := make([][]snapshot.ID, groups*replicas)
		unavailable := make([]bool, groups*replicas)
		for _, change := range changes {
			server := int(change>>8) % len(held)
			holder := c.ServerSnapshots(name(server))
			switch change & 3 {
			case 0, 1:
				held[server] = []snapshot.ID{snapshot.ID(change>>2&3) + 1, snapshot.ID(change>>4&3) + 1}
				holder.RecordReport(held[server])
			case 2:
				missing := snapshot.ID(change>>2&3) + 1
				held[server] = slices.DeleteFunc(slices.Clone(held[server]), func(id snapshot.ID) bool { return id == missing })
				holder.RecordMissing(missing)
			default:
				unavailable[server] = !unavailable[server]
				holder.SetAvailable(!unavailable[server])
			}
		}
		var want snapshot.Choice
		for id := snapshot.ID(4); id > 0; id-- {
			var keys uint64
			for g := range groups {
				for r := range replicas {
					if s := g*replicas + r; !unavailable[s] && slices.Contains(held[s], id) {
						keys += uint64(g + 1)
						break
					}
				}
			}
			if keys > want.Keys {
				want = snapshot.Choice{ID: id, Keys: keys, Complete: keys == 10}
			}
		}
		got, _ := c.Choose()
		return got == want
	}, gen.SliceOf(gen.UInt16())))
	properties.TestingRun(t)
}
