package membership_test

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/gossiptest"
	"github.com/banksail/banksail/membership/wire"
)

// newNodesWithPeer returns a node that knows one other node and is about to probe it.
func newNodesWithPeer(t *testing.T) (*membership.Nodes, membership.Member) {
	t.Helper()
	self := membership.Member{ID: "self", Address: "10.0.0.1:7300", Incarnation: 5}
	other := membership.Member{ID: "other", Address: "10.0.0.2:7300", Incarnation: 5, State: membership.Live}
	core := membership.NewNodes(membership.NodesOptions{Self: self, Seed: 1})
	core.Tick(0)
	core.Receive(0, other, nil)
	return core, other
}

// nextDirectProbe ticks until the node sends a direct probe, and returns the probe and
// its time.
func nextDirectProbe(t *testing.T, core *membership.Nodes, now time.Duration) (membership.Request, time.Duration) {
	t.Helper()
	for end := now + 5*time.Second; now < end; now += 100 * time.Millisecond {
		for _, request := range core.Tick(now) {
			if request.Kind == membership.DirectProbe {
				return request, now
			}
		}
	}
	t.Fatal("no direct probe")
	return membership.Request{}, 0
}

func TestProbeFailureDuringOwnPauseIsIgnored(t *testing.T) {
	core, other := newNodesWithPeer(t)
	request, now := nextDirectProbe(t, core, 0)
	core.Complete(now+time.Minute, membership.Result{ID: request.ID, Failed: true})
	if known, _ := core.Lookup(other.ID); known.State != membership.Live {
		t.Fatalf("after its own pause the node sees the other one as %v", known.State)
	}
}

func TestReplyFromOtherNodeAtSameAddress(t *testing.T) {
	core, other := newNodesWithPeer(t)
	request, now := nextDirectProbe(t, core, 0)
	stranger := membership.Member{ID: "new", Address: other.Address, Incarnation: 9, State: membership.Live}
	for _, indirect := range core.Complete(now, membership.Result{ID: request.ID, Responder: stranger}) {
		core.Complete(now, membership.Result{ID: indirect.ID, Failed: true})
	}
	if known, _ := core.Lookup(other.ID); known.State != membership.Suspect {
		t.Fatalf("the node whose address was taken over is %v", known.State)
	}
	if known, _ := core.Lookup("new"); known.State != membership.Live {
		t.Fatalf("the node that replied is %v", known.State)
	}
}

func TestGoneUpdateFromOtherNode(t *testing.T) {
	tests := map[string]struct{ known, want membership.State }{
		"of a live member":     {membership.Live, membership.Suspect},
		"of a suspect member":  {membership.Suspect, membership.Gone},
		"of a leaving member":  {membership.Leaving, membership.Gone},
		"of an unknown member": {0, membership.Gone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			core, other := newNodesWithPeer(t)
			third := membership.Member{ID: "third", Address: "10.0.0.3:7300", Incarnation: 5, State: test.known}
			core.Receive(0, other, []membership.Member{third})
			third.State = membership.Gone
			core.Receive(0, other, []membership.Member{third})
			if known, _ := core.Lookup("third"); known.State != test.want {
				t.Fatalf("the member is %v, want %v", known.State, test.want)
			}
		})
	}
}

func TestUpdatesAreOrderIndependent(t *testing.T) {
	updates := []membership.Member{
		{ID: "other", Address: "a:1", Incarnation: 7, State: membership.Live},
		{ID: "other", Address: "a:1", Incarnation: 6, State: membership.Gone},
		{ID: "other", Address: "a:1", Incarnation: 7, State: membership.Suspect, Revision: 2},
		{ID: "other", Address: "a:1", Incarnation: 5, State: membership.Leaving, Revision: 9},
	}
	for first := range updates {
		core, other := newNodesWithPeer(t)
		for i := range updates {
			core.Receive(0, membership.Member{ID: "x", Address: "x:1", State: membership.Live},
				updates[(first+i)%len(updates):][:1])
		}
		core.TakeChanges()
		core.Receive(0, membership.Member{ID: "x", Address: "x:1", State: membership.Live}, updates)
		if changes := core.TakeChanges(); len(changes) != 0 {
			t.Fatalf("outdated updates changed the table: %v", changes)
		}
		known, _ := core.Lookup(other.ID)
		if known.Incarnation != 7 || known.State != membership.Suspect || known.Revision != 2 {
			t.Fatalf("starting with update %d the result is %+v", first, known)
		}
	}
}

func TestInvalidUpdatesAreDropped(t *testing.T) {
	core, other := newNodesWithPeer(t)
	updates := []membership.Member{
		{ID: other.ID, Address: other.Address, Incarnation: membership.MaximumIncarnation + 1, State: membership.Gone},
		{ID: "no state", Address: "a:1", Incarnation: 1},
		{ID: "", Address: "a:1", Incarnation: 1, State: membership.Live},
	}
	core.Receive(0, other, updates)
	if got := core.Table(); len(got) != 2 {
		t.Fatalf("the table holds %v", got)
	}
	if known, _ := core.Lookup(other.ID); known.State != membership.Live {
		t.Fatalf("the other node is %v", known.State)
	}
}

func TestMessageAndTableLimits(t *testing.T) {
	core, other := newNodesWithPeer(t)
	for i := range 2 * membership.MaximumMembers {
		update := membership.Member{ID: gossiptest.NodeID(i), Address: gossiptest.AddressOf(i), Incarnation: 1, State: membership.Live}
		core.Receive(0, other, []membership.Member{update})
	}
	if size := len(core.Table()); size > membership.MaximumMembers+1 {
		t.Fatalf("the table holds %d members", size)
	}
	_, updates := core.Receive(0, other, nil)
	size := 0
	for _, update := range wire.FromMembers(updates) {
		size += proto.Size(update)
	}
	if len(updates) > membership.MaximumUpdates || size > membership.MaximumUpdateBytes {
		t.Fatalf("%d updates of %d bytes in a message", len(updates), size)
	}
	reply := core.ReceiveSync(0, other, nil, 0)
	if len(reply.Members) > membership.MaximumSyncMembers || !reply.More {
		t.Fatalf("%d members in a sync reply, more: %v", len(reply.Members), reply.More)
	}
}

func TestProbeRoundsCoverAllMembersInNewOrder(t *testing.T) {
	const others = 10
	core, _ := newNodesWithPeer(t)
	for i := range others - 1 {
		sender := membership.Member{ID: gossiptest.NodeID(i), Address: gossiptest.AddressOf(i), Incarnation: 1, State: membership.Live}
		core.Receive(0, sender, nil)
	}
	var rounds [2][]string
	now := time.Duration(0)
	for round := range rounds {
		for range others {
			var request membership.Request
			request, now = nextDirectProbe(t, core, now)
			rounds[round] = append(rounds[round], request.To.ID)
			core.Complete(now, membership.Result{ID: request.ID, Responder: request.To})
		}
		if sorted := slices.Compact(slices.Sorted(slices.Values(rounds[round]))); len(sorted) != others {
			t.Fatalf("a round probed %v", rounds[round])
		}
	}
	if slices.Equal(rounds[0], rounds[1]) {
		t.Fatal("two rounds probed the members in the same order")
	}
}

func TestLargeTableSyncIsPaginated(t *testing.T) {
	const size = 1000
	s := newJoinedSimulation(t, 2, 13)
	for i := 2; i < size; i++ {
		update := membership.Member{ID: gossiptest.NodeID(i), Address: "10.9.9.9:1", Incarnation: 1, State: membership.Leaving}
		s.Nodes[0].Core.Receive(s.Now, s.Nodes[1].Core.Self(), []membership.Member{update})
	}
	passes, bucket := 1, 0
	reply := s.Nodes[0].Core.ReceiveSync(s.Now, s.Nodes[1].Core.Self(), nil, bucket)
	seen := len(reply.Members)
	for ; reply.More; passes++ {
		if passes > size/membership.MaximumSyncMembers+2 {
			t.Fatalf("sync is not complete after %d replies", passes)
		}
		bucket = reply.NextBucket
		reply = s.Nodes[0].Core.ReceiveSync(s.Now, s.Nodes[1].Core.Self(), nil, bucket)
		seen += len(reply.Members)
	}
	if seen != size {
		t.Fatalf("sync returned %d of %d members", seen, size)
	}
}
