package routing

import (
	"slices"
	"time"

	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/mechanism"
	"github.com/banksail/banksail/serverstate"
)

const (
	// otherZone and otherRegion are added to the expected latency of a server
	// that is not near, and otherZoneShare and otherRegionShare of the route's
	// aim: as long as an answer comes in time, the bytes between zones cost more
	// than the time.
	otherZone        = 3 * time.Millisecond
	otherRegion      = 25 * time.Millisecond
	otherZoneShare   = 0.12
	otherRegionShare = 0.2
	// fallbackUsual is the latency expected of a route of which nothing is known.
	fallbackUsual = 10 * time.Millisecond
	// equalShare is the part of the best score within which servers are equal.
	equalShare = 0.05
)

// choose picks a server for a part of a request.
func (r *Router) choose(s *service, q *request, segment *gather.Segment, kind gather.SendKind) (*server, gather.Placement) {
	done := &q.parts[segment.Range.Start]
	usable, untried, affordable := false, false, true
	if done.counted && !r.mayExtra(s, kind) {
		affordable = false
	}
	room := r.share(s)
	if s.trial != nil {
		r.setStandings(s)
		if kind == gather.FirstSend {
			if one := r.chooseForTrial(s, q, done, room); one != nil {
				return one, gather.Placed
			}
		}
	}
	var best *server
	bestScore := 0.0
	for _, candidate := range s.servers {
		if !candidate.usable() || !q.allows(candidate.Zone) {
			continue
		}
		usable = true
		if segment.HasTried(candidate) || !done.mayAsk(candidate, q.asked.Route.Attempts) {
			continue
		}
		untried = true
		if !r.bearsMore(s, candidate) {
			r.pumpLater(s, r.now+coldRetry())
			continue
		}
		if shedUntil := candidate.ShedUntil(); shedUntil > r.now {
			r.pumpLater(s, shedUntil)
			continue
		}
		if candidate.InFlight() >= room {
			continue
		}
		if kind == gather.FirstSend && r.on(mechanism.SlowServerProbes) && candidate.ProbeDue(r.now) && r.affordsProbe(s, q) {
			candidate.RecordProbe(r.now)
			return candidate, gather.Placed
		}
		score := r.score(candidate, q)
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	switch {
	case !usable && kind != gather.HedgeSend && q.awaitsEntries(s):
		return nil, gather.Busy
	case !usable:
		return nil, gather.Unservable
	case !untried:
		return nil, gather.AllTried
	case !affordable && kind == gather.HedgeSend:
		q.unaffordable++
		return nil, gather.Busy
	case !affordable:
		return nil, gather.Overloaded
	case best != nil && kind == gather.HedgeSend && !q.inTime(time.Duration(bestScore)):
		q.hopeless++
		return nil, gather.Busy
	case best == nil:
		q.roomless++
		return nil, gather.Busy
	default:
		return best, gather.Placed
	}
}

// awaitsEntries reports whether a part waits for a service of which no server is known
// at all: entries that lapsed while the registry was away come back soon after it, and
// a node that has just started knows no others. A request to one service is refused
// instead, before it costs anything.
func (q *request) awaitsEntries(s *service) bool {
	return len(s.servers) == 0 && q.asked.Route.Repeatable && q.asked.Route.Target.FanOut()
}

// inTime reports whether an attempt that takes the given time may still answer
// before the request stops waiting: half of the answers come in half of it. A
// hedge that does not is wasted.
func (q *request) inTime(expected time.Duration) bool {
	by := q.began + q.answerBy()
	if q.asked.Route.Aim == 0 || q.router.now > by || !q.router.on(mechanism.TimelyHedges) {
		return true
	}
	return q.router.now+expected/2 <= by
}

// affordsProbe reports whether a hedge may follow if the probe is slow.
func (r *Router) affordsProbe(s *service, q *request) bool {
	return q.asked.Route.Repeatable && q.asked.Route.Attempts > 1 && r.mayExtra(s, gather.HedgeSend)
}

// mayAsk reports whether the part may be sent to the server: it may be sent to
// no more servers than the route allows.
func (p *part) mayAsk(s *server, attempts int) bool {
	return len(p.asked) < attempts || slices.Contains(p.asked, s)
}

// score is the latency that is expected of a server.
func (r *Router) score(s *server, q *request) float64 {
	usual := q.latency.usual()
	if usual == 0 {
		usual = fallbackUsual
	}
	expected := float64(usual) * r.slownessOf(s) * (1 + s.Utilization(r.now, s.Slots))
	expected += float64(r.distance(s.Zone, q.asked.Route.Aim))
	return expected * (1 + equalShare*r.random.Float64())
}

// slownessOf is the slowness that is expected of a server now.
func (r *Router) slownessOf(s *server) float64 {
	slowness := serverstate.NormalSlowness
	if r.on(mechanism.LatencyRanking) {
		slowness = s.Slowness(r.now, &r.starts)
	}
	if r.on(mechanism.OverdueAttempts) {
		slowness = max(slowness, s.OverdueSlowness(r.now))
	}
	return slowness
}

// distance is what is added for the way to a zone.
func (r *Router) distance(zone string, aim time.Duration) time.Duration {
	switch {
	case zone == r.options.Zone, !r.on(mechanism.Locality):
		return 0
	case r.options.Regions[zone] == r.options.Regions[r.options.Zone]:
		return otherZone + time.Duration(otherZoneShare*float64(aim))
	default:
		return otherRegion + time.Duration(otherRegionShare*float64(aim))
	}
}

const (
	// leastHedgeDelay is the shortest wait before a hedge.
	leastHedgeDelay = 4 * time.Millisecond
	// earliestHedge is the quantile of a route's latencies before which no second server is
	// asked, however short the route's aim is: where most parts take longer than a share of
	// the aim, as on a node that is late by itself, hedges would double its work. On nodes
	// of 0.12 core the worth of a day of high load grows from 0.23 to 0.30 (two seeds),
	// and changes by less than 0.01 on larger ones.
	earliestHedge = 0.6
	// timeoutHedgeShare bounds the wait by the time-out of a route without aim.
	timeoutHedgeShare = 0.1
)

// hedgeDelay is how long an attempt is awaited before a second server is asked.
func (r *Router) hedgeDelay(q *request) time.Duration {
	longest := time.Duration(float64(q.asked.Route.Aim) * r.options.MaxHedgeDelayShare)
	if longest == 0 {
		longest = time.Duration(float64(q.asked.Route.Timeout) * timeoutHedgeShare)
	}
	if q.latency.sketch.Count() < enoughSamples {
		return longest
	}
	delay := min(max(q.latency.sketch.Quantile(r.options.HedgeQuantile), leastHedgeDelay), longest)
	return max(delay, q.latency.sketch.Quantile(earliestHedge))
}
