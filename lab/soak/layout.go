package soak

import (
	"fmt"

	"github.com/banksail/banksail/platform/standin"
)

// Layout holds the names of the zones, nodes and servers that a soak starts.
type Layout struct {
	Zones, Nodes, Servers []string
}

const (
	// zoneCount is the number of zones, with nodesPerZone nodes each.
	zoneCount    = 4
	nodesPerZone = 2
	// shardCount is the number of shards of a set. Each has replicasPerShard servers, one in each
	// zone but the last.
	shardCount       = 4
	replicasPerShard = 3
	// ledgerService is the service of single requests, whose versions are rolled out.
	ledgerService     = "ledger"
	ledgerServerCount = 3
	targetServerCount = 3
)

// DefaultLayout returns the layout of eight nodes in four zones, with a set of four shards and the
// ledger service.
func DefaultLayout() Layout {
	var layout Layout
	for zone := range zoneCount {
		layout.Zones = append(layout.Zones, fmt.Sprintf("zone-%c", 'a'+zone))
	}
	for number := range zoneCount * nodesPerZone {
		layout.Nodes = append(layout.Nodes, nodeName(number))
	}
	for shard := range shardCount {
		for replica := range replicasPerShard {
			layout.Servers = append(layout.Servers, standin.ServerName(shardName(1, shard), replica))
		}
	}
	for number := range ledgerServerCount {
		layout.Servers = append(layout.Servers, standin.ServerName(ledgerService, number))
	}
	return layout
}

func nodeName(number int) string { return fmt.Sprintf("front-%d", number) }

// shardName returns the service name of a shard of a set.
func shardName(set, shard int) string { return fmt.Sprintf("shard-%d-%d", set, shard) }

// shardNames returns the service names of all shards of a set.
func shardNames(set int) []string {
	names := make([]string, 0, shardCount)
	for shard := range shardCount {
		names = append(names, shardName(set, shard))
	}
	return names
}
