package gossip

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/quarantine"
)

func TestFindingRoundTrip(t *testing.T) {
	fingerprint := quarantine.FingerprintOf("GET", "h.example", "/", nil)
	for _, finding := range []quarantine.Finding{
		{Content: fingerprint, Answered: true, Wide: true},
		{Content: fingerprint, Quarantined: true, Crashes: []quarantine.Crash{{ServerIncarnation: 3, Alone: true}, {ServerIncarnation: 1}, {ServerIncarnation: 2}}},
	} {
		encoded, err := proto.Marshal(encodeFinding(finding))
		if err != nil {
			t.Fatal(err)
		}
		var decoded Finding
		if err := proto.Unmarshal(encoded, &decoded); err != nil {
			t.Fatal(err)
		}
		got, ok := decodeFinding(&decoded)
		if !ok || fmt.Sprint(got) != fmt.Sprint(finding) {
			t.Errorf("read %+v, %v; want %+v", got, ok, finding)
		}
	}
}

func TestFindingOutOfBoundsIsRejected(t *testing.T) {
	fingerprint := quarantine.FingerprintOf("GET", "h.example", "/", nil)
	for name, message := range map[string]*Finding{
		"nothing":       {},
		"short content": {Content: fingerprint[1:]},
		"long content":  {Content: append(fingerprint[:], 0)},
		"many ends":     {Content: fingerprint[:], Together: make([]uint64, maxCrashes), Alone: make([]uint64, 1)},
	} {
		if _, ok := decodeFinding(message); ok {
			t.Errorf("%s was accepted", name)
		}
	}
}

// Nodes with the same view of the members must choose the same aggregators, whatever the order
// of the members, and fingerprints must be spread evenly over the nodes.
func TestAggregatorsFor(t *testing.T) {
	var nodes, reversed []discovery.Node
	for number := range 60 {
		nodes = append(nodes, discovery.Node{ID: fmt.Sprintf("node-%d", number)})
		reversed = append([]discovery.Node{nodes[number]}, reversed...)
	}
	assigned := make(map[string]int)
	for number := range 600 {
		fingerprint := quarantine.FingerprintOf("GET", "h.example", fmt.Sprint(number), nil)
		chosen, again := AggregatorsFor(fingerprint, nodes), AggregatorsFor(fingerprint, reversed)
		if len(chosen) != aggregatorCount || fmt.Sprint(chosen) != fmt.Sprint(again) {
			t.Fatalf("aggregators %v, in reverse order of the nodes %v", chosen, again)
		}
		for _, node := range chosen {
			assigned[node.ID]++
		}
	}
	for _, node := range nodes {
		if count := assigned[node.ID]; count < 10 || count > 60 {
			t.Errorf("%s aggregates %d of 600 fingerprints, the average is 30", node.ID, count)
		}
	}
	if few := AggregatorsFor(quarantine.Fingerprint{}, nodes[:2]); len(few) != 2 {
		t.Errorf("%d aggregators of 2 nodes", len(few))
	}
}
