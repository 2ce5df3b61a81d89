package dispatch

import (
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
)

// attemptResult is how an attempt ended, as feedback on its server.
type attemptResult int

const (
	resultAnswered    attemptResult = iota // executed; the latency is valid
	resultShed                             // rejected because the server is overloaded
	resultNotExecuted                      // rejected for another reason
	resultFailed                           // no reply, or a wrong one
	resultCancelled                        // cancelled before a reply arrived
)

// classifyReply returns the result that a reply indicates.
func classifyReply(a *gather.Attempt, reply Reply) attemptResult {
	switch reply.Status {
	case ReplyDone:
		if reply.Snapshot != a.Snapshot || reply.Range != a.Range {
			return resultFailed
		}
		return resultAnswered
	case ReplyShed:
		return resultShed
	case ReplyUnknownSnapshot, ReplyNotOwner, ReplyDraining:
		return resultNotExecuted
	default:
		return resultFailed
	}
}

// limiterOutcome returns the outcome that the server's limiter records.
func (r attemptResult) limiterOutcome() limit.Outcome {
	switch r {
	case resultAnswered:
		return limit.Answered
	case resultShed:
		return limit.Shed
	default:
		return limit.Ignored
	}
}

// recordResult updates the latency estimates and the failure counts of the server with the
// result of an attempt.
func (d *Dispatcher) recordResult(a *gather.Attempt, s *server, latency time.Duration, result attemptResult) {
	switch result {
	case resultAnswered:
		s.recordSuccess()
		s.observeLatency(d.now, latency)
		d.recordLatency(a, latency)
	case resultFailed:
		s.recordFailure(d.now)
	case resultCancelled:
		// The full latency would have been longer. Omitting cancelled attempts would make slow
		// servers appear fast.
		s.observeMinLatency(d.now, latency)
		d.recordLatency(a, latency)
	case resultShed, resultNotExecuted:
	}
}

// recordLatency adds a latency to the sketches of the service and the group.
func (d *Dispatcher) recordLatency(a *gather.Attempt, latency time.Duration) {
	d.latencies.Add(latency)
	a.Segment.Group.(*group).latencies.Add(latency)
}
