package membership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/gossiptest"
)

func leavingFinding(incarnation string) membership.ServerFinding {
	return membership.ServerFinding{ID: server, Incarnation: incarnation, Leaving: true}
}

func newIncarnation(incarnation string) membership.ServerFinding {
	return membership.ServerFinding{ID: server, Incarnation: incarnation}
}

func TestFindingsAreQueuedOnce(t *testing.T) {
	tests := map[string]struct {
		apply func(servers *membership.Servers)
		want  []membership.ServerFinding
	}{
		"own reading of a drain, twice": {
			func(servers *membership.Servers) {
				servers.Report(1, server, draining("a"))
				servers.Report(2, server, draining("a"))
			},
			[]membership.ServerFinding{leavingFinding("a")},
		},
		"a pushed leaving, twice": {
			func(servers *membership.Servers) {
				servers.ReceiveFindings(1, []membership.ServerFinding{leavingFinding("a")})
				servers.ReceiveFindings(2, []membership.ServerFinding{leavingFinding("a")})
			},
			[]membership.ServerFinding{leavingFinding("a")},
		},
		"a pushed incarnation, twice, then read": {
			func(servers *membership.Servers) {
				servers.Report(1, server, answered("a"))
				servers.ReceiveFindings(2, []membership.ServerFinding{newIncarnation("b")})
				servers.ReceiveFindings(3, []membership.ServerFinding{newIncarnation("b")})
				servers.Report(4, server, answered("b"))
			},
			[]membership.ServerFinding{newIncarnation("b")},
		},
		"the first reading of a server": {
			func(servers *membership.Servers) { servers.Report(1, server, answered("a")) }, nil,
		},
		"a pushed incarnation that is over": {
			func(servers *membership.Servers) {
				servers.Report(1, server, answered("a"))
				servers.Report(2, server, answered("b"))
				servers.TakeFindings()
				servers.ReceiveFindings(3, []membership.ServerFinding{newIncarnation("a"), leavingFinding("a")})
			},
			nil,
		},
		"findings out of bounds": {
			func(servers *membership.Servers) {
				servers.ReceiveFindings(1, []membership.ServerFinding{{ID: server, Leaving: true}, {Incarnation: "a"}})
			},
			nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := membership.NewServers(membership.ServersOptions{})
			test.apply(servers)
			if got := servers.TakeFindings(); !slices.Equal(got, test.want) {
				t.Errorf("queued findings %v, want %v", got, test.want)
			}
		})
	}
}

// Findings from other nodes may be wrong. The server's own report of its incarnation
// must take precedence.
func TestFindingsFromOtherNodes(t *testing.T) {
	tests := map[string]struct {
		apply          func(servers *membership.Servers)
		want           membership.State
		wantUnverified bool
	}{
		"a leaving in the present incarnation": {
			func(servers *membership.Servers) {
				servers.Report(1, server, answered("a"))
				servers.ReceiveFindings(2, []membership.ServerFinding{leavingFinding("a")})
			},
			membership.Leaving, true,
		},
		"a leaving in the present incarnation, then an endpoint that lags": {
			func(servers *membership.Servers) {
				servers.Report(1, server, answered("a"))
				servers.ReceiveFindings(2, []membership.ServerFinding{leavingFinding("a")})
				servers.Report(3, server, answered("a"))
			},
			membership.Leaving, true,
		},
		"a lie on a strange incarnation against an answer before": {
			func(servers *membership.Servers) {
				servers.Report(1, server, answered("a"))
				servers.ReceiveFindings(2, []membership.ServerFinding{leavingFinding("z")})
			},
			membership.Live, true,
		},
		"a lie on a strange incarnation against an answer after": {
			func(servers *membership.Servers) {
				servers.ReceiveFindings(1, []membership.ServerFinding{leavingFinding("z")})
				servers.Report(2, server, answered("a"))
			},
			membership.Live, true,
		},
		"a lie on an earlier incarnation": {
			func(servers *membership.Servers) {
				servers.Report(1, server, answered("a"))
				servers.Report(2, server, answered("b"))
				servers.ReceiveFindings(3, []membership.ServerFinding{leavingFinding("a")})
			},
			membership.Live, false,
		},
		"a lie that a leaving server lives again": {
			func(servers *membership.Servers) {
				servers.Report(1, server, draining("a"))
				servers.ReceiveFindings(2, []membership.ServerFinding{newIncarnation("z")})
				servers.Report(3, server, draining("a"))
			},
			membership.Leaving, true,
		},
		"a new incarnation that the server then tells": {
			func(servers *membership.Servers) {
				servers.Report(1, server, draining("a"))
				servers.ReceiveFindings(2, []membership.ServerFinding{newIncarnation("b")})
				servers.Report(3, server, answered("b"))
			},
			membership.Live, true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := membership.NewServers(membership.ServersOptions{})
			test.apply(servers)
			if got := servers.State(server); got != test.want {
				t.Errorf("the server is %v, want %v", got, test.want)
			}
			if unverified := servers.TakeUnverified(); slices.Contains(unverified, server) != test.wantUnverified {
				t.Errorf("unverified servers: %v", unverified)
			}
		})
	}
}

func TestFailedReaderIsReplacedAlone(t *testing.T) {
	nodes := makeNodes(24)
	for number := range 70 {
		spec := membership.ServerSpec{ID: gossiptest.NodeID(1000 + number), Zone: "z1", Limit: 70}
		owners := membership.Owners(spec, nodes)
		all := membership.Readers(owners, func(string) bool { return true })
		if len(all) != membership.ReadersPerServer {
			t.Fatalf("%d readers", len(all))
		}
		failed := all[1]
		rest := membership.Readers(owners, func(id string) bool { return id != failed })
		if len(rest) != membership.ReadersPerServer || rest[0] != all[0] || rest[1] != all[2] {
			t.Fatalf("readers %v, after %s failed: %v", all, failed, rest)
		}
	}
}

func TestReadingBudget(t *testing.T) {
	budget := membership.ReadingBudget{Rate: 12, Interval: 1500 * time.Millisecond, LoadInterval: 30 * time.Second}
	primary, spare := make(map[string]int), make(map[string]int)
	for number := range 30 {
		primary[gossiptest.NodeID(number)] = number % 2
		spare[gossiptest.NodeID(number)] = membership.ReadersPerServer - 1
	}
	if got := len(budget.Duties(primary)); got != len(primary) {
		t.Errorf("%d of %d servers are read as a primary reader", got, len(primary))
	}
	if got := budget.Duties(spare); len(got) == 0 || budget.DutyRate(len(got)) > budget.Rate {
		t.Errorf("%d servers are read as a spare reader, at %.1f readings per second", len(got), budget.DutyRate(len(got)))
	}
	for others := range 200 {
		const duties = 9
		gap, pause := budget.OtherIntervals(duties, others)
		if others == 0 {
			continue
		}
		if rate := budget.DutyRate(duties) + float64(others)/pause.Seconds(); rate > budget.Rate {
			t.Errorf("%d others: %.2f readings per second", others, rate)
		}
		if pause < budget.Interval || gap <= 0 {
			t.Errorf("%d others: pause %v, gap %v", others, pause, gap)
		}
	}
	if !budget.Covers(17) || budget.Covers(18) {
		t.Error("12 readings per second should cover 17 servers but not 18")
	}
	if unbounded := (membership.ReadingBudget{Interval: time.Second, LoadInterval: time.Minute}); !unbounded.Covers(1000) {
		t.Error("an unlimited budget should cover all servers")
	}
}
