package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const smallExperiment = `
name: small
seeds: {first: 1, count: 2}
duration_ms: 400
warmup_ms: 50
reference: naive
classes:
  - {name: urgent, share: 1, deadline_ms: 200}
workloads:
  - name: light
    load: 0.2
    deployment:
      service: mailroom
      nodes: 2
      service_time: {distribution: exponential, mean_ms: 4}
      queue_per_slot: 4
faults:
  - name: none
policies:
  - {name: naive, kind: naive}
  - {name: fixed-hedge, kind: fixed-hedge}
  - {name: strict-priority, kind: strict-priority}
  - {name: oracle, kind: oracle}
  - {name: banksail, kind: banksail}
`

func TestParseErrorsNameTheField(t *testing.T) {
	tests := []struct{ name, from, to, field string }{
		{"unknown field", "name: small", "name: small\ncolour: red", "colour"},
		{"unknown field inside", "queue_per_slot: 4", "queues: 4", "queues"},
		{"out of range", "load: 0.2", "load: -1", "Load"},
		{"unknown distribution", "exponential", "uniform", "Distribution"},
		{"unknown service", "service: mailroom", "service: bakery", "workloads[0].deployment.service"},
		{"unknown reference", "reference: naive", "reference: nobody", "reference"},
		{"unknown kind", "kind: oracle", "kind: prophet", "Kind"},
		{"the same name twice", "name: oracle", "name: naive", "Policies"},
		{"not YAML", "classes:", "classes: [", ""},
	}
	if _, err := Parse([]byte(smallExperiment)); err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(smallExperiment, test.from, test.to, 1)))
			if !errors.Is(err, ErrInvalidFile) || !strings.Contains(err.Error(), test.field) {
				t.Errorf("error %v is not ErrInvalidFile or does not name %q", err, test.field)
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/experiments/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no example experiments found (error %v)", err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

func TestResultsDoNotDependOnParallelism(t *testing.T) {
	var tables, rows [2]bytes.Buffer
	for index, parallel := range []int{1, 4} {
		file, err := Parse([]byte(smallExperiment))
		if err != nil {
			t.Fatal(err)
		}
		done := 0
		cells, err := Run(context.Background(), file, Options{Parallel: parallel, Progress: func(now, _ int) { done = now }})
		if err != nil {
			t.Fatal(err)
		}
		if want := len(file.Policies) * file.Seeds.Count; done != want {
			t.Errorf("progress reported %d runs, want %d", done, want)
		}
		if err := WriteTable(&tables[index], file, cells); err != nil {
			t.Fatal(err)
		}
		if err := WriteCSV(&rows[index], file, cells); err != nil {
			t.Fatal(err)
		}
		if index == 0 {
			writePlots(t, cells)
		}
	}
	if tables[0].String() != tables[1].String() || rows[0].String() != rows[1].String() {
		t.Error("results differ between 1 and 4 parallel simulations")
	}
	for _, kind := range []string{KindNaive, KindFixedHedge, KindStrictPriority, KindOracle, KindBanksail} {
		if !strings.Contains(rows[0].String(), kind) {
			t.Errorf("the CSV has no row for policy %s", kind)
		}
	}
}

func writePlots(t *testing.T, cells []*Cell) {
	t.Helper()
	directory := t.TempDir()
	if err := WritePlots(directory, cells); err != nil {
		t.Fatal(err)
	}
	const wanted = 3 // latency, coverage, extra load
	if files, err := os.ReadDir(directory); err != nil || len(files) != wanted {
		t.Errorf("%d plots written, want %d (error %v)", len(files), wanted, err)
	}
}

func TestRunReturnsContextError(t *testing.T) {
	file, err := Parse([]byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, file, Options{}); !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned error %v, want context.Canceled", err)
	}
}

func TestPairedDifference(t *testing.T) {
	got := pairedDifference([]float64{2, 4, 6}, []float64{1, 2, 3})
	const halfWidth = 2.484 // 4.303 * 1 / sqrt(3)
	if got.Mean != 2 || math.Abs(got.HalfWidth-halfWidth) > 0.01 || got.IsSignificant() {
		t.Errorf("paired difference %+v, want mean 2, half-width 2.484 and not significant", got)
	}
	if constant := pairedDifference([]float64{2, 3}, []float64{1, 2}); !constant.IsSignificant() {
		t.Errorf("paired difference %+v is not significant", constant)
	}
}
