package simulation

import (
	"fmt"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/policy"
)

// Ports of the simulated processes.
const (
	callerPort      = 8080
	operatorPort    = 8081
	peerPort        = 8082
	serverPort      = 9000
	storePort       = 7000
	machineListPort = 7100
)

// Addresses of the hosts that exist only once.
const (
	storeIP       = "10.0.2.1"
	machineListIP = "10.0.3.1"
	operatorIP    = "10.0.5.1"
)

// The services and their key space. The search service has several groups, the
// notices service a single pool.
const (
	searchService = "search"
	noticeService = "notices"
	keySpaceSize  = 1 << 20
	// itemStride is the distance between items in the key space; it keeps
	// replies small.
	itemStride = 1 << 15
)

// Priority classes of the simulated callers.
const (
	urgentClass = "urgent"
	bulkClass   = "bulk"
)

var keySpace = coverage.Range{Start: 0, End: keySpaceSize}

func nodeName(index int) string { return fmt.Sprintf("node-%d", index+1) }

func nodeIP(index int) string { return fmt.Sprintf("10.0.0.%d", index+1) }

func callerIP(index int) string { return fmt.Sprintf("10.0.4.%d", index+1) }

func serverIP(index int) string { return fmt.Sprintf("10.0.1.%d", index+1) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func zoneOf(index int) string { return fmt.Sprintf("zone-%d", index%2+1) }

// layout assigns the servers to the groups of the services.
type layout struct {
	nodes int
	// connections is the limit of open connections of each server.
	connections int
	// groups holds the server indexes of each group. The last group is the pool
	// of the notices service.
	groups [][]int
}

func newLayout(options Options) layout {
	l := layout{nodes: options.Nodes, connections: options.Connections}
	next := 0
	for range options.Groups + 1 {
		var group []int
		for range options.Replicas {
			group = append(group, next)
			next++
		}
		l.groups = append(l.groups, group)
	}
	return l
}

// searchGroups returns the groups of the search service.
func (l layout) searchGroups() [][]int { return l.groups[:len(l.groups)-1] }

// pool returns the group of the notices service.
func (l layout) pool() []int { return l.groups[len(l.groups)-1] }

func serverName(index int) string { return fmt.Sprintf("server-%d", index+1) }

// topology returns the hosts for the schedule generator.
func (l layout) topology() schedule.Topology {
	topology := schedule.Topology{Store: storeIP, MachineList: machineListIP}
	for index := range l.nodes {
		topology.Nodes = append(topology.Nodes, nodeIP(index))
	}
	for _, group := range l.groups {
		var servers []string
		for _, index := range group {
			servers = append(servers, serverIP(index))
		}
		topology.Groups = append(topology.Groups, servers)
	}
	return topology
}

// ranges splits the key space among the groups of the search service. The shift
// moves the bounds between groups, as a repartition does.
func (l layout) ranges(shift uint64) []coverage.Range {
	count := uint64(len(l.searchGroups()))
	var ranges []coverage.Range
	start := uint64(0)
	for index := range count {
		end := keySpaceSize/count*(index+1) + shift
		if index+1 == count {
			end = keySpaceSize
		}
		ranges = append(ranges, coverage.Range{Start: start, End: end})
		start = end
	}
	return ranges
}

// config returns the initial configuration, with the bounds between groups
// moved by shift.
func (l layout) config(shift uint64) policy.Config {
	return policy.Config{
		Classes: []policy.Class{
			{Name: urgentClass, Order: 1, LongestWait: 200, Deadline: 400, HedgeShare: 0.1, Headroom: 0.2},
			{Name: bulkClass, Order: 2, LongestWait: 400, Deadline: 1000, HedgeShare: 0.05},
		},
		Services: []policy.Service{l.searchConfig(shift), {
			Name: noticeService, KeySpace: keySpace,
			Groups: []policy.Group{{Name: "pool", Range: keySpace, Servers: l.serverConfigs(l.pool())}},
		}},
	}
}

// searchConfig returns the configuration of the search service, with the bounds
// between groups moved by shift.
func (l layout) searchConfig(shift uint64) policy.Service {
	service := policy.Service{Name: searchService, KeySpace: keySpace}
	for index, keys := range l.ranges(shift) {
		service.Groups = append(service.Groups, policy.Group{
			Name: fmt.Sprintf("group-%d", index+1), Range: keys, Servers: l.serverConfigs(l.groups[index]),
		})
	}
	return service
}

func (l layout) serverConfigs(indexes []int) []policy.Server {
	var servers []policy.Server
	for _, index := range indexes {
		servers = append(servers, policy.Server{
			ID: serverName(index), Address: address(serverIP(index), serverPort), Zone: zoneOf(index),
			Slots: serverSlots, Connections: l.connections,
		})
	}
	return servers
}
