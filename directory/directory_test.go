package directory_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/banksail/banksail/directory"
	"github.com/banksail/banksail/discovery"
)

func node(name, zone, region string) discovery.Node {
	return discovery.Node{ID: name, Address: name, Zone: zone, Region: region}
}

func TestAddresses(t *testing.T) {
	a1, a2, b1, b2, c1, remote := node("a1", "a", "r"), node("a2", "a", "r"), node("b1", "b", "r"), node("b2", "b", "r"),
		node("c1", "c", "r"), node("far", "z", "other")
	a3 := node("a3", "a", "r")
	unable := func(n discovery.Node) discovery.Node { n.Unable = true; return n }
	suspect := func(n discovery.Node) discovery.Node { n.Suspect = true; return n }
	leaving := func(n discovery.Node) discovery.Node { n.Leaving = true; return n }
	all := []discovery.Node{a1, a2, b1, b2, c1, remote}
	everywhere := directory.Presence{"a": 1, "b": 1, "c": 1, "z": 1}
	for name, test := range map[string]struct {
		nodes    []discovery.Node
		presence directory.Presence
		caller   directory.Caller
		want     []string
	}{
		"also for a zone of one node":       {all, everywhere, directory.Caller{Zone: "c", Region: "r"}, []string{"a1", "a2", "b1", "b2", "c1"}},
		"a region of one node":              {all, everywhere, directory.Caller{Zone: "z", Region: "other"}, []string{"a1", "a2", "b1", "b2", "c1", "far"}},
		"a zone without servers":            {all, directory.Presence{"a": 1, "b": 0.9, "c": 0.1, "z": 1}, directory.Caller{Zone: "c", Region: "r"}, []string{"a1", "a2", "b1", "b2"}},
		"nothing is known of the servers":   {all, nil, directory.Caller{Zone: "c", Region: "r"}, []string{"a1", "a2", "b1", "b2", "c1"}},
		"leaving nodes are left out":        {[]discovery.Node{leaving(a1), a2, b1}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"a2", "b1"}},
		"only leaving nodes":                {[]discovery.Node{leaving(a1)}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"a1"}},
		"an unknown zone":                   {[]discovery.Node{a1, b1}, everywhere, directory.Caller{}, []string{"a1", "b1"}},
		"servers only where no nodes stand": {all, directory.Presence{"q": 1}, directory.Caller{Zone: "c", Region: "r"}, []string{"a1", "a2", "b1", "b2", "c1"}},
		"unable nodes are left out":         {[]discovery.Node{unable(a1), a2, b1, b2, c1}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"b1", "b2", "c1"}},
		"one unable node of many":           {[]discovery.Node{unable(a1), a2, a3, b1}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"a2", "a3", "b1"}},
		"suspects rather than unable nodes": {[]discovery.Node{unable(a1), unable(a2), suspect(b1), suspect(c1)}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"b1", "c1"}},
		"suspects are left out":             {[]discovery.Node{a1, suspect(a2), b1}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"a1", "b1"}},
		"one other zone looks dead":         {[]discovery.Node{unable(a1), unable(a2), suspect(b1), suspect(b2)}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"a1", "a2"}},
		"only unable nodes":                 {[]discovery.Node{unable(a1), unable(b1)}, everywhere, directory.Caller{Zone: "a", Region: "r"}, []string{"a1", "b1"}},
		"homes elsewhere":                   {all, everywhere, directory.Caller{Zone: "z", Region: "other", Homes: []string{"r"}}, []string{"a1", "a2", "b1", "b2", "c1", "far"}},
		"homes in the own region":           {all, everywhere, directory.Caller{Zone: "c", Region: "r", Homes: []string{"r"}}, []string{"a1", "a2", "b1", "b2", "c1"}},
		"no node may serve the homes":       {all, everywhere, directory.Caller{Region: "third", Homes: []string{"fourth"}}, []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := directory.Addresses(test.nodes, test.presence, test.caller, 64); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestAddressesAreBounded(t *testing.T) {
	var nodes []discovery.Node
	for number := range 200 {
		nodes = append(nodes, node(fmt.Sprintf("n%03d", number), "a", "r"))
	}
	returned := make(map[string]bool)
	for range 100 {
		got := directory.Addresses(nodes, nil, directory.Caller{Zone: "a", Region: "r"}, 64)
		if len(got) != 64 {
			t.Fatalf("got %d addresses, want 64", len(got))
		}
		for _, address := range got {
			returned[address] = true
		}
	}
	if len(returned) != len(nodes) {
		t.Errorf("answers contain %d of %d nodes", len(returned), len(nodes))
	}
}

func TestServingNodesFollowConnectionLimit(t *testing.T) {
	var nodes []discovery.Node
	for number := range 90 {
		nodes = append(nodes, node(fmt.Sprintf("n%03d", number), []string{"a", "b", "c"}[number%3], "r"))
	}
	if got := directory.ServingNodes(nodes[:20], 20, 0); len(got) != 20 {
		t.Errorf("%d of 20 nodes serve with 20 connections per server, want 20", len(got))
	}
	serving := directory.ServingNodes(nodes, 20, 0)
	zones := make(map[string]int)
	for _, n := range serving {
		zones[n.Zone]++
	}
	if len(serving) != 20 || zones["a"] < 6 || zones["b"] < 6 || zones["c"] < 6 {
		t.Errorf("%d nodes serve, by zone %v; want 20, at least 6 in each zone", len(serving), zones)
	}
	for connections, want := range map[int]int{8: 8, 4: 4, 1: 3} {
		if got := directory.ServingNodes(nodes[:9], connections, 0); len(got) != want {
			t.Errorf("%d of 9 nodes serve with %d connections per server, want %d", len(got), connections, want)
		}
	}
	// Leaving nodes keep their connections to servers until they have ended.
	withLeaving := slices.Clone(nodes[:9])
	leavingNodes := directory.ServingNodes(withLeaving, 6, 0)[:2]
	for i, n := range withLeaving {
		withLeaving[i].Leaving = slices.Contains(leavingNodes, n)
	}
	if got := directory.ServingNodes(withLeaving, 6, 0); len(got) != 4 || slices.ContainsFunc(got, func(n discovery.Node) bool { return n.Leaving }) {
		t.Errorf("%d nodes serve besides two leaving ones, with 6 connections per server; want 4, none of them leaving", len(got))
	}
	remaining := slices.DeleteFunc(slices.Clone(nodes), func(n discovery.Node) bool { return n.ID == serving[0].ID })
	stillServing := 0
	for _, n := range directory.ServingNodes(remaining, 20, 0) {
		if slices.Contains(serving, n) {
			stillServing++
		}
	}
	if stillServing != 19 {
		t.Errorf("after the loss of one node, %d of the other 19 still serve; want all", stillServing)
	}
}

func TestCapableNodesServe(t *testing.T) {
	var nodes []discovery.Node
	for number := range 40 {
		n := node(fmt.Sprintf("n%03d", number), []string{"a", "b", "c", "d"}[number%4], "r")
		n.Capacity = 0.2
		if number < 8 {
			n.Capacity = 0.8
		}
		nodes = append(nodes, n)
	}
	countCapable := func(serving []discovery.Node) int {
		return len(slices.DeleteFunc(slices.Clone(serving), func(n discovery.Node) bool { return n.Capacity < 0.5 }))
	}
	serving := directory.ServingNodes(nodes, 50, 0)
	if len(serving) != 8 || countCapable(serving) != 8 {
		t.Errorf("%d nodes serve, %d of them capable; want the 8 capable ones", len(serving), countCapable(serving))
	}
	remaining := slices.DeleteFunc(slices.Clone(nodes), func(n discovery.Node) bool { return n.Capacity > 0.5 && n.Zone == "a" })
	serving = directory.ServingNodes(remaining, 50, 0)
	if len(serving) != 8 || countCapable(serving) != 6 {
		t.Errorf("with no capable nodes in one zone, %d nodes serve, %d of them capable; want 8 and 6", len(serving), countCapable(serving))
	}
	busy := slices.Clone(nodes)
	busy[30].Busy = true
	if serving = directory.ServingNodes(busy, 50, 0); len(serving) != 8 {
		t.Errorf("with a busy node that does not serve, %d nodes serve; want 8", len(serving))
	}
	busy[3].Busy = true
	if serving = directory.ServingNodes(busy, 50, 0); len(serving) != 40 {
		t.Errorf("with a busy capable node, %d of 40 nodes serve; want all", len(serving))
	}
	if serving = directory.ServingNodes(busy, 20, 0); len(serving) != 20 || countCapable(serving) != 8 {
		t.Errorf("with a busy capable node and 20 connections per server, %d nodes serve, %d of them capable; want 20 and 8", len(serving), countCapable(serving))
	}
}

// A caller receives the nodes of its own zone first, followed by one node each of two other zones
// of its region, sampled again for each answer.
func TestAddressesOfOtherZones(t *testing.T) {
	var nodes []discovery.Node
	for _, zone := range []string{"a", "b", "c", "d"} {
		nodes = append(nodes, node(zone+"1", zone, "r"), node(zone+"2", zone, "r"))
	}
	nodes = append(nodes, node("far", "z", "other"))
	counts := make(map[string]int)
	for range 200 {
		got := directory.Addresses(nodes, nil, directory.Caller{Zone: "a", Region: "r"}, 64)
		if len(got) != 4 || got[0] != "a1" || got[1] != "a2" || got[2][0] == got[3][0] || got[2][0] == 'a' || got[3][0] == 'a' {
			t.Fatalf("got %v, want a1, a2 and one node each of two other zones", got)
		}
		counts[got[2]]++
		counts[got[3]]++
	}
	for _, name := range []string{"b1", "b2", "c1", "c2", "d1", "d2"} {
		if counts[name] < 30 {
			t.Errorf("%s is in %d of 200 answers, want at least 30", name, counts[name])
		}
	}
	if counts["far"] > 0 {
		t.Error("an answer contains a node of another region")
	}
}

// However many nodes the caller's own zone has, at least a third of the returned addresses are in
// other zones. They are all that the caller has left when its zone fails, until a look-up succeeds.
func TestAddressesIncludeOtherZones(t *testing.T) {
	const own, others = 15, 3
	var nodes []discovery.Node
	presence := directory.Presence{"a": 1}
	for number := range own {
		nodes = append(nodes, node(fmt.Sprintf("a%d", number), "a", "r"))
	}
	for zone := range others {
		name := fmt.Sprintf("other-%d", zone)
		presence[name] = 1
		for number := range own {
			nodes = append(nodes, node(fmt.Sprintf("%s-%d", name, number), name, "r"))
		}
	}
	addresses := directory.Addresses(nodes, presence, directory.Caller{Zone: "a", Region: "r"}, 64)
	otherZone := 0
	for _, address := range addresses {
		if address[0] != 'a' {
			otherZone++
		}
	}
	if 3*otherZone < len(addresses) {
		t.Errorf("%d of %d addresses are in other zones, want at least a third", otherZone, len(addresses))
	}
}
