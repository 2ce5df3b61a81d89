package simulation

import (
	"fmt"
	"testing"
)

// A crowd is more nodes than the servers take connections: three in eight nodes
// reach a server through an owner.
const (
	scarceConnectionNodes = 8
	scarceConnectionLimit = 6
)

// withScarceConnections turns a run's nodes into a crowd.
func withScarceConnections(options Options) Options {
	options.Nodes, options.Connections = scarceConnectionNodes, scarceConnectionLimit
	return options
}

// scarceConnectionSeeds bring out a node that asks another owner although the first may
// have delivered.
var scarceConnectionSeeds = []uint64{35, 74}

// TestSeedsWithScarceConnections runs fault schedules where sub-requests go through owners.
func TestSeedsWithScarceConnections(t *testing.T) {
	for _, seed := range scarceConnectionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result := runSeed(t, withScarceConnections(Options{Seed: seed}))
			reportViolations(t, result)
			if len(result.Report.Violations) > 0 {
				t.Log("add -crowd to the command")
			}
		})
	}
}
