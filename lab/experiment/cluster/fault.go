package cluster

import "time"

// FaultKind is the kind of an injected fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies service times by Factor. It applies to queries that
	// arrive during the fault, so that no policy gains by waiting for its end.
	FaultSlow FaultKind = "slow"
	// FaultCrash stops servers: in-flight work is lost and connections are
	// refused until the fault ends.
	FaultCrash FaultKind = "lost"
	// FaultDrain drains servers: they reply to new work that they are draining.
	// When the fault ends they accept work again.
	FaultDrain FaultKind = "drain"
	// FaultColdStart restarts servers: their idle connections are closed, and the
	// multiplier of service times falls linearly from Factor to 1 during the
	// fault.
	FaultColdStart FaultKind = "cold-start"
	// FaultFalseLoad makes servers report zero load.
	FaultFalseLoad FaultKind = "lying-load"
	// FaultRepartition moves the upper half of a group's key range to the next
	// group.
	FaultRepartition FaultKind = "repartition"
)

// AnyReplica as Fault.Replica applies a fault to all replicas of a group.
const AnyReplica = -1

// Fault is a fault that is active from Start until End.
type Fault struct {
	Kind FaultKind
	// Group is the index of the group.
	Group int
	// Replica is the index of the server in its group, or AnyReplica.
	Replica int
	Start   time.Duration
	End     time.Duration
	// Factor multiplies service times for FaultSlow and FaultColdStart.
	Factor float64
	// DetectionLag is the maximum delay until a node learns of the change.
	DetectionLag time.Duration
}

func (f Fault) isActive(now time.Duration) bool { return f.Start <= now && now < f.End }

func (f Fault) affects(group, replica int) bool {
	return f.Group == group && (f.Replica == AnyReplica || f.Replica == replica)
}

// slowdown returns the multiplier of an affected server's service times for queries
// that arrive at a time.
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
