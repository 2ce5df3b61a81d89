package dispatch

import (
	"github.com/banksail/banksail/gather"
)

// ReplicaPolicy selects how a server is chosen from a group.
type ReplicaPolicy int

const (
	// PowerOfTwoChoices picks the better of two random servers by expected delay. It is the
	// default.
	PowerOfTwoChoices ReplicaPolicy = iota
	// LeastDelay picks the server with the lowest expected delay.
	LeastDelay
	// RandomReplica picks a random server.
	RandomReplica
)

// tier groups eligible servers by preference. A lower tier is preferred, whatever the expected
// delay.
type tier int

const (
	tierHealthy tier = iota
	tierOutlier
	tierSuspect
	tierUnobserved // not known to hold the snapshot
)

// candidate is a server that can accept a sub-request now.
type candidate struct {
	server *server
	tier   tier
}

// maxCandidates limits the number of candidates considered.
const maxCandidates = 256

// chooseReplica chooses a server of the group for the segment. Hedges are sent only to healthy
// servers and don't use the urgent reserve. If the group has no usable server but one that may
// still report its snapshots, the result is Busy until that server's report deadline.
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
	var unreported *server
	for _, replica := range g.servers {
		if replica.isLeaving() || !replica.mayHoldSnapshot(d.now, id) {
			if !replica.isLeaving() && !replica.snapshots.HasReported() {
				unreported = replica
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
	case !usable && unreported != nil:
		d.setTimer(timer{at: unreported.reportDeadline, server: unreported})
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
	case !s.snapshots.Holds(id):
		return tierUnobserved
	case s.state == ServerSuspect:
		return tierSuspect
	case avoid && s.ejectedUntil > d.now:
		return tierOutlier
	default:
		return tierHealthy
	}
}

// mayAvoidOutliers reports whether outliers of the group may be avoided. If most of a group are
// outliers, the detection is wrong.
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

// pickCandidate applies the replica policy to the candidates of the best tier.
func (d *Dispatcher) pickCandidate(candidates []candidate, best tier) *server {
	bestCandidates := candidates[:0]
	for _, c := range candidates {
		if c.tier == best {
			bestCandidates = append(bestCandidates, c)
		}
	}
	switch {
	case len(bestCandidates) == 1:
		return bestCandidates[0].server
	case d.options.ReplicaPolicy == RandomReplica:
		return bestCandidates[d.random.IntN(len(bestCandidates))].server
	case d.options.ReplicaPolicy == LeastDelay:
		return d.leastDelay(bestCandidates)
	default:
		first := d.random.IntN(len(bestCandidates))
		second := d.random.IntN(len(bestCandidates) - 1)
		if second >= first {
			second++
		}
		return d.lowerDelay(bestCandidates[first].server, bestCandidates[second].server)
	}
}

func (d *Dispatcher) leastDelay(candidates []candidate) *server {
	best := candidates[0].server
	for _, c := range candidates[1:] {
		best = d.lowerDelay(best, c.server)
	}
	return best
}

// delayTolerance is the ratio up to which two delays are considered equal, so that the zone
// decides.
const delayTolerance = 1.1

// lowerDelay returns the server with the lower expected delay. If the delays are about equal,
// it prefers the one in the node's zone, then a.
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

// expectedDelay estimates the relative delay of a server from its observed latency and its
// work: the node's own requests in flight, and the reported load of other nodes, weighted by
// age.
func (d *Dispatcher) expectedDelay(s *server) float64 {
	median := float64(d.latencies.Quantile(medianQuantile))
	latency := s.expectedLatency(d.now, median, d.options.LatencyHalfLife)
	work := float64(s.limiter.InFlight()) + 1
	if s.load > 0 {
		work += s.load * d.options.LoadWeight * decayWeight(d.now-s.loadAt, d.options.LoadHalfLife)
	}
	return latency * work / float64(max(s.Slots, 1))
}
