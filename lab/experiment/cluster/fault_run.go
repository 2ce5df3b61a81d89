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

const repartitionedRevision policy.Revision = 2

func (r *run) planFaults() {
	for index, fault := range r.scenario.Faults {
		r.events.push(entry{at: fault.Start, kind: kindFault, index: index, number: faultStarts})
		r.events.push(entry{at: fault.End, kind: kindFault, index: index, number: faultEnds})
	}
}

// switchFault starts or ends what a fault does besides slowing service.
func (r *run) switchFault(index int, ends bool) {
	fault := r.scenario.Faults[index]
	if fault.Kind == FaultRepartition {
		r.repartition(fault, ends)
		return
	}
	for _, target := range r.servers {
		if !fault.hits(target.group, target.replica) {
			continue
		}
		switch fault.Kind {
		case FaultCrash:
			r.setLost(target, !ends, fault.DetectionLag)
		case FaultDrain:
			target.draining = !ends
			r.announce(target, stateUnless(ends, dispatch.ServerLeaving), fault.DetectionLag)
		case FaultColdStart:
			if !ends {
				r.closeConnections(target)
			}
		case FaultFalseLoad:
			target.lying = !ends
		}
	}
}

func stateUnless(ends bool, state dispatch.ServerState) dispatch.ServerState {
	if ends {
		return dispatch.ServerLive
	}
	return state
}

// setLost stops a server or starts it again. What it was working on is lost.
func (r *run) setLost(target *server, lost bool, lag time.Duration) {
	target.lost = lost
	if lost {
		for _, cut := range append(append([]*attempt(nil), target.running...), target.queue...) {
			if cut.state == attemptRunning {
				r.endExecution(cut)
			}
			cut.state = attemptEnded
			r.fail(cut, dispatch.DeliveryUnknown, "connection reset")
		}
		target.queue = nil
		r.closeConnections(target)
	}
	r.announce(target, stateUnless(!lost, dispatch.ServerGone), lag)
}

func (r *run) closeConnections(target *server) {
	for _, connected := range r.nodes {
		target.connected -= len(connected.idle[target.index])
		connected.idle[target.index] = nil
	}
}

// announce tells every node a server's state, each within the lag.
func (r *run) announce(target *server, state dispatch.ServerState, lag time.Duration) {
	for _, told := range r.nodes {
		uniform := draw(r.seed, streamConfiguration, uint64(told.index), uint64(target.index), uint64(r.now))
		at := r.now + time.Duration(uniform*float64(lag))
		r.plan(at, told, dispatch.ServerChanged{Server: target.id, State: state})
	}
}

// repartition moves the upper half of a group's range to the next group. The
// giving servers answer for the old range until the fault ends; the nodes learn
// of the change within the detection lag.
func (r *run) repartition(fault Fault, ends bool) {
	if fault.Group+1 >= len(r.scenario.Service.Groups) {
		return
	}
	changed := r.scenario.Service
	changed.Groups = append([]policy.Group(nil), changed.Groups...)
	giving, taking := &changed.Groups[fault.Group], &changed.Groups[fault.Group+1]
	middle := giving.Range.Start + giving.Range.Size()/2
	giving.Range = coverage.Range{Start: giving.Range.Start, End: middle}
	taking.Range = coverage.Range{Start: middle, End: taking.Range.End}
	for _, target := range r.servers {
		switch {
		case ends && target.group == fault.Group:
			target.owned = giving.Range
		case !ends && target.group == fault.Group+1:
			target.owned = taking.Range
		}
	}
	if ends {
		return
	}
	for _, told := range r.nodes {
		uniform := draw(r.seed, streamConfiguration, uint64(told.index), 0, uint64(r.now))
		at := r.now + time.Duration(uniform*float64(fault.DetectionLag))
		r.plan(at, told, r.configured(repartitionedRevision, changed))
	}
}
