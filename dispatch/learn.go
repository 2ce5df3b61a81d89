package dispatch

import (
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/limit"
)

// attemptEnd is how an attempt ended, as far as it says something of its server.
type attemptEnd int

const (
	endAnswered    attemptEnd = iota // ran, in the time that it took
	endShed                          // turned away by a server that is too busy
	endNotExecuted                   // turned away for another reason
	endFailed                        // no reply, or a wrong one
	endCancelled                     // given up before a reply came
)

// endOf classifies a reply.
func endOf(a *gather.Attempt, reply Reply) attemptEnd {
	switch reply.Status {
	case ReplyDone:
		if reply.Snapshot != a.Snapshot || reply.Range != a.Range {
			return endFailed
		}
		return endAnswered
	case ReplyShed:
		return endShed
	case ReplyUnknownSnapshot, ReplyNotOwner, ReplyDraining:
		return endNotExecuted
	default:
		return endFailed
	}
}

// sample is what the end means to the server's limiter.
func (e attemptEnd) sample() limit.Outcome {
	switch e {
	case endAnswered:
		return limit.Answered
	case endShed:
		return limit.Shed
	default:
		return limit.Ignored
	}
}

// learn takes the end of an attempt into latencies and the server's record.
func (d *Dispatcher) learn(a *gather.Attempt, s *server, latency time.Duration, end attemptEnd) {
	switch end {
	case endAnswered:
		s.worked()
		s.observeLatency(d.now, latency)
		d.sample(a, latency)
	case endFailed:
		s.failed(d.now)
	case endCancelled:
		// The latency would have been longer; leaving such attempts out would
		// make slow servers look fast.
		s.observeAtLeast(d.now, latency)
		d.sample(a, latency)
	case endShed, endNotExecuted:
	}
}

// sample takes a latency into the sketches from which delays are chosen.
func (d *Dispatcher) sample(a *gather.Attempt, latency time.Duration) {
	d.latencies.Add(latency)
	a.Segment.Group.(*group).latencies.Add(latency)
}
