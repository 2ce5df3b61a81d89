package node

import (
	"encoding/json"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
)

// recordedOutcome is the outcome of a not-repeatable request that ran.
type recordedOutcome struct {
	result    caller.Result
	bytes     int
	expiresAt time.Duration
	// evicted says that the parts are gone, to stay within the bound.
	evicted bool
}

// recordedOutcomes bounds the memory that recorded outcomes take: the oldest
// lose their parts first. It has no lock of its own.
type recordedOutcomes struct {
	limit  int
	window time.Duration
	bytes  int
	// withParts lists the outcomes that hold their parts, the oldest first.
	withParts []*recordedOutcome
}

// add records an outcome.
func (r *recordedOutcomes) add(now time.Duration, result caller.Result) *recordedOutcome {
	added := &recordedOutcome{result: result, bytes: approximateBytes(result.Outcome), expiresAt: now + r.window}
	r.withParts = append(r.withParts, added)
	r.bytes += added.bytes
	for len(r.withParts) > 0 && (r.bytes > r.limit || r.withParts[0].expiresAt <= now) {
		r.evictOldest()
	}
	return added
}

func (r *recordedOutcomes) evictOldest() {
	oldest := r.withParts[0]
	r.withParts[0] = nil
	r.withParts = r.withParts[1:]
	r.bytes -= oldest.bytes
	oldest.result.Outcome.Parts = nil
	oldest.result.Outcome.Explanation = nil
	oldest.evicted = true
}

// duplicateResult is the answer to a repetition of the request.
func (r *recordedOutcome) duplicateResult() caller.Result {
	result := r.result
	result.Duplicate = true
	if r.evicted && result.Outcome.Execution == dispatch.ExecutionDone {
		result.Outcome.Execution = dispatch.ExecutionUnknown
		result.Outcome.Reason = caller.ReasonResultForgotten
		result.Outcome.RetryAfter = rejectionRetryAfter
	}
	return result
}

// approximateBytes is about what an outcome's parts take.
func approximateBytes(outcome dispatch.Outcome) int {
	const perPart, perStep = 128, 96
	total := perStep * len(outcome.Explanation)
	for _, part := range outcome.Parts {
		body, _ := part.Body.(json.RawMessage)
		total += perPart + len(body)
	}
	return total
}
