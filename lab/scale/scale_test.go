package scale

import (
	"bytes"
	"context"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

func doubling() Sweep {
	return Sweep{
		Name: "doubling", Size: "nodes", Sizes: []float64{1, 2, 3, 4}, Today: 2, Planned: 100,
		Measure: func(_ context.Context, size float64) ([]Sample, error) {
			return []Sample{{Quantity: "bytes/s", Value: 2 * size}}, nil
		},
	}
}

func ignoreProgress(string, float64) {}

func TestRunReportsSlopes(t *testing.T) {
	all, err := Run(t.Context(), DefaultBounds(), []Sweep{doubling()}, ignoreProgress)
	if err != nil {
		t.Fatal(err)
	}
	var table, values bytes.Buffer
	if err := errors.Join(WriteTable(&table, all), WriteSizes(&table, all), WriteCSV(&values, all)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"4@2", "measured", "200@100", "extrapolated"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
	if !strings.Contains(table.String(), "bytes/s") || strings.Count(values.String(), "\n") != 5 {
		t.Errorf("table:\n%s\nCSV:\n%s", table.String(), values.String())
	}
	paths, err := WritePlots(t.TempDir(), all)
	if err != nil || len(paths) != 1 || !strings.HasSuffix(paths[0], "doubling-bytes-s.png") {
		t.Fatalf("plots %v: %v", paths, err)
	}
	if _, err := os.Stat(paths[0]); err != nil {
		t.Error(err)
	}
}

func TestRunStopsAtBounds(t *testing.T) {
	for _, test := range []struct {
		name   string
		bounds Bounds
	}{
		{"time", Bounds{Time: 0, Memory: 1 << 40}},
		{"memory", Bounds{Time: time.Hour, Memory: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Run(t.Context(), test.bounds, []Sweep{doubling()}, ignoreProgress)
			if !errors.Is(err, ErrOutOfBounds) {
				t.Errorf("error %v, want %v", err, ErrOutOfBounds)
			}
		})
	}
}

func TestQueueOrder(t *testing.T) {
	var queue Queue
	var order []int
	note := func(number int) func() { return func() { order = append(order, number) } }
	queue.After(2*time.Second, note(3))
	queue.After(time.Second, note(1))
	queue.After(time.Second, note(2))
	queue.After(4*time.Second, note(4))
	queue.RunUntil(3 * time.Second)
	if want := []int{1, 2, 3}; !slices.Equal(order, want) || queue.Now() != 3*time.Second {
		t.Errorf("order %v at %v, want %v", order, queue.Now(), want)
	}
}
