package routing

import (
	"time"

	"github.com/banksail/banksail/gather"
)

// aimStopPolicy stops a request at its route's latency target once the minimum coverage is
// reached: until then waiting costs nothing, and afterwards another part adds little value. A
// request that already missed the target waits longer for the remaining parts.
type aimStopPolicy struct{ request *request }

// lateWaitFactor is the multiple of the latency target until which a late request waits for full
// coverage.
const lateWaitFactor = 1.3

// StopAfter implements gather.StopPolicy.
func (p aimStopPolicy) StopAfter(gather.Progress) (time.Duration, bool) {
	q := p.request
	aim := q.asked.Route.LatencyTarget
	if aim == 0 {
		return 0, false
	}
	after := q.answerTimeout()
	if q.router.now > q.arrivedAt+after+timerSlack {
		return time.Duration(lateWaitFactor * float64(aim)), true
	}
	return after, true
}

// timerSlack is the maximum expected delay of a timer.
const timerSlack = 2 * time.Millisecond

// answerTimeout returns the time since the request's arrival at which the answer must be sent to
// reach the caller within the route's latency target. It is at least a quarter of the target.
func (q *request) answerTimeout() time.Duration {
	after := q.asked.Route.LatencyTarget - q.asked.Elapsed - q.asked.ReturnTime - q.router.options.AnswerMargin
	return max(after, q.asked.Route.LatencyTarget/4)
}

// isLate reports whether the request has missed its route's latency target.
func (q *request) isLate() bool {
	return q.asked.Route.LatencyTarget > 0 && q.router.now > q.arrivedAt+q.answerTimeout()
}
