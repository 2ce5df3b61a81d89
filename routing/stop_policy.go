package routing

import (
	"time"

	"github.com/banksail/banksail/gather"
)

// aimStopPolicy stops at the route's aim once the minimum coverage is there: until
// then waiting costs nothing, and afterwards an answer is worth little more for
// another part. An answer that is late anyway waits longer for the rest.
type aimStopPolicy struct{ request *request }

// lateWaitFactor is the multiple of the aim until which an answer that is late
// anyway waits for full coverage.
const lateWaitFactor = 1.3

// StopAfter implements gather.StopPolicy.
func (p aimStopPolicy) StopAfter(gather.Progress) (time.Duration, bool) {
	q := p.request
	aim := q.asked.Route.Aim
	if aim == 0 {
		return 0, false
	}
	after := q.answerTimeout()
	if q.router.now > q.arrivedAt+after+timerSlack {
		return time.Duration(lateWaitFactor * float64(aim)), true
	}
	return after, true
}

// timerSlack is how late a timer may be.
const timerSlack = 2 * time.Millisecond

// answerTimeout is the time since the request's arrival at which an answer must
// leave to be at the caller within the route's aim.
func (q *request) answerTimeout() time.Duration {
	after := q.asked.Route.Aim - q.asked.Elapsed - q.asked.ReturnTime - q.router.options.AnswerMargin
	return max(after, q.asked.Route.Aim/4)
}

// isLate reports whether the request has missed its route's aim.
func (q *request) isLate() bool {
	return q.asked.Route.Aim > 0 && q.router.now > q.arrivedAt+q.answerTimeout()
}
