package cluster

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/lab/experiment/baseline"
	"github.com/banksail/banksail/policy"
)

func scenario() *Scenario {
	const groups, keys = 4, 100
	service := policy.Service{Name: "s", KeySpace: coverage.Range{Start: 0, End: groups * keys}}
	for index := range uint64(groups) {
		name := string(rune('a' + index))
		service.Groups = append(service.Groups, policy.Group{
			Name:  name,
			Range: coverage.Range{Start: index * keys, End: (index + 1) * keys},
			Servers: []policy.Server{
				{ID: name + "0", Address: "127.0.0.1:1", Zone: "z", Slots: 2, Connections: 20},
				{ID: name + "1", Address: "127.0.0.1:2", Zone: "z", Slots: 2, Connections: 20},
			},
		})
	}
	return &Scenario{
		Service: service,
		Classes: []Class{
			{Class: policy.Class{Name: "urgent", Deadline: 200, LongestWait: 50, HedgeShare: 0.1}, Share: 0.3},
			{Class: policy.Class{Name: "batch", Order: 1, Deadline: 500, LongestWait: 100}, Share: 0.7},
		},
		Nodes:        3,
		Zones:        []string{"z"},
		Network:      Network{Delay: time.Millisecond, JitterShare: 0.1, ConnectTime: time.Millisecond, IdleTimeout: time.Second, SpareConnections: 1},
		ServiceTime:  Distribution{Name: Exponential, Mean: 4 * time.Millisecond},
		QueuePerSlot: 4,
		Load:         0.5,
		Duration:     2 * time.Second,
		Warmup:       200 * time.Millisecond,
	}
}

func banksail() Policy {
	return Policy{Name: "banksail", New: func(node Node) Dispatcher {
		return dispatch.New(dispatch.Options{Seed: node.Seed, Zone: node.Zone})
	}}
}

func naive() Policy {
	return Policy{Name: "naive", New: func(node Node) Dispatcher {
		return baseline.New(baseline.Options{FirstServer: node.Index})
	}}
}

func oracle() Policy {
	return Policy{Name: "oracle", Unlimited: true, New: func(node Node) Dispatcher {
		return baseline.New(baseline.Options{LatencyOracle: baseline.LatencyOracle(node.LatencyOracle)})
	}}
}

func TestRunDependsOnlyOnSeed(t *testing.T) {
	for _, chosen := range []Policy{banksail(), naive()} {
		first, second := Run(scenario(), chosen, 1, nil), Run(scenario(), chosen, 1, nil)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with the same seed differ", chosen.Name)
		}
		if reflect.DeepEqual(first, Run(scenario(), chosen, 2, nil)) {
			t.Errorf("%s: runs with different seeds are identical", chosen.Name)
		}
	}
}

// latencies returns the latency of each complete answer in a run.
func latencies(chosen Policy, simulated *Scenario) map[dispatch.QueryID]time.Duration {
	arrived, took := map[dispatch.QueryID]time.Duration{}, map[dispatch.QueryID]time.Duration{}
	Run(simulated, chosen, 3, func(_ int, now time.Duration, event dispatch.Event, actions []dispatch.Action) {
		if arrival, ok := event.(dispatch.QueryArrived); ok {
			arrived[arrival.Query.ID] = now
		}
		for _, action := range actions {
			if finish, ok := action.(dispatch.Finish); ok && finish.Outcome.Complete {
				took[finish.Query] = now - arrived[finish.Query]
			}
		}
	})
	return took
}

func TestOracleLatencyIsLowerBound(t *testing.T) {
	slow := scenario()
	slow.Faults = []Fault{{Kind: FaultSlow, Group: 1, Replica: 0, Start: 0, End: time.Second, Factor: 10}}
	for name, simulated := range map[string]*Scenario{"no fault": scenario(), "a slow replica": slow} {
		bound := latencies(oracle(), simulated)
		for _, chosen := range []Policy{banksail(), naive()} {
			compared := 0
			for id, took := range latencies(chosen, simulated) {
				least, ok := bound[id]
				if !ok {
					continue
				}
				compared++
				if took < least {
					t.Errorf("%s: %s answered query %d in %v, less than the oracle's %v", name, chosen.Name, id, took, least)
				}
			}
			if compared == 0 {
				t.Errorf("%s: no query was answered completely by both %s and the oracle", name, chosen.Name)
			}
		}
	}
}

func TestEveryQueryIsAnsweredUnderFaults(t *testing.T) {
	const start, end = 500 * time.Millisecond, 1200 * time.Millisecond
	kinds := []FaultKind{FaultSlow, FaultCrash, FaultDrain, FaultColdStart, FaultFalseLoad, FaultRepartition}
	for _, kind := range kinds {
		for _, chosen := range []Policy{banksail(), naive()} {
			faulty := scenario()
			faulty.Reports = Reports{Lag: 50 * time.Millisecond, Period: 100 * time.Millisecond}
			faulty.Faults = []Fault{{
				Kind: kind, Group: 1, Replica: 0, Start: start, End: end, Factor: 10, DetectionLag: 100 * time.Millisecond,
			}}
			result := Run(faulty, chosen, 5, nil)
			if result.Unanswered != 0 || result.InvalidActions != 0 {
				t.Errorf("%s under %s: %d unanswered queries, %d invalid actions", chosen.Name, kind, result.Unanswered, result.InvalidActions)
			}
			for _, class := range result.Classes {
				refused := 0
				for _, count := range class.Refused {
					refused += count
				}
				if class.Ran+refused != class.Arrived || class.Arrived == 0 {
					t.Errorf("%s under %s: %d arrived, %d ran, %d refused", chosen.Name, kind, class.Arrived, class.Ran, refused)
				}
			}
		}
	}
}

func TestUsefulThroughputEqualsLoadBelowCapacity(t *testing.T) {
	light := scenario()
	light.Duration = 20 * time.Second
	if got := Run(light, naive(), 1, nil).UsefulThroughput(); math.Abs(got-light.Load) > 0.03 {
		t.Errorf("useful throughput %.3f, want %.3f, the offered load", got, light.Load)
	}
}

func TestDistributionMean(t *testing.T) {
	const samples = 200_000
	for _, name := range []string{Constant, Exponential, LogNormal, Pareto} {
		distribution := Distribution{Name: name, Mean: time.Millisecond}
		sum := time.Duration(0)
		for index := range samples {
			sum += distribution.Quantile((float64(index) + 0.5) / samples)
		}
		if mean := sum / samples; mean < 990*time.Microsecond || mean > 1010*time.Microsecond {
			t.Errorf("%s: mean %v, want 1ms within 1%%", name, mean)
		}
	}
	if err := (Distribution{Name: "uniform"}).Validate(); err == nil {
		t.Error("Validate accepted an unknown distribution")
	}
}

func TestServersShedOnlyWhenQueueIsFull(t *testing.T) {
	for load, wanted := range map[float64]bool{0.2: false, 3: true} {
		simulated := scenario()
		simulated.Load = load
		shed, deepest := 0, 0
		Run(simulated, naive(), 1, func(_ int, _ time.Duration, event dispatch.Event, _ []dispatch.Action) {
			if reply, ok := event.(dispatch.AttemptReplied); ok {
				deepest = max(deepest, reply.Reply.Load.Queued)
				if reply.Reply.Status == dispatch.ReplyShed {
					shed++
				}
			}
		})
		if (shed > 0) != wanted || deepest > 8 {
			t.Errorf("load %v: %d attempts shed, maximum queue length %d", load, shed, deepest)
		}
	}
}
