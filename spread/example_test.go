package spread_test

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/spread"
	"github.com/banksail/banksail/store"
)

// noPeers implements Peers for a node that has no peers.
type noPeers struct{}

func (noPeers) Members() []spread.Member { return nil }

func (noPeers) Fetch(context.Context, string, policy.Revision) (policy.Revision, []byte, error) {
	return 0, nil, nil
}

func (noPeers) Push(context.Context, string, policy.Revision, []byte) (policy.Revision, error) {
	return 0, nil
}

// An operator's intent becomes a plan, which takes effect when it is confirmed.
// Confirming it again changes nothing.
func ExampleReplicator() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	replicator := spread.NewReplicator(spread.ReplicatorOptions{
		Core:      spread.CoreOptions{Self: "node-1"},
		Store:     store.NewMemory(store.MemoryOptions{}),
		Peers:     noPeers{},
		Logger:    zerolog.Nop(),
		NewPlanID: func() string { return "plan-1" },
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = replicator.Run(ctx)
	}()
	config := policy.Config{
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
	plan, err := replicator.Plan(ctx, policy.Intent{Author: "ann", Changes: []policy.Change{{Replace: &config}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		receipt, err := replicator.Confirm(ctx, plan)
		fmt.Println(receipt.Outcome, "at revision", receipt.Revision, "repeated:", receipt.AlreadyApplied, err)
	}
	stop()
	<-ended
	// Output:
	// applied at revision 1 repeated: false <nil>
	// applied at revision 1 repeated: true <nil>
}
