package routing

import (
	"slices"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/serverstate"
)

const (
	// otherZonePenalty and otherRegionPenalty are added to the expected latency of a server
	// that is not near, and otherZonePenaltyShare and otherRegionPenaltyShare of the route's
	// aim: as long as an answer comes in time, the bytes between zones cost more
	// than the time.
	otherZonePenalty        = 3 * time.Millisecond
	otherRegionPenalty      = 25 * time.Millisecond
	otherZonePenaltyShare   = 0.12
	otherRegionPenaltyShare = 0.2
	// defaultLatency is the latency expected of a route of which nothing is known.
	defaultLatency = 10 * time.Millisecond
	// scoreJitter is the part of the best score within which servers are equal.
	scoreJitter = 0.05
)

// chooseServer picks a server for a part of a request.
func (r *Router) chooseServer(s *service, q *request, segment *gather.Segment, kind gather.SendKind) (*server, gather.Placement) {
	p := &q.parts[segment.Range.Start]
	anyUsable, anyUntried, affordable := false, false, true
	if p.countedInBudget && !r.extraSendAllowed(s, kind) {
		affordable = false
	}
	capacity := r.connectionShare(s)
	if s.canary != nil {
		r.updateTrafficModes(s)
		if kind == gather.FirstSend {
			if srv := r.chooseCanaryServer(s, q, p, capacity); srv != nil {
				return srv, gather.Placed
			}
		}
	}
	var best *server
	bestScore := 0.0
	for _, candidate := range s.servers {
		if !candidate.isUsable() || !q.allowsZone(candidate.Zone) {
			continue
		}
		anyUsable = true
		if segment.HasTried(candidate) || !p.maySendTo(candidate, q.asked.Route.Attempts) {
			continue
		}
		anyUntried = true
		if !r.coldLimitAllows(s, candidate) {
			r.scheduleDispatch(s, r.now+coldRetryInterval())
			continue
		}
		if shedUntil := candidate.ShedUntil(); shedUntil > r.now {
			r.scheduleDispatch(s, shedUntil)
			continue
		}
		if candidate.InFlight() >= capacity {
			continue
		}
		if kind == gather.FirstSend && r.enabled(mechanism.SlowServerProbes) && candidate.ProbeDue(r.now) && r.canHedgeProbe(s, q) {
			candidate.RecordProbe(r.now)
			return candidate, gather.Placed
		}
		score := r.score(candidate, q)
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	switch {
	case !anyUsable && kind != gather.HedgeSend && q.waitsForDiscovery(s):
		return nil, gather.Busy
	case !anyUsable:
		return nil, gather.Unservable
	case !anyUntried:
		return nil, gather.AllTried
	case !affordable && kind == gather.HedgeSend:
		q.hedgesOverBudget++
		return nil, gather.Busy
	case !affordable:
		return nil, gather.Overloaded
	case best != nil && kind == gather.HedgeSend && !q.canAnswerInTime(time.Duration(bestScore)):
		q.hedgesTooLate++
		return nil, gather.Busy
	case best == nil:
		q.sendsWithoutCapacity++
		return nil, gather.Busy
	default:
		return best, gather.Placed
	}
}

// waitsForDiscovery reports whether a part waits for a service of which no server is known
// at all: entries that lapsed while the registry was away come back soon after it, and
// a node that has just started knows no others. A request to one service is refused
// instead, before it costs anything.
func (q *request) waitsForDiscovery(s *service) bool {
	return len(s.servers) == 0 && q.asked.Route.Repeatable && q.asked.Route.Target.FanOut()
}

// canAnswerInTime reports whether an attempt that takes the given time may still answer
// before the request stops waiting: half of the answers come in half of it. A
// hedge that does not is wasted.
func (q *request) canAnswerInTime(expected time.Duration) bool {
	answerBy := q.arrivedAt + q.answerTimeout()
	if q.asked.Route.Aim == 0 || q.router.now > answerBy || !q.router.enabled(mechanism.TimelyHedges) {
		return true
	}
	return q.router.now+expected/2 <= answerBy
}

// canHedgeProbe reports whether a hedge may follow if the probe is slow.
func (r *Router) canHedgeProbe(s *service, q *request) bool {
	return q.asked.Route.Repeatable && q.asked.Route.Attempts > 1 && r.extraSendAllowed(s, gather.HedgeSend)
}

// maySendTo reports whether the part may be sent to the server: it may be sent to
// no more servers than the route allows.
func (p *part) maySendTo(s *server, attempts int) bool {
	return len(p.asked) < attempts || slices.Contains(p.asked, s)
}

// score is the latency that is expected of a server.
func (r *Router) score(s *server, q *request) float64 {
	median := q.stats.median()
	if median == 0 {
		median = defaultLatency
	}
	expected := float64(median) * r.expectedSlowness(s) * (1 + s.Utilization(r.now, s.Slots))
	expected += float64(r.distancePenalty(s.Zone, q.asked.Route.Aim))
	return expected * (1 + scoreJitter*r.random.Float64())
}

// expectedSlowness is the slowness that is expected of a server now.
func (r *Router) expectedSlowness(s *server) float64 {
	slowness := serverstate.NormalSlowness
	if r.enabled(mechanism.LatencyRanking) {
		slowness = s.Slowness(r.now, &r.starts)
	}
	if r.enabled(mechanism.OverdueAttempts) {
		slowness = max(slowness, s.OverdueSlowness(r.now))
	}
	return slowness
}

// distancePenalty is what is added for the way to a zone.
func (r *Router) distancePenalty(zone string, aim time.Duration) time.Duration {
	switch {
	case zone == r.options.Zone, !r.enabled(mechanism.Locality):
		return 0
	case r.options.Regions[zone] == r.options.Regions[r.options.Zone]:
		return otherZonePenalty + time.Duration(otherZonePenaltyShare*float64(aim))
	default:
		return otherRegionPenalty + time.Duration(otherRegionPenaltyShare*float64(aim))
	}
}

const (
	// minHedgeDelay is the shortest wait before a hedge.
	minHedgeDelay = 4 * time.Millisecond
	// minHedgeQuantile is the quantile of a route's latencies before which no second server is
	// asked, however short the route's aim is: where most parts take longer than a share of
	// the aim, as on a node that is late by itself, hedges would double its work. On nodes
	// of 0.12 core the worth of a day of high load grows from 0.23 to 0.30 (two seeds),
	// and changes by less than 0.01 on larger ones.
	minHedgeQuantile = 0.6
	// maxHedgeDelayTimeoutShare bounds the wait by the time-out of a route without aim.
	maxHedgeDelayTimeoutShare = 0.1
)

// hedgeDelay is how long an attempt is awaited before a second server is asked.
func (r *Router) hedgeDelay(q *request) time.Duration {
	longest := time.Duration(float64(q.asked.Route.Aim) * r.options.MaxHedgeDelayShare)
	if longest == 0 {
		longest = time.Duration(float64(q.asked.Route.Timeout) * maxHedgeDelayTimeoutShare)
	}
	if q.stats.sketch.Count() < minSamples {
		return longest
	}
	delay := min(max(q.stats.sketch.Quantile(r.options.HedgeQuantile), minHedgeDelay), longest)
	return max(delay, q.stats.sketch.Quantile(minHedgeQuantile))
}
