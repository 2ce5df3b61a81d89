package dispatch

import (
	"github.com/banksail/banksail/gather"
)

// ReplicaPolicy names a way to choose among the servers of a group.
type ReplicaPolicy int

const (
	// PowerOfTwoChoices compares two random servers by their expected delay. It is the default.
	PowerOfTwoChoices ReplicaPolicy = iota
	// LeastDelay takes the server with the least expected delay of all.
	LeastDelay
	// RandomReplica takes any.
	RandomReplica
)

// tier ranks servers that could take a sub-request; the lowest are
// preferred, whatever their delay.
type tier int

const (
	tierHealthy tier = iota
	tierOutlier
	tierSuspect
	tierUnobserved // not known to hold the snapshot
)

// candidate is a server that could take a sub-request now.
type candidate struct {
	server *server
	tier   tier
}

// maxCandidates bounds the candidates that are weighed.
const maxCandidates = 256

// chooseReplica picks a server of the segment's group.
func (d *Dispatcher) chooseReplica(g *group, s *gather.Segment, kind SendKind) (*server, gather.Placement) {
	var buffer [8]candidate
	candidates := buffer[:0]
	usable, untried := false, false
	best := tierUnobserved
	reserve := 0
	if kind != HedgeSend {
		reserve = d.urgentReserve(runningOf(s.Query()).class.rank)
	}
	avoid := d.mayAvoidOutliers(g)
	id := s.Query().Snapshot()
	var unheard *server
	for _, replica := range g.servers {
		if replica.isLeaving() || !replica.mayHoldSnapshot(d.now, id) {
			if !replica.isLeaving() && !replica.holder.Observed() {
				unheard = replica
			}
			continue
		}
		usable = true
		if s.HasTried(replica) {
			continue
		}
		untried = true
		if !replica.free(d.now, reserve) || len(candidates) == maxCandidates {
			continue
		}
		rank := d.tierOf(replica, id, avoid)
		if kind == HedgeSend && rank != tierHealthy {
			continue
		}
		best = min(best, rank)
		candidates = append(candidates, candidate{server: replica, tier: rank})
	}
	switch {
	case !usable && unheard != nil:
		d.setTimer(timer{at: unheard.reportDeadline, server: unheard})
		return nil, gather.Busy
	case !usable:
		return nil, gather.Unservable
	case !untried:
		return nil, gather.AllTried
	}
	c := runningOf(s.Query()).class
	if len(candidates) == 0 || !g.hasCapacity(c.rank, c.share) {
		return nil, gather.Busy
	}
	return d.pickCandidate(candidates, best), gather.Placed
}

func (d *Dispatcher) tierOf(s *server, id SnapshotID, avoid bool) tier {
	switch {
	case !s.holder.Holds(id):
		return tierUnobserved
	case s.state == ServerSuspect:
		return tierSuspect
	case avoid && s.ejectedUntil > d.now:
		return tierOutlier
	default:
		return tierHealthy
	}
}

// mayAvoidOutliers reports whether outliers of the group may be avoided. When most of a
// group looks bad, the detector is wrong.
func (d *Dispatcher) mayAvoidOutliers(g *group) bool {
	outliers, usable := 0, 0
	for _, s := range g.servers {
		if s.isLeaving() {
			continue
		}
		usable++
		if s.ejectedUntil > d.now {
			outliers++
		}
	}
	return 2*outliers <= usable
}

// pickCandidate chooses among the candidates of the best standing.
func (d *Dispatcher) pickCandidate(candidates []candidate, best tier) *server {
	equals := candidates[:0]
	for _, c := range candidates {
		if c.tier == best {
			equals = append(equals, c)
		}
	}
	switch {
	case len(equals) == 1:
		return equals[0].server
	case d.options.ReplicaPolicy == RandomReplica:
		return equals[d.random.IntN(len(equals))].server
	case d.options.ReplicaPolicy == LeastDelay:
		return d.leastDelay(equals)
	default:
		first := d.random.IntN(len(equals))
		second := d.random.IntN(len(equals) - 1)
		if second >= first {
			second++
		}
		return d.lowerDelay(equals[first].server, equals[second].server)
	}
}

func (d *Dispatcher) leastDelay(candidates []candidate) *server {
	best := candidates[0].server
	for _, c := range candidates[1:] {
		best = d.lowerDelay(best, c.server)
	}
	return best
}

// delayTolerance is the ratio of delays below which the zone decides.
const delayTolerance = 1.1

// lowerDelay returns the server with the lower expected delay; of nearly equal ones
// the one in the node's zone, then the first.
func (d *Dispatcher) lowerDelay(a, b *server) *server {
	delayA, delayB := d.expectedDelay(a), d.expectedDelay(b)
	switch {
	case delayA*delayTolerance < delayB:
		return a
	case delayB*delayTolerance < delayA:
		return b
	case b.Zone == d.options.Zone && a.Zone != d.options.Zone:
		return b
	default:
		return a
	}
}

// expectedDelay weighs a server's observed latency with the work that it has:
// the node's own requests, and what it reported of others', the less the older.
func (d *Dispatcher) expectedDelay(s *server) float64 {
	usual := float64(d.latencies.Quantile(medianQuantile))
	latency := s.expectedLatency(d.now, usual, d.options.LatencyHalfLife)
	work := float64(s.limiter.InFlight()) + 1
	if s.load > 0 {
		work += s.load * d.options.LoadWeight * decayWeight(d.now-s.loadAt, d.options.LoadHalfLife)
	}
	return latency * work / float64(max(s.Slots, 1))
}
