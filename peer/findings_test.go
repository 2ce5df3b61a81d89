package peer

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banksail/banksail/membership"
)

func TestFindingsReachNearlyAllNodesWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 24
		var ids []string
		for index := range count {
			ids = append(ids, fmt.Sprintf("n%02d", index))
		}
		nodes := startNodes(t, newMemoryNetwork(), ids...)
		defer stopNodes(nodes)
		var mutex sync.Mutex
		notified := make(map[string]bool)
		for id, node := range nodes {
			node.agent.SubscribeUnverified(func(string) {
				mutex.Lock()
				defer mutex.Unlock()
				notified[id] = true
			})
		}
		time.Sleep(20 * time.Second)
		report := membership.ServerReport{Source: membership.FromHealth, Condition: membership.ServerAnswered, Incarnation: "a"}
		for _, node := range nodes {
			node.agent.ReportServer("s1", report)
		}
		report.Condition = membership.ServerDraining
		nodes[ids[0]].agent.ReportServer("s1", report)
		countLeaving := func() int {
			known := 0
			for _, node := range nodes {
				if node.agent.serverState("s1") == membership.Leaving {
					known++
				}
			}
			return known
		}
		time.Sleep(time.Second)
		if known := countLeaving(); known < count*9/10 {
			t.Errorf("%d of %d nodes know after 1 s that the server is leaving, want at least 9 in 10", known, count)
		}
		time.Sleep(2 * time.Second)
		if known := countLeaving(); known != count {
			t.Errorf("%d of %d nodes know after 3 s that the server is leaving, want all", known, count)
		}
		mutex.Lock()
		defer mutex.Unlock()
		if notified[ids[0]] || len(notified) != count-1 {
			t.Errorf("%d nodes were asked to verify the server (the finder among them: %t), want all but the finder", len(notified), notified[ids[0]])
		}
	})
}

func TestPushOfTooManyFindingsIsRejected(t *testing.T) {
	agent := NewAgent(AgentOptions{Self: member("n1")})
	findings := make([]*ServerFinding, membership.MaximumServerFindings+1)
	for index := range findings {
		findings[index] = &ServerFinding{Id: "s1", Incarnation: "a", Leaving: true}
	}
	if _, err := (service{agent: agent}).PushServerFindings(t.Context(), &ServerFindings{Findings: findings}); err == nil {
		t.Error("a message with too many findings was accepted")
	}
	if agent.serverState("s1") != membership.Live {
		t.Error("a rejected message changed the server's state")
	}
}
