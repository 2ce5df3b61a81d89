package scale

import (
	"fmt"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

const (
	keysPerGroup       = 1_000_000
	zoneCount          = 8
	slotsPerServer     = 5
	connectionsPerHost = 70
	serviceName        = "search"
	className          = "urgent"
)

// zoneName names one of the zones, round robin.
func zoneName(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount+1) }

// addressOf makes an IP number and port of the usual length.
func addressOf(index, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", index>>16&255, index>>8&255, index&255, port)
}

// serviceOf makes a service of groups with replicas servers each.
func serviceOf(groups, replicas int) policy.Service {
	service := policy.Service{Name: serviceName}
	service.KeySpace.End = uint64(groups) * keysPerGroup
	for number := range groups {
		start := uint64(number) * keysPerGroup
		group := policy.Group{
			Name:  fmt.Sprintf("group-%03d", number),
			Range: coverage.Range{Start: start, End: start + keysPerGroup},
		}
		for replica := range replicas {
			group.Servers = append(group.Servers, serverOf(number*replicas+replica))
		}
		service.Groups = append(service.Groups, group)
	}
	return service
}

func serverOf(index int) policy.Server {
	return policy.Server{
		ID:          fmt.Sprintf("search-server-%05d", index),
		Address:     addressOf(index, 7100),
		Zone:        zoneName(index),
		Slots:       slotsPerServer,
		Connections: connectionsPerHost,
	}
}

// classesOf makes the classes of a typical configuration.
func classesOf() []policy.Class {
	return []policy.Class{
		{Name: className, Order: 1, LongestWait: 20, Deadline: 200, MinimumCoverage: 0.9, HedgeShare: 0.02, Headroom: 0.2},
		{Name: "batch", Order: 2, LongestWait: 1000, Deadline: 5000, MinimumCoverage: 0.9, HedgeShare: 0.01},
	}
}
