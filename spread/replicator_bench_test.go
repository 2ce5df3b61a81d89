package spread

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/store"
)

// largeConfig returns a configuration with 350 groups of 15 servers.
func largeConfig() policy.Config {
	const groups, replicas, keys = 350, 15, 10
	config := testConfig()
	service := &config.Services[0]
	service.KeySpace.End = groups * keys
	service.Groups = nil
	for number := range groups {
		group := policy.Group{
			Name:  fmt.Sprintf("group-%03d", number),
			Range: coverage.Range{Start: uint64(number * keys), End: uint64((number + 1) * keys)},
		}
		for replica := range replicas {
			group.Servers = append(group.Servers, policy.Server{
				ID:      fmt.Sprintf("server-%03d-%02d", number, replica),
				Address: fmt.Sprintf("10.%d.%d.%d:7100", replica, number>>8, number&255),
				Zone:    "north", Slots: 5, Connections: 70,
			})
		}
		service.Groups = append(service.Groups, group)
	}
	return config
}

// BenchmarkOfferCurrentRecord offers a replicator the record that is already in
// force, as most pushes of full records do.
func BenchmarkOfferCurrentRecord(b *testing.B) {
	record, err := policy.EncodeRecord(policy.Record{
		Format: policy.RecordFormat, Revision: 1, Config: largeConfig(),
		History: []policy.HistoryEntry{}, RecentPlans: []policy.AppliedPlan{},
	})
	if err != nil {
		b.Fatal(err)
	}
	replicator := NewReplicator(ReplicatorOptions{Core: CoreOptions{Self: "a"}, Store: store.NewMemory(store.MemoryOptions{}), Logger: zerolog.Nop()})
	if err := replicator.Offer(1, record); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := replicator.Offer(1, record); err != nil {
			b.Fatal(err)
		}
	}
}
