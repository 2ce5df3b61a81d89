package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-yaml"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/settings"
)

const examples = "../../examples"

// The settings and intents under examples/ are valid and define the expected services and numbers
// of groups.
func TestExamplesAreValid(t *testing.T) {
	wantGroups := map[string]map[string]int{
		"blue-mahoe": {"route-desk": 8, "hotel-portal": 12, "member-ledger": 1, "stain-log": 1},
		"thibodeau":  {"solicitation-search": 8, "fee-ledger": 12, "notice-tool": 1, "mailroom": 1},
	}
	for deployment, wantServices := range wantGroups {
		t.Run(deployment, func(t *testing.T) {
			if _, err := settings.LoadFile(filepath.Join(examples, deployment, "node.yaml"), nil); err != nil {
				t.Error(err)
			}
			config := applyIntentFile(t, filepath.Join(examples, deployment, "intent.yaml"))
			if len(config.Services) != len(wantServices) {
				t.Errorf("the configuration has %d services", len(config.Services))
			}
			for _, service := range config.Services {
				if len(service.Groups) != wantServices[service.Name] {
					t.Errorf("%s has %d groups, expected %d", service.Name, len(service.Groups), wantServices[service.Name])
				}
			}
		})
	}
}

// applyIntentFile reads a YAML intent and returns the configuration that results from applying it
// to an empty one.
func applyIntentFile(t *testing.T, path string) policy.Config {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	document, err := yaml.YAMLToJSON(data)
	if err != nil {
		t.Fatal(err)
	}
	intent, err := policy.DecodeIntent(document)
	if err != nil {
		t.Fatal(err)
	}
	config, err := policy.Apply(policy.Config{}, intent)
	if err != nil {
		t.Fatal(err)
	}
	return config
}
