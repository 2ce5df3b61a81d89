package routing

import (
	"slices"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/serverstate"
)

const (
	// otherZonePenalty and otherRegionPenalty are added to the expected latency of a server in
	// another zone or region, together with otherZonePenaltyShare or otherRegionPenaltyShare of
	// the route's latency target: as long as answers meet the target, traffic between zones costs
	// more than the time it takes.
	otherZonePenalty        = 3 * time.Millisecond
	otherRegionPenalty      = 25 * time.Millisecond
	otherZonePenaltyShare   = 0.12
	otherRegionPenaltyShare = 0.2
	// defaultLatency is the expected latency of a route without statistics.
	defaultLatency = 10 * time.Millisecond
	// scoreJitter is the relative difference in score within which servers are chosen at random.
	scoreJitter = 0.05
)

// chooseServer selects a server for a part of a request, or returns why there is none.
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

// waitsForDiscovery reports whether a part should wait because no server of its service is known
// at all: entries that expired during a registry outage reappear soon after it, and a node that
// has just started does not know all servers yet. A request to a single service is rejected
// instead, before it costs anything.
func (q *request) waitsForDiscovery(s *service) bool {
	return len(s.servers) == 0 && q.asked.Route.Repeatable && q.asked.Route.Target.IsFanOut()
}

// canAnswerInTime reports whether an attempt with the given expected latency may still answer
// before the request stops waiting. Half of the replies take at most half of the expected latency.
// A hedge that cannot is wasted work.
func (q *request) canAnswerInTime(expected time.Duration) bool {
	answerBy := q.arrivedAt + q.answerTimeout()
	if q.asked.Route.LatencyTarget == 0 || q.router.now > answerBy || !q.router.enabled(mechanism.TimelyHedges) {
		return true
	}
	return q.router.now+expected/2 <= answerBy
}

// canHedgeProbe reports whether a hedge is allowed if the probe turns out slow.
func (r *Router) canHedgeProbe(s *service, q *request) bool {
	return q.asked.Route.Repeatable && q.asked.Route.Attempts > 1 && r.extraSendAllowed(s, gather.HedgeSend)
}

// maySendTo reports whether the part may be sent to the server without exceeding the route's limit
// on servers per part.
func (p *part) maySendTo(s *server, attempts int) bool {
	return len(p.asked) < attempts || slices.Contains(p.asked, s)
}

// score returns the expected latency of a request at the server in nanoseconds, including a
// penalty for its distance.
func (r *Router) score(s *server, q *request) float64 {
	median := q.stats.median()
	if median == 0 {
		median = defaultLatency
	}
	expected := float64(median) * r.expectedSlowness(s) * (1 + s.Utilization(r.now, s.Slots))
	expected += float64(r.distancePenalty(s.Zone, q.asked.Route.LatencyTarget))
	return expected * (1 + scoreJitter*r.random.Float64())
}

// expectedSlowness returns the server's current expected slowness.
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

// distancePenalty returns the latency penalty for a server in the given zone.
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
	minHedgeDelay = 4 * time.Millisecond
	// minHedgeQuantile is the latency quantile before which no hedge is sent, however short the
	// route's latency target. Where most parts take longer than the share of the target after
	// which hedges are sent, as on a node that is itself slow, hedges would double its load. On
	// nodes with 0.12 core this limit raises the value of all answers on a day of high load from
	// 0.23 to 0.30 (two seeds); on larger nodes that value changes by less than 0.01.
	minHedgeQuantile = 0.6
	// maxHedgeDelayTimeoutShare caps the hedge delay as a share of the timeout, for routes without
	// a latency target.
	maxHedgeDelayTimeoutShare = 0.1
)

// hedgeDelay returns how long to wait for an attempt before sending a hedge.
func (r *Router) hedgeDelay(q *request) time.Duration {
	longest := time.Duration(float64(q.asked.Route.LatencyTarget) * r.options.MaxHedgeDelayShare)
	if longest == 0 {
		longest = time.Duration(float64(q.asked.Route.Timeout) * maxHedgeDelayTimeoutShare)
	}
	if q.stats.sketch.Count() < minSamples {
		return longest
	}
	delay := min(max(q.stats.sketch.Quantile(r.options.HedgeQuantile), minHedgeDelay), longest)
	return max(delay, q.stats.sketch.Quantile(minHedgeQuantile))
}
