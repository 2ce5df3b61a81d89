package node

import (
	"encoding/json"
	"time"

	"github.com/banksail/banksail/caller"
	"github.com/banksail/banksail/dispatch"
)

// recordedOutcome is the outcome of a non-repeatable request that ran.
type recordedOutcome struct {
	result    caller.Result
	bytes     int
	expiresAt time.Duration
	// evicted reports that the parts were dropped to stay within the memory
	// limit or because the window ended.
	evicted bool
}

// recordedOutcomes bounds the memory used by recorded outcomes: the oldest lose
// their parts first. The caller provides the locking.
type recordedOutcomes struct {
	limit  int
	window time.Duration
	bytes  int
	// withParts lists the outcomes that still have their parts, oldest first.
	withParts []*recordedOutcome
}

// add records an outcome and evicts the parts of old ones as needed.
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

// duplicateResult returns the result for a duplicate of the request. If the
// parts of a completed request were evicted, its execution is reported as
// unknown.
func (r *recordedOutcome) duplicateResult() caller.Result {
	result := r.result
	result.Duplicate = true
	if r.evicted && result.Outcome.Execution == dispatch.ExecutionDone {
		result.Outcome.Execution = dispatch.ExecutionUnknown
		result.Outcome.Reason = caller.ReasonResultEvicted
		result.Outcome.RetryAfter = rejectionRetryAfter
	}
	return result
}

// approximateBytes estimates the memory used by an outcome's parts and
// explanation.
func approximateBytes(outcome dispatch.Outcome) int {
	const perPart, perStep = 128, 96
	total := perStep * len(outcome.Explanation)
	for _, part := range outcome.Parts {
		body, _ := part.Body.(json.RawMessage)
		total += perPart + len(body)
	}
	return total
}
