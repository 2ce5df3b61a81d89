package routing

import (
	"time"

	"github.com/banksail/banksail/gather"
)

// stopByAim stops at the route's aim once the minimum coverage is there: until
// then waiting costs nothing, and afterwards an answer is worth little more for
// another part. An answer that is late anyway waits longer for the rest.
type stopByAim struct{ request *request }

// latePatience is the multiple of the aim until which an answer that is late
// anyway waits for full coverage.
const latePatience = 1.3

// StopAfter implements gather.StopPolicy.
func (p stopByAim) StopAfter(gather.Progress) (time.Duration, bool) {
	q := p.request
	aim := q.asked.Route.Aim
	if aim == 0 {
		return 0, false
	}
	after := q.answerBy()
	if q.router.now > q.began+after+stopSlack {
		return time.Duration(latePatience * float64(aim)), true
	}
	return after, true
}

// stopSlack is how late a timer may be.
const stopSlack = 2 * time.Millisecond

// answerBy is the time since the request's arrival at which an answer must
// leave to be at the caller within the route's aim.
func (q *request) answerBy() time.Duration {
	after := q.asked.Route.Aim - q.asked.Elapsed - q.asked.ReturnTime - q.router.options.AnswerMargin
	return max(after, q.asked.Route.Aim/4)
}

// late reports whether the request has missed its route's aim.
func (q *request) late() bool {
	return q.asked.Route.Aim > 0 && q.router.now > q.began+q.answerBy()
}
