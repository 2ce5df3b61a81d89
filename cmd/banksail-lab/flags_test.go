package main

import (
	"errors"
	"testing"

	"github.com/banksail/banksail/lab/profile"
)

func TestParseNode(t *testing.T) {
	node, err := parseNode("n1=127.0.0.1:80@zone-a")
	if err != nil || node.ID != "n1" || node.Address != "127.0.0.1:80" || node.Zone != "zone-a" {
		t.Errorf("node is %+v, %v", node, err)
	}
	for _, text := range []string{"", "n1", "=127.0.0.1:80", "n1=127.0.0.1", "n1=@z"} {
		if _, err := parseNode(text); !errors.Is(err, errInvalidNode) {
			t.Errorf("node %q: got error %v, want errInvalidNode", text, err)
		}
	}
}

func TestEncodeSwitches(t *testing.T) {
	body, err := encodeSwitches([]string{"freeze=true", "health_state=ready", "shed_share=0.5"})
	const want = `{"freeze":true,"health_state":"ready","shed_share":0.5}`
	if err != nil || string(body) != want {
		t.Errorf("body is %s, %v, want %s", body, err, want)
	}
	for _, text := range []string{"freeze", "=1"} {
		if _, err := encodeSwitches([]string{text}); !errors.Is(err, errInvalidSwitch) {
			t.Errorf("switch %q: got error %v, want errInvalidSwitch", text, err)
		}
	}
}

func TestFaultTargets(t *testing.T) {
	command := faultCommand{
		placement:     placementFlags{profileName: profile.Small, host: "127.0.0.1", basePort: 21000},
		serverPattern: "catalog-g03-*",
	}
	targets, err := command.targets()
	if err != nil || len(targets) != 2 || targets[0] != "127.0.0.1:21006" {
		t.Errorf("targets are %v, %v", targets, err)
	}
	command.serverPattern = "nothing"
	if _, err := command.targets(); !errors.Is(err, errNoTargets) {
		t.Errorf("got error %v, want errNoTargets", err)
	}
}
