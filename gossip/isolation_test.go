package gossip

import (
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
)

// A node must not treat a reply from its own address as a reply of another node. The registry
// may list a node under its process name, which the node does not recognize as its own ID. The
// last of eight nodes then probed its own address, took the reply for another node's, left
// isolation, discarded the failures it had detected, and directed callers to a node that had
// been gone for six seconds.
func TestOwnRepliesDoNotEndIsolation(t *testing.T) {
	const (
		detectionDelay = 4 * time.Second
		observation    = 30 * time.Second
	)
	cases := map[string]func(f *fleet, last *fleetNode){
		"listed by its process": func(_ *fleet, last *fleetNode) {
			last.core.nodes.ObserveList([]membership.ListedNode{{ID: last.node.ID + ".1", Address: last.node.Gossip, Zone: last.node.Zone}})
		},
		"known by an earlier name": func(f *fleet, last *fleetNode) {
			earlier := membership.Member{ID: "earlier", Address: last.node.Gossip, Zone: last.node.Zone, Incarnation: 1, State: membership.Live}
			last.core.nodes.Receive(f.now, earlier, nil)
		},
	}
	for name, setUp := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 8, 3)
			f.waitForJoin(convergenceTimeout)
			last := f.nodes[0]
			setUp(f, last)
			for _, other := range f.nodes[1:] {
				f.kill(other)
			}
			f.run(detectionDelay)
			for began := f.now; f.now < began+observation; f.run(20 * time.Millisecond) {
				if !last.core.nodes.Isolated(f.now) {
					t.Fatalf("%s after all other nodes were killed, the last node is not isolated", f.now-began+detectionDelay)
				}
				for _, other := range f.nodes[1:] {
					if !isUnavailable(f.stateSeen(last, other)) {
						t.Fatalf("%s after it was killed, %s is seen as %s", f.now-began+detectionDelay, other.node.ID, f.stateSeen(last, other))
					}
				}
			}
		})
	}
}
