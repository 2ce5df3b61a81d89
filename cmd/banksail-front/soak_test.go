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

// Nodes whose pace of reading is too slow for the bound by which they are judged are found
// out: a configuration comes into force later than it may.
func TestSoakDetectsLateConfiguration(t *testing.T) {
	report, err := soak.Run(context.Background(), soak.Options{
		Seed: 1, Duration: soak.ShortestDuration, Program: os.Args[0], Arguments: []string{"serve"},
		Environment: []string{runMainVariable + "=1"}, Directory: t.TempDir(), Kinds: []schedule.Kind{soak.Configure},
		ToldApplyBound: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(report.Violations, func(v soak.Violation) bool { return v.Invariant == history.Configuration }) {
		t.Errorf("not found: %v", report.Violations)
	}
}
