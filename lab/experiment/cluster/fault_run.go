package cluster

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// Values of entry.number for fault entries.
const (
	faultStarts uint64 = iota
	faultEnds
)

const revisionAfterRepartition policy.Revision = 2

func (r *run) scheduleFaults() {
	for index, fault := range r.scenario.Faults {
		r.events.push(entry{at: fault.Start, kind: kindFault, index: index, number: faultStarts})
		r.events.push(entry{at: fault.End, kind: kindFault, index: index, number: faultEnds})
	}
}

// applyFault starts or ends the effects of a fault other than longer service times,
// which Fault.slowdown gives.
func (r *run) applyFault(index int, ends bool) {
	fault := r.scenario.Faults[index]
	if fault.Kind == FaultRepartition {
		r.repartition(fault, ends)
		return
	}
	for _, target := range r.servers {
		if !fault.affects(target.group, target.replica) {
			continue
		}
		switch fault.Kind {
		case FaultCrash:
			r.setCrashed(target, !ends, fault.DetectionLag)
		case FaultDrain:
			target.draining = !ends
			r.announceState(target, stateOrLive(ends, dispatch.ServerLeaving), fault.DetectionLag)
		case FaultColdStart:
			if !ends {
				r.closeConnections(target)
			}
		case FaultFalseLoad:
			target.reportsNoLoad = !ends
		}
	}
}

func stateOrLive(ends bool, state dispatch.ServerState) dispatch.ServerState {
	if ends {
		return dispatch.ServerLive
	}
	return state
}

// setCrashed stops a server or starts it again. Stopping it loses its running and
// queued attempts.
func (r *run) setCrashed(target *server, crashed bool, lag time.Duration) {
	target.crashed = crashed
	if crashed {
		for _, failed := range append(append([]*attempt(nil), target.running...), target.queue...) {
			if failed.state == attemptRunning {
				r.endExecution(failed)
			}
			failed.state = attemptEnded
			r.fail(failed, dispatch.DeliveryUnknown, "connection reset")
		}
		target.queue = nil
		r.closeConnections(target)
	}
	r.announceState(target, stateOrLive(!crashed, dispatch.ServerGone), lag)
}

func (r *run) closeConnections(target *server) {
	for _, connected := range r.nodes {
		target.openConnections -= len(connected.idleConnections[target.index])
		connected.idleConnections[target.index] = nil
	}
}

// announceState sends a server's state to every node, each after a random delay of
// at most lag.
func (r *run) announceState(target *server, state dispatch.ServerState, lag time.Duration) {
	for _, notified := range r.nodes {
		uniform := draw(r.seed, streamConfiguration, uint64(notified.index), uint64(target.index), uint64(r.now))
		at := r.now + time.Duration(uniform*float64(lag))
		r.scheduleNodeEvent(at, notified, dispatch.ServerChanged{Server: target.id, State: state})
	}
}

// repartition moves the upper half of a group's range to the next group. The source
// group's servers answer for the old range until the fault ends; the nodes get the
// new configuration within the detection lag.
func (r *run) repartition(fault Fault, ends bool) {
	if fault.Group+1 >= len(r.scenario.Service.Groups) {
		return
	}
	changed := r.scenario.Service
	changed.Groups = append([]policy.Group(nil), changed.Groups...)
	source, destination := &changed.Groups[fault.Group], &changed.Groups[fault.Group+1]
	middle := source.Range.Start + source.Range.Size()/2
	source.Range = coverage.Range{Start: source.Range.Start, End: middle}
	destination.Range = coverage.Range{Start: middle, End: destination.Range.End}
	for _, target := range r.servers {
		switch {
		case ends && target.group == fault.Group:
			target.ownedRange = source.Range
		case !ends && target.group == fault.Group+1:
			target.ownedRange = destination.Range
		}
	}
	if ends {
		return
	}
	for _, notified := range r.nodes {
		uniform := draw(r.seed, streamConfiguration, uint64(notified.index), 0, uint64(r.now))
		at := r.now + time.Duration(uniform*float64(fault.DetectionLag))
		r.scheduleNodeEvent(at, notified, r.configuredEvent(revisionAfterRepartition, changed))
	}
}
