package simulation

import (
	"fmt"
	"testing"
)

// With more nodes than connections per server, three in eight nodes reach a
// server through an owner.
const (
	scarceConnectionNodes = 8
	scarceConnectionLimit = 6
)

// withScarceConnections returns the options with more nodes than connections
// per server.
func withScarceConnections(options Options) Options {
	options.Nodes, options.Connections = scarceConnectionNodes, scarceConnectionLimit
	return options
}

// scarceConnectionSeeds are seeds in which a node asks another owner although
// the first may have delivered the sub-request.
var scarceConnectionSeeds = []uint64{35, 74}

// TestSeedsWithScarceConnections runs fault schedules in which nodes forward
// sub-requests through owners.
func TestSeedsWithScarceConnections(t *testing.T) {
	for _, seed := range scarceConnectionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result := runSeed(t, withScarceConnections(Options{Seed: seed}))
			reportViolations(t, result)
			if len(result.Report.Violations) > 0 {
				t.Log("add -crowd to the command to reproduce this")
			}
		})
	}
}
