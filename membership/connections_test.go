package membership_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/gossiptest"
)

func makeNodes(count int) []membership.Member {
	nodes := make([]membership.Member, 0, count)
	for i := range count {
		nodes = append(nodes, membership.Member{ID: gossiptest.NodeID(i), Zone: gossiptest.ZoneOf(i), State: membership.Live})
	}
	return nodes
}

func shares(spec membership.ServerSpec, nodes []membership.Member) map[string]int {
	held := make(map[string]int)
	for _, node := range nodes {
		held[node.ID] = membership.OwnerShare(node.ID, spec, nodes).Maximum
	}
	return held
}

func sum(held map[string]int) int {
	total := 0
	for _, share := range held {
		total += share
	}
	return total
}

func spec(server, limit int) membership.ServerSpec {
	return membership.ServerSpec{ID: fmt.Sprintf("server-%d", server), Zone: gossiptest.ZoneOf(server), Limit: limit}
}

func TestOwnerShareProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	serverNumber, limits, counts := gen.IntRange(0, 10000), gen.IntRange(0, 200), gen.IntRange(1, 150)

	properties.Property("nodes with one view never exceed the limit and use what is shared out", prop.ForAll(
		func(server, limit, count int) bool {
			total := sum(shares(spec(server, limit), makeNodes(count)))
			shared := membership.ShareableConnections(limit)
			if count <= limit {
				shared = max(shared, count)
			}
			return total == shared && total <= limit
		}, serverNumber, limits, counts))

	properties.Property("every node has a connection while there are enough", prop.ForAll(
		func(server, limit, count int) bool {
			held := shares(spec(server, limit), makeNodes(count))
			for _, share := range held {
				if count <= limit && share == 0 {
					return false
				}
			}
			return true
		}, serverNumber, limits, counts))

	properties.Property("when a node leaves, no other one's share falls", prop.ForAll(
		func(server, limit, count, leaver int) bool {
			nodes := makeNodes(count + 1)
			if count+1 > limit {
				return true // fewer nodes own connections: see the next property
			}
			before := shares(spec(server, limit), nodes)
			leaver %= len(nodes)
			rest := append(nodes[:leaver:leaver], nodes[leaver+1:]...)
			after := shares(spec(server, limit), rest)
			for id, share := range after {
				if share < before[id] {
					return false
				}
			}
			return true
		}, serverNumber, limits, counts, counts))

	properties.Property("when a node leaves and nodes outnumber connections, at most one owner is new", prop.ForAll(
		func(server, leaver int) bool {
			nodes := makeNodes(151)
			before := shares(spec(server, 70), nodes)
			leaver %= len(nodes)
			after := shares(spec(server, 70), append(nodes[:leaver:leaver], nodes[leaver+1:]...))
			newOwners := 0
			for id, share := range after {
				if share > 0 && before[id] == 0 {
					newOwners++
				}
			}
			return newOwners <= 1
		}, serverNumber, counts))

	properties.Property("the sum stays within the stated bound while views differ", prop.ForAll(
		func(server, limit, count, missing int) bool {
			nodes := makeNodes(count)
			missing %= count
			total := 0
			for i, node := range nodes {
				view := []membership.Member{node}
				for j := range nodes {
					hidden := (j-i+count)%count <= missing
					if !hidden {
						view = append(view, nodes[j])
					}
				}
				total += membership.OwnerShare(node.ID, spec(server, limit), view).Maximum
			}
			shared := membership.ShareableConnections(limit)
			if count > shared {
				return true // the bound only holds if all nodes are owners
			}
			return total <= count*((shared+count-missing-1)/(count-missing))
		}, serverNumber, limits, counts, counts))

	properties.TestingRun(t)
}

func TestOwnersAreInTheZoneOfTheServer(t *testing.T) {
	owners := membership.Owners(spec(1, 70), makeNodes(400))
	if len(owners) != membership.OwnersPerServer {
		t.Fatalf("%d owners, want %d", len(owners), membership.OwnersPerServer)
	}
	zones := make(map[string]string)
	for _, node := range makeNodes(400) {
		zones[node.ID] = node.Zone
	}
	for _, owner := range owners {
		if zones[owner.ID] != gossiptest.ZoneOf(1) {
			t.Fatalf("%s owns connections from %s", owner.ID, zones[owner.ID])
		}
		if owner.Share.Warm < 1 || owner.Share.Warm > owner.Share.Maximum {
			t.Fatalf("%s keeps %d of %d connections warm", owner.ID, owner.Share.Warm, owner.Share.Maximum)
		}
	}
}

func TestOwnershipIsSpreadEvenly(t *testing.T) {
	const servers, count = 1000, 100
	nodes := makeNodes(count)
	owned := make(map[string]int)
	for server := range servers {
		for _, owner := range membership.Owners(spec(server, 70), nodes) {
			owned[owner.ID]++
		}
	}
	mean := servers * membership.OwnersPerServer / count
	for id, number := range owned {
		if number < mean/2 || number > 2*mean {
			t.Fatalf("%s owns connections to %d servers, the mean is %d", id, number, mean)
		}
	}
}
