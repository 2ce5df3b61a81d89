package gossip

import (
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
)

// A registry lists a node by the name of its process, which the node does not take for its own,
// so the node that was left of eight asked its own address and took the answer for another
// node's. It was no longer cut off then, what it had found of the others was void, and callers
// were told of one that had gone six seconds before. Its log says at one moment, with no other
// node running: "member changed", member=front-5 state=live, and "no other node answers",
// isolated=false; the datagram before both is its own probe's reply.
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
					t.Fatalf("%s after all others have gone the node takes itself for one that others answer", f.now-began+detectionDelay)
				}
				for _, other := range f.nodes[1:] {
					if !isSuspectOrGone(f.stateSeen(last, other)) {
						t.Fatalf("%s after its end %s is seen as %s", f.now-began+detectionDelay, other.node.ID, f.stateSeen(last, other))
					}
				}
			}
		})
	}
}
