package schedule

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

var topology = Topology{
	Nodes:  []string{"n1", "n2", "n3"},
	Groups: [][]string{{"s1", "s2"}, {"s3", "s4"}},
	Store:  "store", MachineList: "machines",
}

var bounds = Options{
	From: time.Second, To: 3 * time.Second,
	MinDuration: 100 * time.Millisecond, MaxDuration: 2 * time.Second,
	LeaseTimeToLive: 2 * time.Second, MaxDelay: time.Second,
}

func TestSameSeedGivesSameSchedule(t *testing.T) {
	for seed := range uint64(200) {
		if one, other := Generate(seed, topology, bounds), Generate(seed, topology, bounds); !reflect.DeepEqual(one, other) {
			t.Fatalf("seed %d gave two schedules: %v and %v", seed, one, other)
		}
	}
}

func TestSeedsCoverKindsAndModes(t *testing.T) {
	seen := make(map[Mode]map[Kind]int)
	for _, mode := range Modes() {
		seen[mode] = make(map[Kind]int)
	}
	seeds := uint64(len(Modes()) * len(Kinds()))
	for seed := range seeds {
		schedule := Generate(seed, topology, bounds)
		for _, fault := range schedule.Faults {
			seen[schedule.Mode][fault.Kind]++
		}
	}
	for _, kind := range Kinds() {
		if seen[Single][kind] != 1 || seen[Pair][kind] < 1 || seen[Repeated][kind] != 2 || seen[Many][kind] < 1 {
			t.Errorf("%s: alone %d, pair %d, twice %d, many %d", kind,
				seen[Single][kind], seen[Pair][kind], seen[Repeated][kind], seen[Many][kind])
		}
	}
}

func TestFaultsAreWellFormed(t *testing.T) {
	for seed := range uint64(1000) {
		schedule := Generate(seed, topology, bounds)
		var last time.Duration
		for _, fault := range schedule.Faults {
			if fault.At < last || fault.Until < fault.At+bounds.MinDuration {
				t.Errorf("seed %d: invalid order or duration of %v", seed, fault)
			}
			last = fault.At
			needsHost := !slices.Contains([]Kind{Repartition, SnapshotChange, Overload, RestartNodes}, fault.Kind)
			if needsHost && fault.Target == "" {
				t.Errorf("seed %d: missing target in %v", seed, fault)
			}
			if fault.Peer != "" && fault.Peer == fault.Target && fault.Kind != OperatorRace {
				t.Errorf("seed %d: target and peer are the same host in %v", seed, fault)
			}
		}
		if schedule.Mode == Pair && schedule.Faults[1].At > schedule.Faults[0].Until {
			t.Errorf("seed %d: the two faults of a pair do not overlap", seed)
		}
	}
}
