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

// serverSpec returns a server whose connections the nodes of the cluster
// share.
func serverSpec(server int) membership.ServerSpec {
	return membership.ServerSpec{ID: serverID(server), Zone: "zone-a", Limit: serverConnectionLimit}
}

// members returns the member table, which is the same on all nodes of the
// cluster.
func (c *cluster) members() []membership.Member {
	var members []membership.Member
	for index, n := range c.nodes {
		members = append(members, membership.Member{ID: n.id, Zone: zoneOf(index), State: membership.Live})
	}
	return members
}

// requesterAndOwner returns a node that owns no connection to a server, and the
// owner that it tries first.
func (c *cluster) requesterAndOwner(server int) (requester, owner *clusterNode) {
	c.t.Helper()
	members := c.members()
	for index, n := range c.nodes {
		if membership.OwnerShare(n.id, serverSpec(server), members).Maximum > 0 {
			continue
		}
		first := membership.ForwardOwners(members[index], serverSpec(server), members)[0]
		for _, other := range c.nodes {
			if other.id == first.ID {
				return n, other
			}
		}
	}
	c.t.Fatal("every node owns a connection to the server")
	return nil, nil
}

// killNode ends a node without a planned stop and resets its connections.
func (c *cluster) killNode(n *clusterNode) {
	c.network.Kill(n.ip, network.KillReset)
	n.node.Abort()
	<-n.ended
	n.ended <- nil
}

// startNodeQuery sends a request in the background and returns once the servers
// execute it.
func (c *cluster) startNodeQuery(ctx context.Context, n *clusterNode, requestID string, repeatable bool) <-chan response {
	result := make(chan response, 1)
	go func() { result <- c.queryNodeWithDeadline(ctx, n, requestID, repeatable, 10*time.Second) }()
	time.Sleep(deliveryTime)
	return result
}

// maxExecutions returns the highest number of executions of a request by a
// single server.
func (c *cluster) maxExecutions(requestID string) int {
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

// expectUnknown checks that a response leaves open whether the request ran,
// either entirely ("unknown") or on one of the servers ("partial").
func expectUnknown(t *testing.T, got response) {
	t.Helper()
	if got.status == http.StatusOK || got.problem.Execution != "unknown" && got.problem.Execution != "partial" {
		t.Errorf("got %d %+v, want an unknown or partial execution", got.status, got.problem)
	}
}

func (c *cluster) delayAllServers(duration time.Duration) {
	for index := range c.servers {
		c.delayServer(index, duration)
	}
}

// expectComplete checks that every node gives a complete answer, with the
// listed exceptions.
func (c *cluster) expectComplete(name string, but ...*clusterNode) {
	c.t.Helper()
	for _, n := range c.nodes {
		if slices.Contains(but, n) {
			continue
		}
		if got := c.queryNode(n, name+n.id, true); got.status != http.StatusOK {
			c.t.Errorf("%s: %s: %d %+v %v", name, n.id, got.status, got.problem, got.err)
		}
	}
}

func TestOwnerCrashesDuringNonRepeatableForward(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		requester, owner := c.requesterAndOwner(0)
		c.delayAllServers(time.Second)
		result := c.startNodeQuery(t.Context(), requester, "once", false)
		if c.maxExecutions("once") != 1 {
			t.Fatal("no server has started to execute the request")
		}
		c.killNode(owner)
		got := <-result
		expectUnknown(t, got)
		time.Sleep(10 * time.Second)
		if most := c.maxExecutions("once"); most != 1 {
			t.Errorf("a server executed the request %d times", most)
		}
		c.delayAllServers(serviceTime * time.Millisecond)
		c.expectComplete("later-", owner)
	})
}

func TestOwnerCrashesDuringRepeatableForward(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		requester, owner := c.requesterAndOwner(0)
		c.delayAllServers(time.Second)
		result := c.startNodeQuery(t.Context(), requester, "again", true)
		c.killNode(owner)
		if got := <-result; got.status != http.StatusOK {
			t.Errorf("got %d %+v", got.status, got.problem)
		}
	})
}

func TestOwnerFreezesDuringForwards(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		requester, owner := c.requesterAndOwner(0)
		c.delayAllServers(300 * time.Millisecond)
		result := c.startNodeQuery(t.Context(), requester, "once", false)
		c.network.Freeze(owner.ip)
		expectUnknown(t, <-result)
		time.Sleep(10 * time.Second)
		c.expectComplete("frozen-", owner)
		c.network.Thaw(owner.ip)
		time.Sleep(10 * time.Second)
		c.expectComplete("thawed-")
		if most := c.maxExecutions("once"); most > 1 {
			t.Errorf("a server executed the request %d times", most)
		}
	})
}

func TestOwnerLeavesDuringForwards(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		requester, owner := c.requesterAndOwner(0)
		c.delayAllServers(4 * time.Second)
		result := c.startNodeQuery(t.Context(), requester, "once", false)
		c.delayAllServers(serviceTime * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			c.stopNode(owner)
			close(stopped)
		}()
		for round := 0; ; round++ {
			// The requester is excluded: the running query occupies its one
			// slot at each server.
			c.expectComplete(fmt.Sprintf("leaving-%d-", round), owner, requester)
			select {
			case <-stopped:
			case <-time.After(50 * time.Millisecond):
				continue
			}
			break
		}
		if got := <-result; got.status != http.StatusOK {
			t.Errorf("forward in flight: %d %+v", got.status, got.problem)
		}
		c.expectComplete("gone-", owner)
	})
}

func TestServerDrainsDuringForward(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		requester, _ := c.requesterAndOwner(0)
		c.delayAllServers(time.Second)
		result := c.startNodeQuery(t.Context(), requester, "once", false)
		faults := c.servers[0].Faults()
		faults.Draining = true
		c.servers[0].SetFaults(faults)
		if got := <-result; got.status != http.StatusOK {
			t.Errorf("forward in flight: %d %+v", got.status, got.problem)
		}
		time.Sleep(settleTime)
		before := len(c.servers[0].Executions())
		for round := range 5 {
			if got := c.queryNode(requester, fmt.Sprintf("after-%d", round), false); got.problem.Execution == "unknown" {
				t.Errorf("after the drain: %d %+v, want a known execution", got.status, got.problem)
			}
		}
		if sent := len(c.servers[0].Executions()) - before; sent > 0 {
			t.Errorf("%d sub-requests reached the draining server", sent)
		}
	})
}

func TestCancelledForwardIsCancelledAtServer(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		requester, _ := c.requesterAndOwner(0)
		c.delayAllServers(8 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		result := c.startNodeQuery(ctx, requester, "given-up", true)
		if c.maxExecutions("given-up") == 0 {
			t.Fatal("no server has started to execute the request")
		}
		cancel()
		<-result
		time.Sleep(time.Second)
		for _, server := range c.servers {
			for _, execution := range server.Executions() {
				if execution.RequestID == "given-up" && execution.Outcome != "ended during execution" {
					t.Errorf("%s: execution not cancelled: %+v", execution.Server, execution)
				}
			}
		}
	})
}
