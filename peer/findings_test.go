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
			t.Errorf("%d of %d nodes know the leaving after a second", known, count)
		}
		time.Sleep(2 * time.Second)
		if known := countLeaving(); known != count {
			t.Errorf("%d of %d nodes know the leaving after three seconds", known, count)
		}
		mutex.Lock()
		defer mutex.Unlock()
		if notified[ids[0]] || len(notified) != count-1 {
			t.Errorf("%d nodes are to read the server, the one that found it among them: %t", len(notified), notified[ids[0]])
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
		t.Error("too many findings were taken")
	}
	if agent.serverState("s1") != membership.Live {
		t.Error("a refused message had an effect")
	}
}
