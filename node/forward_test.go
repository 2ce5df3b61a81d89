package node_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/network"
	"github.com/banksail/banksail/membership"
)

// place is a server whose connections the crowd shares.
func place(server int) membership.ServerPlace {
	return membership.ServerPlace{ID: serverID(server), Zone: "zone-a", Limit: crowdLimit}
}

// members is the table that all nodes of the crowd have.
func (c *crowd) members() []membership.Member {
	var members []membership.Member
	for index, one := range c.nodes {
		members = append(members, membership.Member{ID: one.id, Zone: zoneOf(index), State: membership.Live})
	}
	return members
}

// pair returns a node that owns no connection to a server, and its first owner.
func (c *crowd) pair(server int) (requester, owner *crowdNode) {
	c.t.Helper()
	members := c.members()
	for index, one := range c.nodes {
		if membership.OwnerShare(one.id, place(server), members).Maximum > 0 {
			continue
		}
		first := membership.ForwardOwners(members[index], place(server), members)[0]
		for _, other := range c.nodes {
			if other.id == first.ID {
				return one, other
			}
		}
	}
	c.t.Fatal("every node is an owner")
	return nil, nil
}

// kill ends a node without notice.
func (c *crowd) kill(one *crowdNode) {
	c.network.Kill(one.ip, network.KillReset)
	one.node.Abort()
	<-one.ended
	one.ended <- nil
}

// begin asks in the background and returns once servers run the request.
func (c *crowd) begin(ctx context.Context, one *crowdNode, requestID string, repeatable bool) <-chan response {
	result := make(chan response, 1)
	go func() { result <- c.askWithin(ctx, one, requestID, repeatable, 10*time.Second) }()
	time.Sleep(delivery)
	return result
}

// mostExecutions is the greatest number of times that one server ran a request.
func (c *crowd) mostExecutions(requestID string) int {
	most := 0
	for _, server := range c.servers {
		count := 0
		for _, execution := range server.Executions() {
			if execution.RequestID == requestID && execution.Executed {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// wantUnknown wants an answer that leaves open whether the request ran: as a
// whole, or at one of the servers.
func wantUnknown(t *testing.T, got response) {
	t.Helper()
	if got.status == http.StatusOK || got.problem.Execution != "unknown" && got.problem.Execution != "partial" {
		t.Errorf("got %d %+v, want an execution that is unknown", got.status, got.problem)
	}
}

func (c *crowd) straggleAll(duration time.Duration) {
	for index := range c.servers {
		c.straggle(index, duration)
	}
}

// wantAll wants a complete answer from every node but some.
func (c *crowd) wantAll(name string, but ...*crowdNode) {
	c.t.Helper()
	for _, one := range c.nodes {
		if slices.Contains(but, one) {
			continue
		}
		if got := c.ask(one, name+one.id, true); got.status != http.StatusOK {
			c.t.Errorf("%s: %s: %d %+v %v", name, one.id, got.status, got.problem, got.err)
		}
	}
}

func TestOwnerDiesWithANotRepeatableForward(t *testing.T) {
	inCrowd(t, func(t *testing.T, c *crowd) {
		requester, owner := c.pair(0)
		c.straggleAll(time.Second)
		asked := c.begin(t.Context(), requester, "once", false)
		if c.mostExecutions("once") != 1 {
			t.Fatal("the request does not run yet")
		}
		c.kill(owner)
		got := <-asked
		wantUnknown(t, got)
		time.Sleep(10 * time.Second)
		if most := c.mostExecutions("once"); most != 1 {
			t.Errorf("a server ran it %d times", most)
		}
		c.straggleAll(serviceTime * time.Millisecond)
		c.wantAll("later-", owner)
	})
}

func TestOwnerDiesWithARepeatableForward(t *testing.T) {
	inCrowd(t, func(t *testing.T, c *crowd) {
		requester, owner := c.pair(0)
		c.straggleAll(time.Second)
		asked := c.begin(t.Context(), requester, "again", true)
		c.kill(owner)
		if got := <-asked; got.status != http.StatusOK {
			t.Errorf("got %d %+v", got.status, got.problem)
		}
	})
}

func TestOwnerFreezesWithForwards(t *testing.T) {
	inCrowd(t, func(t *testing.T, c *crowd) {
		requester, owner := c.pair(0)
		c.straggleAll(300 * time.Millisecond)
		once := c.begin(t.Context(), requester, "once", false)
		c.network.Freeze(owner.ip)
		wantUnknown(t, <-once)
		time.Sleep(10 * time.Second)
		c.wantAll("frozen-", owner)
		c.network.Thaw(owner.ip)
		time.Sleep(10 * time.Second)
		c.wantAll("thawed-")
		if most := c.mostExecutions("once"); most > 1 {
			t.Errorf("a server ran it %d times", most)
		}
	})
}

func TestOwnerLeavesWithForwards(t *testing.T) {
	inCrowd(t, func(t *testing.T, c *crowd) {
		requester, owner := c.pair(0)
		c.straggleAll(4 * time.Second)
		once := c.begin(t.Context(), requester, "once", false)
		c.straggleAll(serviceTime * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			c.endNode(owner)
			close(stopped)
		}()
		for round := 0; ; round++ {
			// The requester has its one place at each server taken.
			c.wantAll(fmt.Sprintf("leaving-%d-", round), owner, requester)
			select {
			case <-stopped:
			case <-time.After(50 * time.Millisecond):
				continue
			}
			break
		}
		if got := <-once; got.status != http.StatusOK {
			t.Errorf("the forward that ran: %d %+v", got.status, got.problem)
		}
		c.wantAll("gone-", owner)
	})
}

func TestServerDrainsBehindAnOwner(t *testing.T) {
	inCrowd(t, func(t *testing.T, c *crowd) {
		requester, _ := c.pair(0)
		c.straggleAll(time.Second)
		once := c.begin(t.Context(), requester, "once", false)
		faults := c.servers[0].Faults()
		faults.Draining = true
		c.servers[0].SetFaults(faults)
		if got := <-once; got.status != http.StatusOK {
			t.Errorf("the forward that ran: %d %+v", got.status, got.problem)
		}
		time.Sleep(settle)
		before := len(c.servers[0].Executions())
		for round := range 5 {
			if got := c.ask(requester, fmt.Sprintf("after-%d", round), false); got.problem.Execution == "unknown" {
				t.Errorf("after the drain: %d %+v", got.status, got.problem)
			}
		}
		if sent := len(c.servers[0].Executions()) - before; sent > 0 {
			t.Errorf("%d sub-requests reached the draining server", sent)
		}
	})
}

func TestCancelledForwardIsCancelledAtTheServer(t *testing.T) {
	inCrowd(t, func(t *testing.T, c *crowd) {
		requester, _ := c.pair(0)
		c.straggleAll(8 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		asked := c.begin(ctx, requester, "given-up", true)
		if c.mostExecutions("given-up") == 0 {
			t.Fatal("the request does not run yet")
		}
		cancel()
		<-asked
		time.Sleep(time.Second)
		for _, server := range c.servers {
			for _, execution := range server.Executions() {
				if execution.RequestID == "given-up" && execution.Outcome != "ended during execution" {
					t.Errorf("%s: %+v", execution.Server, execution)
				}
			}
		}
	})
}
