package node

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
)

func TestRecordedOutcomesStayWithinMemoryLimit(t *testing.T) {
	const body, limit, count = 1000, 10_000, 100
	outcomes := recordedOutcomes{limit: limit, window: time.Minute}
	var added []*recordedOutcome
	for index := range count {
		result := caller.Result{Outcome: dispatch.Outcome{
			Execution: dispatch.ExecutionDone,
			Parts:     []dispatch.Part{{Body: json.RawMessage(make([]byte, body))}},
		}}
		added = append(added, outcomes.add(time.Duration(index)*time.Second, result))
		if outcomes.bytes > limit {
			t.Fatalf("%d bytes after %d outcomes", outcomes.bytes, index+1)
		}
	}
	if newest := added[count-1]; newest.evicted || len(newest.duplicateResult().Outcome.Parts) != 1 {
		t.Errorf("newest outcome was evicted: %+v", newest)
	}
	if oldest := added[0]; !oldest.evicted || oldest.duplicateResult().Outcome.Execution != dispatch.ExecutionUnknown {
		t.Errorf("oldest outcome was not evicted: %+v", oldest)
	}
	outcomes.add(time.Hour, caller.Result{})
	if len(outcomes.withParts) != 1 {
		t.Errorf("%d outcomes have parts after the window, want 1", len(outcomes.withParts))
	}
}
