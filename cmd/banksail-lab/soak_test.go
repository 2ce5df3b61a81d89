package main

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestParseSeeds(t *testing.T) {
	seeds, err := parseSeeds("3,5..7")
	if err != nil || !slices.Equal(seeds, []uint64{3, 5, 6, 7}) {
		t.Errorf("seeds are %v, %v", seeds, err)
	}
	for _, text := range []string{"", "x", "-1", "5..3", "1..", "0..5000"} {
		if _, err := parseSeeds(text); !errors.Is(err, errInvalidSeed) {
			t.Errorf("seeds %q: got error %v, want errInvalidSeed", text, err)
		}
	}
}

func TestReadRegressions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "seeds")
	writeFile := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeFile("# seeds\n\n7 30s evacuate,reshard a cause\n")
	runs, err := readRegressions(path)
	if err != nil || len(runs) != 1 || runs[0].seed != 7 || runs[0].duration != 30*time.Second || len(runs[0].kinds) != 2 {
		t.Errorf("runs are %v, %v", runs, err)
	}
	for text, field := range map[string]string{"7 30s": "kinds", "7 30s -": "cause", "x 30s - c": "seed", "7 x - c": "duration"} {
		writeFile("7 30s - good\n" + text + "\n")
		if _, err := readRegressions(path); !errors.Is(err, errInvalidRegressions) || !strings.Contains(err.Error(), field) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("line %q: got error %v, want errInvalidRegressions for line 2 that names the field", text, err)
		}
	}
	if _, err := readRegressions(path + "-none"); !errors.Is(err, errInvalidRegressions) {
		t.Errorf("missing file: got error %v, want errInvalidRegressions", err)
	}
}
