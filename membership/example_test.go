package membership_test

import (
	"fmt"
	"time"

	"github.com/banksail/banksail/membership"
)

// Two state machines, driven by hand: the owner delivers each request to the other one
// and reports the reply.
func ExampleNodes() {
	first := membership.NewNodes(membership.NodesOptions{
		Self: membership.Member{ID: "first", Address: "10.0.0.1:7300", Incarnation: 1},
		Seed: 1,
	})
	second := membership.NewNodes(membership.NodesOptions{
		Self: membership.Member{ID: "second", Address: "10.0.0.2:7300", Incarnation: 1},
		Seed: 2,
	})
	first.ObserveList([]membership.ListedNode{{ID: "second", Address: "10.0.0.2:7300"}})

	now := time.Duration(0)
	for _, request := range first.Tick(now) {
		responder, updates := second.Receive(now, request.Sender, request.Updates)
		first.Complete(now, membership.Result{ID: request.ID, Responder: responder, Updates: updates})
	}
	for _, member := range first.Members() {
		fmt.Println(member.ID, member.State)
	}
	// Output:
	// first live
	// second live
}

// A server's own report that it is draining takes precedence over the machine list,
// which still names it as live.
func ExampleServers() {
	servers := membership.NewServers(membership.ServersOptions{})
	servers.Report(0, "search-1", membership.ServerReport{
		Source:      membership.FromHealth,
		Condition:   membership.ServerDraining,
		Incarnation: "a",
	})
	servers.ObserveList(time.Second, []membership.ListedServer{{ID: "search-1", Incarnation: "a"}})
	fmt.Println(servers.State("search-1"))

	servers.Report(2*time.Second, "search-1", membership.ServerReport{
		Source:      membership.FromHealth,
		Condition:   membership.ServerAnswered,
		Incarnation: "b",
	})
	fmt.Println(servers.State("search-1"))
	// Output:
	// leaving
	// live
}

func ExampleOwnerShare() {
	nodes := []membership.Member{
		{ID: "node-1", Zone: "a", State: membership.Live},
		{ID: "node-2", Zone: "b", State: membership.Live},
		{ID: "node-3", Zone: "c", State: membership.Live},
	}
	server := membership.ServerSpec{ID: "search-1", Zone: "a", Limit: 70}
	sum := 0
	for _, node := range nodes {
		share := membership.OwnerShare(node.ID, server, nodes)
		sum += share.Maximum
	}
	fmt.Println(sum, "of", server.Limit, "connections are shared out")
	// Output: 63 of 70 connections are shared out
}
