package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
)

// serverStep is an observation at a point in time.
type serverStep struct {
	at     time.Duration
	report membership.ServerReport
	list   []membership.ListedServer
}

const server = "s1"

func answered(incarnation string) membership.ServerReport {
	return membership.ServerReport{
		Source: membership.FromHealth, Condition: membership.ServerAnswered, Incarnation: incarnation,
	}
}

func draining(incarnation string) membership.ServerReport {
	return membership.ServerReport{
		Source: membership.FromHealth, Condition: membership.ServerDraining, Incarnation: incarnation,
	}
}

var (
	drainReply  = membership.ServerReport{Source: membership.FromReply, Condition: membership.ServerDraining}
	reply       = membership.ServerReport{Source: membership.FromReply, Condition: membership.ServerAnswered}
	unreachable = membership.ServerReport{Source: membership.FromConnect, Condition: membership.ServerUnreachable}
)

func listLive(incarnation string) []membership.ListedServer {
	return []membership.ListedServer{{ID: server, Incarnation: incarnation}}
}

func listLeaving(incarnation string) []membership.ListedServer {
	return []membership.ListedServer{{ID: server, Leaving: true, Incarnation: incarnation}}
}

var listOfOthers = []membership.ListedServer{{ID: "s2"}}

// connectFailures returns one connect failure per second.
func connectFailures(from, to time.Duration) []serverStep {
	var steps []serverStep
	for at := from; at <= to; at += time.Second {
		steps = append(steps, serverStep{at: at, report: unreachable})
	}
	return steps
}

func TestServerStates(t *testing.T) {
	late := drainReply
	late.Age = 5 * time.Second
	tests := map[string]struct {
		steps []serverStep
		want  membership.State
	}{
		"drain reply first": {[]serverStep{{at: 1, report: drainReply}, {at: 2, list: listLive("a")}}, membership.Leaving},
		"health first":      {[]serverStep{{at: 1, report: draining("a")}, {at: 2, list: listLive("a")}}, membership.Leaving},
		"machine list first": {
			[]serverStep{{at: 1, list: listLeaving("a")}, {at: 2, report: answered("a")}}, membership.Leaving,
		},
		"machine list without incarnations first": {
			[]serverStep{{at: 1, list: listLeaving("")}, {at: 2, report: reply}}, membership.Leaving,
		},
		"leaving sticks against an endpoint that lags": {
			[]serverStep{{at: 1, report: drainReply}, {at: 2, report: answered("a")}, {at: 3, report: reply}},
			membership.Leaving,
		},
		"a new incarnation is live": {
			[]serverStep{{at: 1, report: draining("a")}, {at: 2, report: answered("b")}}, membership.Live,
		},
		"a late account of the old incarnation": {
			[]serverStep{{at: 1, report: draining("a")}, {at: 2, report: answered("b")}, {at: 3, report: draining("a")}},
			membership.Live,
		},
		"a late drain reply of the old incarnation": {
			[]serverStep{
				{at: 1, report: draining("a")}, {at: 2 * time.Second, report: answered("b")},
				{at: 3 * time.Second, report: late},
			},
			membership.Live,
		},
		"a late drain reply whose age is not told": {
			[]serverStep{
				{at: 1, report: draining("a")}, {at: 2 * time.Second, report: answered("b")},
				{at: 3 * time.Second, report: drainReply},
			},
			membership.Live,
		},
		"a drain reply of the new incarnation": {
			[]serverStep{
				{at: 1, report: draining("a")}, {at: 2 * time.Second, report: answered("b")},
				{at: 5 * time.Second, report: drainReply},
			},
			membership.Leaving,
		},
		"a lagging list names the old incarnation as leaving": {
			[]serverStep{{at: 1, report: draining("a")}, {at: 2, report: answered("b")}, {at: 3, list: listLeaving("a")}},
			membership.Live,
		},
		"a lying list names a strange incarnation as leaving": {
			[]serverStep{{at: 1, report: answered("b")}, {at: 2, list: listLeaving("z")}}, membership.Live,
		},
		"an older list names the incarnation before as leaving": {
			[]serverStep{{at: 1, list: listLive("a")}, {at: 2, list: listLive("b")}, {at: 3, list: listLeaving("a")}},
			membership.Live,
		},
		"a list without the server": {
			[]serverStep{{at: 1, list: listLive("a")}, {at: 2, report: reply}, {at: 3, list: listOfOthers}}, membership.Live,
		},
		"an empty list": {
			[]serverStep{{at: 1, list: listLive("a")}, {at: 2, list: []membership.ListedServer{}}}, membership.Live,
		},
		"a few failures": {connectFailures(0, 4*time.Second), membership.Suspect},
		"an answer after failures": {
			append(connectFailures(0, 4*time.Second), serverStep{at: 5 * time.Second, report: reply}), membership.Live,
		},
		"long failures of a listed server": {
			append([]serverStep{{at: 0, list: listLive("a")}}, connectFailures(0, 2*time.Minute)...), membership.Suspect,
		},
		"long failures of a server that is not listed": {connectFailures(0, 2*time.Minute), membership.Gone},
		"longer failures of a listed server": {
			append([]serverStep{{at: 0, list: listLive("a")}}, connectFailures(0, 11*time.Minute)...), membership.Gone,
		},
		"gone by failures, then an answer": {
			append(connectFailures(0, 2*time.Minute), serverStep{at: 3 * time.Minute, report: reply}), membership.Live,
		},
		"leaving, then no new connections while work in flight ends": {
			append([]serverStep{{at: 0, report: drainReply}}, connectFailures(1, 5*time.Minute)...), membership.Leaving,
		},
		"leaving for long": {
			[]serverStep{{at: 0, report: draining("a")}, {at: 20 * time.Minute, report: answered("a")}}, membership.Gone,
		},
		"gone after a leaving whose incarnation is not known, then an answer": {
			[]serverStep{
				{at: 0, report: drainReply}, {at: time.Second, report: answered("b")},
				{at: 20 * time.Minute, report: answered("b")},
			},
			membership.Live,
		},
		"gone after a leaving, then a new incarnation": {
			[]serverStep{{at: 0, report: draining("a")}, {at: 20 * time.Minute, report: answered("b")}}, membership.Live,
		},
		"suspect, then the list says leaving": {
			append(connectFailures(0, 4*time.Second), serverStep{at: 5 * time.Second, list: listLeaving("a")}), membership.Leaving,
		},
		"the list knows the new life before the server told": {
			[]serverStep{{at: 1, list: listLeaving("a")}, {at: 2, list: listLive("b")}}, membership.Live,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := membership.NewServers(membership.ServersOptions{})
			for _, other := range []string{"s2", "s3"} {
				servers.Report(0, other, reply)
			}
			for _, step := range test.steps {
				servers.Tick(step.at)
				if step.list != nil {
					servers.ObserveList(step.at, step.list)
					continue
				}
				servers.Report(step.at, server, step.report)
			}
			if got := servers.State(server); got != test.want {
				t.Fatalf("the server is %v, want %v", got, test.want)
			}
		})
	}
}

func TestServerChangesAreReturnedOnceInOrder(t *testing.T) {
	servers := membership.NewServers(membership.ServersOptions{})
	for _, step := range connectFailures(0, 4*time.Second) {
		servers.Report(step.at, server, step.report)
	}
	servers.Report(5*time.Second, server, drainReply)
	servers.Report(6*time.Second, server, drainReply)
	want := []membership.ServerChange{{ID: server, State: membership.Suspect}, {ID: server, State: membership.Leaving}}
	if got := servers.TakeChanges(); !slices.Equal(got, want) {
		t.Fatalf("changes %v, want %v", got, want)
	}
	if got := servers.TakeChanges(); len(got) != 0 {
		t.Fatalf("changes returned twice: %v", got)
	}
}

func TestNodeThatReachesNoServerMarksNoneGone(t *testing.T) {
	servers := membership.NewServers(membership.ServersOptions{})
	for _, step := range connectFailures(0, 20*time.Minute) {
		for _, id := range []string{"s1", "s2", "s3"} {
			servers.Report(step.at, id, step.report)
		}
		servers.Tick(step.at)
	}
	for _, known := range servers.States() {
		if known.State != membership.Suspect {
			t.Fatalf("%s is %v", known.ID, known.State)
		}
	}
}
