package experiment

import (
	"github.com/banksail/banksail/backend"
	"github.com/banksail/banksail/lab/experiment/cluster"
	"github.com/banksail/banksail/lab/profile"
	"github.com/banksail/banksail/policy"
)

// profileService is a service of a firm's profile, at the profile's current size.
type profileService struct {
	firm    profile.Profile
	service policy.Service
}

// jitterShare is the jitter of network delays: each lies uniformly within this
// share of the mean.
const jitterShare = 0.1

// findService looks up a service by name in the firms' profiles.
func findService(name string) (profileService, bool) {
	for _, firmName := range []string{profile.BlueMahoe, profile.Thibodeau} {
		firm, err := profile.Get(firmName)
		if err != nil {
			continue
		}
		config, err := firm.Config(profile.Placement{})
		if err != nil {
			continue
		}
		for _, service := range config.Services {
			if service.Name == name {
				return profileService{firm: firm, service: service}, true
			}
		}
	}
	return profileService{}, false
}

// scenario builds the simulation's scenario for a workload and a fault set. Nodes
// run next to the clients, so the delay between a node and any server is the
// clients' network delay.
func (f *File) scenario(workload Workload, faults FaultSet) *cluster.Scenario {
	deployment := workload.Deployment
	found, _ := findService(deployment.Service)
	built := &cluster.Scenario{
		Name:    workload.Name + "/" + faults.Name,
		Service: found.service,
		Nodes:   deployment.Nodes,
		Zones:   found.firm.Zones,
		Network: cluster.Network{
			Delay:            found.firm.Network.Client,
			JitterShare:      jitterShare,
			ConnectTime:      found.firm.Network.NewConnection,
			IdleTimeout:      backend.DefaultIdleTimeout,
			SpareConnections: backend.DefaultSpareConnectionsPerServer,
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
