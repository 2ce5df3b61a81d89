package cluster

import "time"

// FaultKind names what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies service times by Factor. It holds for queries that
	// arrive while it lasts, so that no policy gains by waiting for its end.
	FaultSlow FaultKind = "slow"
	// FaultCrash stops servers: work in flight is lost, connections are refused.
	FaultCrash FaultKind = "lost"
	// FaultDrain makes servers leave: they answer draining to new work. After
	// the fault's end they are back.
	FaultDrain FaultKind = "drain"
	// FaultColdStart makes servers start anew: their connections are closed and
	// service times fall from Factor to 1 until the end of the fault.
	FaultColdStart FaultKind = "cold-start"
	// FaultFalseLoad makes servers report that they have no load.
	FaultFalseLoad FaultKind = "lying-load"
	// FaultRepartition moves half of a group's key range to the next group.
	FaultRepartition FaultKind = "repartition"
)

// AnyReplica makes a fault hold for each replica of a group.
const AnyReplica = -1

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind FaultKind
	// Group is the index of the group.
	Group int
	// Replica is the index of the server in its group, or AnyReplica.
	Replica int
	Start   time.Duration
	End     time.Duration
	// Factor multiplies service times, for the kinds that do.
	Factor float64
	// DetectionLag is how long membership needs to tell the nodes.
	DetectionLag time.Duration
}

func (f Fault) isActive(now time.Duration) bool { return f.Start <= now && now < f.End }

func (f Fault) affects(group, replica int) bool {
	return f.Group == group && (f.Replica == AnyReplica || f.Replica == replica)
}

// slowdown multiplies the service times at a server for queries that arrive now.
func (f Fault) slowdown(now time.Duration) float64 {
	if !f.isActive(now) {
		return 1
	}
	switch f.Kind {
	case FaultSlow:
		return f.Factor
	case FaultColdStart:
		left := float64(f.End-now) / float64(f.End-f.Start)
		return 1 + (f.Factor-1)*left
	default:
		return 1
	}
}
