package dispatch

import (
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
)

// attemptResult is how an attempt ended, as far as it says something of its server.
type attemptResult int

const (
	resultAnswered    attemptResult = iota // ran, in the time that it took
	resultShed                             // turned away by a server that is too busy
	resultNotExecuted                      // turned away for another reason
	resultFailed                           // no reply, or a wrong one
	resultCancelled                        // given up before a reply came
)

// classifyReply classifies a reply.
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

// limiterOutcome is what the end means to the server's limiter.
func (e attemptResult) limiterOutcome() limit.Outcome {
	switch e {
	case resultAnswered:
		return limit.Answered
	case resultShed:
		return limit.Shed
	default:
		return limit.Ignored
	}
}

// recordResult takes the end of an attempt into latencies and the server's record.
func (d *Dispatcher) recordResult(a *gather.Attempt, s *server, latency time.Duration, end attemptResult) {
	switch end {
	case resultAnswered:
		s.recordSuccess()
		s.observeLatency(d.now, latency)
		d.recordLatency(a, latency)
	case resultFailed:
		s.recordFailure(d.now)
	case resultCancelled:
		// The latency would have been longer; leaving such attempts out would
		// make slow servers look fast.
		s.observeMinLatency(d.now, latency)
		d.recordLatency(a, latency)
	case resultShed, resultNotExecuted:
	}
}

// sample takes a latency into the sketches from which delays are chosen.
func (d *Dispatcher) recordLatency(a *gather.Attempt, latency time.Duration) {
	d.latencies.Add(latency)
	a.Segment.Group.(*group).latencies.Add(latency)
}
