package policy_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

// exampleConfig returns a configuration with one class and a service of one
// group.
func exampleConfig() policy.Config {
	return policy.Config{
		Classes: []policy.Class{{Name: "urgent", Order: 0, Deadline: 100, MinimumCoverage: 0.9}},
		Services: []policy.Service{{
			Name:     "search",
			KeySpace: coverage.Range{Start: 0, End: 100},
			Groups: []policy.Group{{
				Name:    "a",
				Range:   coverage.Range{Start: 0, End: 100},
				Servers: []policy.Server{{ID: "a1", Address: "10.0.0.1:8080", Zone: "north", Slots: 5, Connections: 70}},
			}},
		}},
	}
}

// A plan shows what an intent would change. Deciding on the plan produces the
// next record.
func ExampleNewPlan() {
	config := exampleConfig()
	base := policy.Record{Revision: 7, Config: config}
	urgent := config.Classes[0]
	urgent.MinimumCoverage = 0.95
	plan, err := policy.NewPlan(policy.PlanOptions{
		ID:     "plan-1",
		Base:   base,
		Intent: policy.Intent{Author: "ann", Changes: []policy.Change{{SetClass: &urgent}}},
		Nodes:  3,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, difference := range plan.Differences {
		fmt.Println(difference)
	}
	decision, err := policy.Decide(base, plan, time.Date(2026, 12, 2, 7, 0, 0, 0, time.UTC))
	fmt.Println("revision", decision.Revision, err)
	// Output:
	// ~ classes[urgent].minimum_coverage: 0.9 -> 0.95
	// revision 8 <nil>
}

// An invalid configuration is rejected with the paths of its invalid fields.
func ExampleValidate() {
	config := exampleConfig()
	config.Classes[0].MinimumCoverage = 2
	err := policy.Validate(config)
	fmt.Println(errors.Is(err, policy.ErrInvalid))
	fmt.Println(err)
	// Output:
	// true
	// policy: invalid: classes[0].minimum_coverage: must be at most 1
}
