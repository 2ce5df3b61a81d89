package scale

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestSweepsAreDeclaredWhole(t *testing.T) {
	names := map[string]bool{}
	for _, sweep := range Sweeps() {
		if names[sweep.Name] {
			t.Errorf("two sweeps are named %s", sweep.Name)
		}
		names[sweep.Name] = true
		if len(sweep.Sizes) < MinimumPoints || !slices.IsSorted(sweep.Sizes) || sweep.Planned == 0 {
			t.Errorf("%s: sizes %v, planned %g", sweep.Name, sweep.Sizes, sweep.Planned)
		}
	}
}

func TestSelect(t *testing.T) {
	selected, err := Select(Sweeps(), "dispatch-g,spread-s")
	if err != nil || len(selected) != 2 {
		t.Errorf("selected %d: %v", len(selected), err)
	}
	if _, err := Select(Sweeps(), "dispatch,nothing"); !errors.Is(err, ErrNoSweep) {
		t.Errorf("error %v, want %v", err, ErrNoSweep)
	}
}

// measurements are the sweeps' functions at sizes that tests can afford.
func measurements() map[string]func() ([]Sample, error) {
	const span = 20 * time.Second
	return map[string]func() ([]Sample, error){
		"one query":                    func() ([]Sample, error) { return perQuery(8, 2, 20) },
		"latency":                      func() ([]Sample, error) { return measureLatency(8, 50) },
		"queries at a rate":            func() ([]Sample, error) { return atRate(5) },
		"quiet membership":             func() ([]Sample, error) { return quietMembership(16, span) },
		"membership under changes":     func() ([]Sample, error) { return membershipUnderChanges(16, 20_000, 3*span) },
		"membership under departures":  func() ([]Sample, error) { return membershipUnderDepartures(16, 20_000, 3*span) },
		"record":                       func() ([]Sample, error) { return measureRecord(20) },
		"machine list":                 func() ([]Sample, error) { return measureList(20) },
		"spread of a configuration":    func() ([]Sample, error) { return measureSpread(16, acceptedChange{record: make([]byte, 1000)}) },
		"shares of fewer connections":  func() ([]Sample, error) { return measureShares(100, 20) },
		"shares of enough connections": func() ([]Sample, error) { return measureShares(10, 20) },
		"a lost zone":                  func() ([]Sample, error) { return measureZoneLost(16) },
		"parted regions":               func() ([]Sample, error) { return measureParted(16) },
		"exchange with servers":        func() ([]Sample, error) { return measureExchange(4) },
		"health readings":              func() ([]Sample, error) { return measureHealth(30) },
		"readers of health":            func() ([]Sample, error) { return measureReaders(24) },
		"idle connections":             func() ([]Sample, error) { return measureConnections(context.Background(), 4) },
		"connection owners":            func() ([]Sample, error) { return measureOwners(50), nil },
		"table of servers":             func() ([]Sample, error) { return measureServerTable(20) },
	}
}

func TestCountsRepeatExactly(t *testing.T) {
	for name, measure := range measurements() {
		t.Run(name, func(t *testing.T) {
			first, err := measure()
			if err != nil {
				t.Fatal(err)
			}
			second, err := measure()
			if err != nil {
				t.Fatal(err)
			}
			for index := range first {
				if first[index] != second[index] && !dependsOnMachine(first[index].Quantity) {
					t.Errorf("first %v, then %v", first[index], second[index])
				}
			}
		})
	}
}

// dependsOnMachine tells times and memory from counts.
func dependsOnMachine(quantity string) bool {
	for _, word := range []string{"µs", "ms", "heap", "allocat"} {
		if strings.Contains(quantity, word) {
			return true
		}
	}
	return false
}

func TestHollowNodesDoTheirWork(t *testing.T) {
	for name, want := range map[string]Sample{
		"one query":                    {"complete answers/query", 1},
		"shares of enough connections": {"share of groups that the node reaches", 1},
		"spread of a configuration":    {"store records read/change", zoneCount},
		"health readings":              {"readings/s", 20},
		"membership under changes":     {"share of table behind after 14 s", 0},
	} {
		t.Run(name, func(t *testing.T) {
			samples, err := measurements()[name]()
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Contains(samples, want) {
				t.Errorf("want %v in %v", want, samples)
			}
		})
	}
}
