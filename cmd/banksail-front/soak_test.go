package main

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/banksail/banksail/lab/history"
	"github.com/banksail/banksail/lab/schedule"
	"github.com/banksail/banksail/lab/soak"
)

// A soak run reports a violation if nodes apply a configuration too late: the nodes are given an
// apply bound of one minute, so that they poll the registry too slowly for the bound that the
// run checks.
func TestSoakDetectsLateConfiguration(t *testing.T) {
	report, err := soak.Run(context.Background(), soak.Options{
		Seed: 1, Duration: soak.MinDuration, Program: os.Args[0], Arguments: []string{"serve"},
		Environment: []string{runMainVariable + "=1"}, Directory: t.TempDir(), Kinds: []schedule.Kind{soak.Configure},
		NodeApplyBound: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(report.Violations, func(v soak.Violation) bool { return v.Invariant == history.Configuration }) {
		t.Errorf("no violation of the configuration invariant reported; violations: %v", report.Violations)
	}
}
