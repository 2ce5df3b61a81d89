package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// Report tells how a replay went.
type Report struct {
	// Records is the number of records that were replayed.
	Records int
	// Outcomes counts the final answers by reason.
	Outcomes map[dispatch.Reason]int
	// Difference is the first one; nil when there is none.
	Difference *Difference
}

// Difference is a record for which the dispatcher did not do what the trace states.
type Difference struct {
	Line int
	At   time.Duration
	// Expected and Done are the JSON texts of the actions.
	Expected, Actual []byte
}

// String tells the line, and the texts from where they differ.
func (d *Difference) String() string {
	from := 0
	for from < min(len(d.Expected), len(d.Actual)) && d.Expected[from] == d.Actual[from] {
		from++
	}
	return fmt.Sprintf("line %d, at %v, byte %d of the actions\n  stated: %s\n  done:   %s",
		d.Line, d.At, from, excerpt(d.Expected, from), excerpt(d.Actual, from))
}

const excerptBytes = 160

func excerpt(text []byte, from int) []byte {
	return text[from:min(from+excerptBytes, len(text))]
}

// Run drives a dispatcher with a trace and stops at the first difference.
func Run(in io.Reader) (Report, error) {
	report := Report{Outcomes: make(map[dispatch.Reason]int)}
	reader, err := NewReader(in)
	if err != nil {
		return report, err
	}
	header := reader.Header()
	dispatcher := dispatch.New(header.Options.Build(header.Seed, header.Zone))
	for {
		record, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return report, nil
		}
		if err != nil {
			return report, err
		}
		event, err := record.Event.Value()
		if err != nil {
			return report, fmt.Errorf("line %d: %w", reader.Line(), err)
		}
		actions := dispatcher.Step(record.At, event)
		report.Records++
		countOutcomes(report.Outcomes, actions)
		actual, err := encodeActions(actions)
		if err != nil {
			return report, err
		}
		if expected := compactJSON(record.Actions); !bytes.Equal(expected, actual) {
			report.Difference = &Difference{Line: reader.Line(), At: record.At, Expected: expected, Actual: actual}
			return report, nil
		}
	}
}

func countOutcomes(outcomes map[dispatch.Reason]int, actions []dispatch.Action) {
	for _, action := range actions {
		if finish, ok := action.(dispatch.Finish); ok {
			outcomes[finish.Outcome.Reason]++
		}
	}
}

// compactJSON drops white space, so that a trace may be edited by hand.
func compactJSON(text json.RawMessage) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, text); err != nil {
		return text
	}
	return out.Bytes()
}
