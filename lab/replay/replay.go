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

// Report is the result of a replay.
type Report struct {
	// Records is the number of records replayed.
	Records int
	// Outcomes counts the final answers by reason.
	Outcomes map[dispatch.Reason]int
	// Difference is the first difference, nil if there is none.
	Difference *Difference
}

// Difference is a record for which the dispatcher's actions differ from those in the
// trace.
type Difference struct {
	Line int
	At   time.Duration
	// Expected holds the actions in the trace and Actual those of the dispatcher,
	// both as JSON.
	Expected, Actual []byte
}

// String formats the line number, the time, and both texts from the first byte that
// differs.
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

// Run feeds a trace's events to a new dispatcher and compares its actions with those in
// the trace. It stops at the first difference, which is not an error. It returns
// ErrInvalidTrace or ErrUnsupportedVersion if it can't read the trace.
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

// compactJSON removes insignificant white space, so that traces edited by hand can be
// compared. It returns invalid JSON unchanged.
func compactJSON(text json.RawMessage) []byte {
	var out bytes.Buffer
	if err := json.Compact(&out, text); err != nil {
		return text
	}
	return out.Bytes()
}
