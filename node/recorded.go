package node

import (
	"encoding/json"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
)

// recordedOutcome is the outcome of a not-repeatable request that ran.
type recordedOutcome struct {
	result caller.Result
	bytes  int
	until  time.Duration
	// forgotten says that the parts are gone, to stay within the bound.
	forgotten bool
}

// recordedOutcomes bounds the memory that recorded outcomes take: the oldest
// lose their parts first. It has no lock of its own.
type recordedOutcomes struct {
	limit  int
	window time.Duration
	bytes  int
	// kept lists the outcomes that hold their parts, the oldest first.
	kept []*recordedOutcome
}

// add records an outcome.
func (r *recordedOutcomes) add(now time.Duration, result caller.Result) *recordedOutcome {
	added := &recordedOutcome{result: result, bytes: bytesOf(result.Outcome), until: now + r.window}
	r.kept = append(r.kept, added)
	r.bytes += added.bytes
	for len(r.kept) > 0 && (r.bytes > r.limit || r.kept[0].until <= now) {
		r.forgetOldest()
	}
	return added
}

func (r *recordedOutcomes) forgetOldest() {
	oldest := r.kept[0]
	r.kept[0] = nil
	r.kept = r.kept[1:]
	r.bytes -= oldest.bytes
	oldest.result.Outcome.Parts = nil
	oldest.result.Outcome.Explanation = nil
	oldest.forgotten = true
}

// again is the answer to a repetition of the request.
func (r *recordedOutcome) again() caller.Result {
	result := r.result
	result.Duplicate = true
	if r.forgotten && result.Outcome.Execution == dispatch.ExecutionDone {
		result.Outcome.Execution = dispatch.ExecutionUnknown
		result.Outcome.Reason = caller.ReasonResultForgotten
		result.Outcome.RetryAfter = refusalRetryAfter
	}
	return result
}

// bytesOf is about what an outcome's parts take.
func bytesOf(outcome dispatch.Outcome) int {
	const perPart, perStep = 128, 96
	total := perStep * len(outcome.Explanation)
	for _, part := range outcome.Parts {
		body, _ := part.Body.(json.RawMessage)
		total += perPart + len(body)
	}
	return total
}
