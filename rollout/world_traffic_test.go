package rollout

import (
	"fmt"
	"time"
)

// traffic sends this tick's requests.
func (w *world) traffic() {
	for i := range w.recent {
		w.recent[i] *= loadMemory
	}
	expected := w.rate * tick.Seconds()
	for expected > 0 && w.random.Float64() < expected {
		expected--
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if n.awake(w.now) && n.heard { // it has no table before
			w.request(n)
		}
	}
}

// request sends one request from a node.
func (w *world) request(n *simNode) {
	route := w.routes[int(float64(len(w.routes))*w.random.Float64()*w.random.Float64())]
	toTarget := n.trial.TrafficMode(w.now, newOne) == Unrestricted && n.trial.TrafficMode(w.now, oldOne) == Blocked || n.trial.ShouldSendToTarget(w.now, route)
	n.trial.CountFirstSend(route, toTarget)
	if !toTarget {
		w.sendOld(n, route)
		return
	}
	if w.sendNew(n, route) == Failed && n.trial.TrafficMode(w.now, oldOne) == Unrestricted {
		w.sendOld(n, route)
	}
	if w.bug == bugRepeatsNotCounted && n.trial.TrafficMode(w.now, newOne) == Limited {
		w.arrive(n, true)
		w.arrive(n, true)
	}
}

// arrive counts an arrival at a server.
func (w *world) arrive(n *simNode, target bool) {
	n.trial.CountRequest()
	inSpan := w.now >= w.orderAt && w.now < w.orderAt+w.duration
	if inSpan {
		w.arrived++
	}
	if !target {
		return
	}
	if inSpan && n.inTouch(w.now) {
		w.given++
	}
	w.moved = w.moved || w.store.value.Phase == Moving
	if !w.moved && float64(w.given) > w.bounds.ExposureShare*float64(w.arrived)+w.bounds.ExposureSlack {
		w.overLimited++
	}
	if w.fiftiethAt > 0 && w.now > w.fiftiethAt+w.bounds.RollbackTime && n.inTouch(w.now) {
		w.givenLate++
	}
}

func (w *world) sendOld(n *simNode, route string) {
	w.arrive(n, false)
	n.inFlight = append(n.inFlight, w.now+time.Duration(w.random.IntN(200))*time.Millisecond)
	if w.end == Completed && n.inTouch(w.now) {
		w.lost++
	}
	n.trial.Evidence().Before(route, w.usualAnswer())
}

func (w *world) sendNew(n *simNode, route string) AnswerQuality {
	n.trial.CountTargetSend()
	w.arrive(n, true)
	place := w.random.IntN(targetServers)
	if bears, underLoad := n.trial.LoadTestServer(w.now); underLoad {
		place = bears % targetServers
	}
	server := fmt.Sprint("server-", place)
	w.recent[place]++
	answer := w.targetAnswer(route, place)
	if answer != Good && w.bad != (badness{}) {
		w.badAnswers++
		if w.badAnswers == 50 {
			w.fiftiethAt = w.now
		}
	}
	if w.badServer && place == 1 && w.random.IntN(2) == 0 {
		answer = Failed
	}
	if answer == Slow && w.bug == bugSlowNotSeen {
		answer = Good
	}
	n.trial.Evidence().Target(route, server, answer)
	return answer
}

// usualAnswer is that of a version that is good.
func (w *world) usualAnswer() AnswerQuality {
	slow := 0.06
	if w.now >= w.slowFrom && w.now < w.slowUntil {
		slow = 0.4
	}
	switch chance := w.random.Float64(); {
	case chance < 0.004:
		return Failed
	case chance < slow:
		return Slow
	default:
		return Good
	}
}

func (w *world) targetAnswer(route string, server int) AnswerQuality {
	applies := w.now >= w.orderAt+w.bad.from && (w.bad.route == "" || w.bad.route == route)
	if w.bad.underLoad && w.recent[server] < loadShare*w.rate/targetServers {
		applies = false
	}
	chance := w.random.Float64()
	switch {
	case applies && chance < w.bad.failed:
		return Failed
	case applies && chance < w.bad.slow:
		return Slow
	default:
		return w.usualAnswer()
	}
}
