package experiment

import (
	"fmt"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/lab/experiment/cluster"
	"github.com/banksail/banksail/policy"
)

// keysPerGroup is the size of each group's key range.
const keysPerGroup = 1 << 20

const (
	connectTime = time.Millisecond
	idleTimeout = 30 * time.Second
	jitterShare = 0.1
)

// serviceSize gives the size of a firm's service today.
type serviceSize struct {
	groups, replicas, slots, connections int
	firm                                 firm
}

// firm gives the zones of a firm and the one-way delay to its clients, beside
// whom the nodes run.
type firm struct {
	zones []string
	delay time.Duration
}

var (
	blueMahoe = firm{
		zones: []string{"kingston-a", "kingston-b", "kingston-c", "kingston-d"},
		delay: time.Millisecond,
	}
	thibodeau = firm{
		zones: []string{"new-england-a", "new-england-b", "new-england-c"},
		delay: 3 * time.Millisecond,
	}
)

// services lists the firms' services at today's sizes.
var services = map[string]serviceSize{
	"route-desk":          {groups: 8, replicas: 2, slots: 5, connections: 70, firm: blueMahoe},
	"hotel-portal":        {groups: 12, replicas: 2, slots: 5, connections: 70, firm: blueMahoe},
	"member-ledger":       {groups: 1, replicas: 20, slots: 2, connections: 110, firm: blueMahoe},
	"stain-log":           {groups: 1, replicas: 10, slots: 2, connections: 110, firm: blueMahoe},
	"solicitation-search": {groups: 8, replicas: 2, slots: 2, connections: 70, firm: thibodeau},
	"fee-ledger":          {groups: 12, replicas: 2, slots: 2, connections: 70, firm: thibodeau},
	"notice-tool":         {groups: 1, replicas: 5, slots: 3, connections: 110, firm: thibodeau},
	"mailroom":            {groups: 1, replicas: 3, slots: 3, connections: 110, firm: thibodeau},
}

func (s serviceSize) build(name string) policy.Service {
	built := policy.Service{
		Name:     name,
		KeySpace: coverage.Range{Start: 0, End: uint64(s.groups) * keysPerGroup},
	}
	for group := range s.groups {
		start := uint64(group) * keysPerGroup
		added := policy.Group{
			Name:  fmt.Sprintf("group-%d", group),
			Range: coverage.Range{Start: start, End: start + keysPerGroup},
		}
		for replica := range s.replicas {
			added.Servers = append(added.Servers, policy.Server{
				ID:          fmt.Sprintf("%s-%d-%d", name, group, replica),
				Address:     fmt.Sprintf("127.0.0.1:%d", 10000+group*s.replicas+replica),
				Zone:        s.firm.zones[(group+replica)%len(s.firm.zones)],
				Slots:       s.slots,
				Connections: s.connections,
			})
		}
		built.Groups = append(built.Groups, added)
	}
	return built
}

// scenario builds what the simulation runs.
func (f *File) scenario(workload Workload, faults FaultSet) *cluster.Scenario {
	deployment := workload.Deployment
	size := services[deployment.Service]
	built := &cluster.Scenario{
		Name:    workload.Name + "/" + faults.Name,
		Service: size.build(deployment.Service),
		Nodes:   deployment.Nodes,
		Zones:   size.firm.zones,
		Network: cluster.Network{
			Delay:       size.firm.delay,
			JitterShare: jitterShare,
			ConnectTime: connectTime,
			IdleTimeout: idleTimeout,
		},
		Reports: cluster.Reports{
			Lag:    milliseconds(deployment.ReportLagMS),
			Period: milliseconds(deployment.ReportPeriodMS),
		},
		ServiceTime: cluster.Distribution{
			Name:  deployment.ServiceTime.Distribution,
			Mean:  milliseconds(deployment.ServiceTime.MeanMS),
			Sigma: deployment.ServiceTime.Sigma,
			Shape: deployment.ServiceTime.Shape,
		},
		QueuePerSlot: deployment.QueuePerSlot,
		Load:         workload.Load,
		Duration:     milliseconds(f.DurationMS),
		Warmup:       milliseconds(f.WarmupMS),
	}
	for _, class := range f.Classes {
		built.Classes = append(built.Classes, class.build())
	}
	for _, burst := range workload.Bursts {
		built.Bursts = append(built.Bursts, cluster.Burst{
			Class:  burst.Class,
			Start:  milliseconds(burst.StartMS),
			End:    milliseconds(burst.EndMS),
			Factor: burst.Factor,
		})
	}
	for _, fault := range faults.Events {
		built.Faults = append(built.Faults, fault.build())
	}
	return built
}

func (c Class) build() cluster.Class {
	return cluster.Class{
		Class: policy.Class{
			Name:            c.Name,
			Order:           c.Order,
			LongestWait:     policy.Milliseconds(c.LongestWaitMS),
			Deadline:        policy.Milliseconds(c.DeadlineMS),
			MinimumCoverage: c.MinimumCoverage,
			HedgeShare:      c.HedgeShare,
			Headroom:        c.Headroom,
		},
		Share:         c.Share,
		Work:          c.Work,
		NotRepeatable: c.NotRepeatable,
	}
}
