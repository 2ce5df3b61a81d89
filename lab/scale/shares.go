package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/banksail/banksail/membership"
)

const (
	plannedNodes   = 1400
	plannedServers = 5500
)

// shareSweeps measures the shares of connections and the table of servers.
func shareSweeps() []Sweep {
	return []Sweep{
		{
			Name: "shares-nodes", Role: "query path", Size: "nodes", Fixed: "350 groups of 15 servers of 70 connections",
			Sizes: []float64{24, 48, 63, 88, 175, 350, 700, 1400}, Today: 24, Planned: plannedNodes,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				return measureShares(int(size), plannedServers)
			},
		},
		{
			Name: "shares-servers", Role: "query path", Size: "servers", Fixed: "1,400 nodes",
			Sizes: []float64{700, 1400, 2800, 4200, 5500}, Today: 70, Planned: plannedServers,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureShares(plannedNodes, int(size)) },
		},
		{
			Name: "server-table", Role: "server health", Size: "servers", Fixed: "one node",
			Sizes: []float64{700, 1400, 2800, 4200, 5500}, Today: 70, Planned: plannedServers,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureServerTable(int(size)) },
		},
	}
}

// measureShares works out one node's shares of all servers' connections, as it
// does anew at each change of membership.
func measureShares(nodes, servers int) ([]Sample, error) {
	members := make([]membership.Member, 0, nodes)
	for index := range nodes {
		members = append(members, memberOf(index))
	}
	groups := min(servers, groupsPlanned)
	service := serviceOf(groups, max(1, servers/groups))
	connections, reachable := 0, 0
	times, err := timeSteps([]timedStep{{"processor µs/change of membership", func() error {
		connections, reachable = 0, 0
		for _, group := range service.Groups {
			reached := false
			for _, server := range group.Servers {
				place := membership.ServerPlace{ID: server.ID, Zone: server.Zone, Limit: server.Connections}
				share := membership.OwnerShare(members[0].ID, place, members)
				connections += share.Maximum
				reached = reached || share.Maximum > 0
			}
			if reached {
				reachable++
			}
		}
		return nil
	}}}, 1)
	samples := []Sample{
		{"connections of the node", float64(connections)},
		{"share of groups that the node reaches", float64(reachable) / float64(groups)},
	}
	return append(samples, times...), err
}

// measureServerTable measures one node's table of servers.
func measureServerTable(servers int) ([]Sample, error) {
	ids := make([]string, 0, servers)
	listed := make([]membership.ListedServer, 0, servers)
	for index := range servers {
		ids = append(ids, fmt.Sprintf("search-server-%05d", index))
		listed = append(listed, membership.ListedServer{ID: ids[index], Incarnation: "incarnation-1"})
	}
	build := func() *membership.Servers {
		table := membership.NewServers(membership.ServersOptions{})
		table.ObserveList(0, listed)
		table.TakeChanges()
		return table
	}
	table, heap := heapOf(build)
	report := membership.ServerReport{Source: membership.FromReply, Condition: membership.ServerAnswered, Incarnation: "incarnation-1"}
	times, err := timeSteps([]timedStep{
		{"processor µs/tick", func() error { table.Tick(time.Second); return nil }},
		{"processor µs/reading of the list", func() error { table.ObserveList(time.Second, listed); return nil }},
		{"processor µs/report of each server", func() error {
			for _, id := range ids {
				table.Report(time.Second, id, report)
			}
			return nil
		}},
	}, recordRepeats)
	return append([]Sample{{"heap bytes", heap}}, times...), err
}
