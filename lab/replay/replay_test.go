package replay_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/banksail/banksail/lab/experiment"
	"github.com/banksail/banksail/lab/replay"
)

func tracePaths(t testing.TB) []string {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no trace files in testdata: %v", err)
	}
	return paths
}

func TestRecordedTracesReplayWithoutDifference(t *testing.T) {
	for _, path := range tracePaths(t) {
		t.Run(filepath.Base(path), func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			report, err := replay.Run(bytes.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			if report.Difference != nil {
				t.Fatal(report.Difference)
			}
			if len(report.Outcomes) == 0 {
				t.Error("the trace has no final answer")
			}
		})
	}
}

func TestChangedOutcomeIsDetected(t *testing.T) {
	text, err := os.ReadFile("testdata/overload-none.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(text, []byte(`"Reason":"complete"`), []byte(`"Reason":"deadline"`), 1)
	report, err := replay.Run(bytes.NewReader(changed))
	if err != nil {
		t.Fatal(err)
	}
	if report.Difference == nil {
		t.Fatal("the changed outcome was not detected")
	}
	shown := report.Difference.String()
	if !strings.Contains(shown, "deadline") || !strings.Contains(shown, "complete") {
		t.Errorf("the report does not show both outcomes: %s", shown)
	}
}

func TestRecordingIsReproducibleAndReplays(t *testing.T) {
	file, err := experiment.Load("testdata/experiment.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, workload := range file.Workloads {
		for _, faults := range file.Faults {
			selection := replay.Selection{Seed: 7, Selection: experiment.Selection{
				Workload: workload.Name, Fault: faults.Name, Policy: experiment.KindBanksail,
			}}
			var first, second bytes.Buffer
			if err := replay.WriteTrace(&first, file, selection); err != nil {
				t.Fatal(err)
			}
			if err := replay.WriteTrace(&second, file, selection); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(first.Bytes(), second.Bytes()) {
				t.Errorf("%s/%s: two recordings with the same seed differ", workload.Name, faults.Name)
			}
			report, err := replay.Run(&first)
			if err != nil || report.Difference != nil {
				t.Errorf("%s/%s: replay failed: error %v, difference %v", workload.Name, faults.Name, err, report.Difference)
			}
		}
	}
}

func TestInvalidTracesAreRejected(t *testing.T) {
	const header = `{"format":"banksail-trace","version":1,"seed":1,"zone":"a","options":{}}`
	tests := []struct {
		name, text string
		want       error
	}{
		{"empty", "", replay.ErrInvalidTrace},
		{"not JSON", "hello\n", replay.ErrInvalidTrace},
		{"another format", `{"format":"x","version":1,"seed":1,"zone":"","options":{}}`, replay.ErrInvalidTrace},
		{"a later version", `{"format":"banksail-trace","version":2,"seed":1,"zone":"","options":{}}`, replay.ErrUnsupportedVersion},
		{"an unknown field", header + "\n" + `{"at_ns":1,"event":{},"actions":[],"extra":1}`, replay.ErrInvalidTrace},
		{"no event", header + "\n" + `{"at_ns":1,"event":{},"actions":[]}`, replay.ErrInvalidTrace},
		{"two events", header + "\n" + `{"at_ns":1,"event":{"woken":{},"stopping":{}},"actions":[]}`, replay.ErrInvalidTrace},
		{"time goes back", header + "\n" + `{"at_ns":2,"event":{"woken":{}},"actions":[]}` + "\n" +
			`{"at_ns":1,"event":{"woken":{}},"actions":[]}`, replay.ErrInvalidTrace},
		{"a line too long", strings.Repeat(" ", replay.MaximumLineBytes+1), replay.ErrInvalidTrace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := replay.Run(strings.NewReader(test.text))
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	for _, path := range tracePaths(f) {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		const seedLines = 5
		lines := bytes.SplitAfterN(text, []byte("\n"), seedLines)
		f.Add(bytes.Join(lines[:len(lines)-1], nil))
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		reader, err := replay.NewReader(bytes.NewReader(text))
		for err == nil {
			var record replay.Record
			if record, err = reader.Next(); err == nil {
				_, err = record.Event.Value()
			}
		}
	})
}
