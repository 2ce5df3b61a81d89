package experiment

import (
	"fmt"

	"github.com/banksail/banksail/lab/experiment/cluster"
)

// Selection identifies one cell of the grid by its names.
type Selection struct {
	Workload, Fault, Policy string
}

// Selected holds the scenario and policy of a selected cell.
type Selected struct {
	Scenario *cluster.Scenario
	Policy   cluster.Policy
	// Options are the dispatcher's options of the policy.
	Options Tuning
}

// Select returns the scenario and policy of a cell. It returns ErrInvalidFile if
// a name is unknown or the policy is not of kind banksail.
func (f *File) Select(selection Selection) (Selected, error) {
	workload, ok := findByName(f.Workloads, selection.Workload, func(w Workload) string { return w.Name })
	if !ok {
		return Selected{}, fmt.Errorf("%w: workloads: none is named %q", ErrInvalidFile, selection.Workload)
	}
	faults, ok := findByName(f.Faults, selection.Fault, func(s FaultSet) string { return s.Name })
	if !ok {
		return Selected{}, fmt.Errorf("%w: faults: none is named %q", ErrInvalidFile, selection.Fault)
	}
	configured, ok := findByName(f.Policies, selection.Policy, func(p Policy) string { return p.Name })
	if !ok || configured.Kind != KindBanksail {
		return Selected{}, fmt.Errorf("%w: policies: none of kind %s is named %q", ErrInvalidFile, KindBanksail, selection.Policy)
	}
	scenario := f.scenario(workload, faults)
	return Selected{Scenario: scenario, Policy: configured.build(scenario), Options: configured.Options}, nil
}

func findByName[T any](list []T, name string, nameOf func(T) string) (found T, ok bool) {
	for _, listed := range list {
		if nameOf(listed) == name {
			return listed, true
		}
	}
	return found, false
}
