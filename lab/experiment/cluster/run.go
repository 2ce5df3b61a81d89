package cluster

import (
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// drainTime is the time for which a run continues after the last deadline.
const drainTime = time.Second

// unlimitedSlots is the number of slots of a server under an unlimited policy.
const unlimitedSlots = 1 << 30

// unreachableLatency is the latency that LatencyOracle returns for a server that
// would not answer.
const unreachableLatency = time.Hour

// LatencyOracle returns the time from sending a sub-request now until its reply,
// given an open connection and a free slot.
type LatencyOracle func(id dispatch.QueryID, part coverage.Range, server string) time.Duration

// Observer is called with each event that a node's dispatcher handled and the
// actions that it returned.
type Observer func(node int, now time.Duration, event dispatch.Event, actions []dispatch.Action)

// run is the state of one simulation run.
type run struct {
	scenario   *Scenario
	seed       uint64
	unlimited  bool
	observe    Observer
	now        time.Duration
	events     eventQueue
	nodes      []*node
	servers    []*server
	serverByID map[string]*server
	queries    map[dispatch.QueryID]*query
	arrivals   []arrivalStream
	result     *Result
}

// Run simulates a scenario under a policy with a seed and returns the measurements.
// The observer may be nil.
func Run(scenario *Scenario, chosen Policy, seed uint64, observe Observer) *Result {
	r := &run{
		scenario:   scenario,
		seed:       seed,
		unlimited:  chosen.Unlimited,
		observe:    observe,
		serverByID: make(map[string]*server),
		queries:    make(map[dispatch.QueryID]*query),
		result:     newResult(scenario),
	}
	r.addServers()
	r.addNodes(chosen)
	r.scheduleReports()
	r.scheduleFaults()
	r.startArrivals()
	r.processEvents()
	r.result.Unanswered = len(r.queries)
	return r.result
}

func (r *run) processEvents() {
	end := r.endTime()
	for !r.events.empty() {
		next := r.events.pop()
		if next.at > end {
			return
		}
		r.now = next.at
		r.handle(next)
	}
}

// endTime returns the time at which the run ends: drainTime after the latest
// possible deadline, when every query must have been answered.
func (r *run) endTime() time.Duration {
	longest := time.Duration(0)
	for _, class := range r.scenario.Classes {
		longest = max(longest, class.Deadline.Duration())
	}
	return r.scenario.Duration + longest + drainTime
}

func (r *run) handle(next entry) {
	switch next.kind {
	case kindArrival:
		r.handleArrival(next)
	case kindDeliver:
		r.deliver(next.attempt)
	case kindComplete:
		r.complete(next.attempt)
	case kindCancel:
		r.cancelAtServer(next.attempt)
	case kindNodeEvent:
		r.receive(next)
	case kindTimer:
		r.fireTimer(next)
	case kindReport:
		r.sendReport(next)
	case kindConnected:
		r.addSpare(r.nodes[next.index], r.servers[next.number])
	case kindFault:
		r.applyFault(next.index, next.number == faultEnds)
	}
}

func (r *run) fireTimer(due entry) {
	target := r.nodes[due.index]
	if target.timerGeneration == due.number {
		r.step(target, dispatch.TimerFired{})
	}
}

func (r *run) addServers() {
	for groupIndex, group := range r.scenario.Service.Groups {
		for replica, configured := range group.Servers {
			added := &server{
				index:           len(r.servers),
				id:              configured.ID,
				group:           groupIndex,
				replica:         replica,
				slots:           configured.Slots,
				queueLimit:      int(float64(configured.Slots) * r.scenario.QueuePerSlot),
				connectionLimit: configured.Connections,
				ownedRange:      group.Range,
			}
			if r.unlimited {
				added.slots = unlimitedSlots
			}
			r.servers = append(r.servers, added)
			r.serverByID[added.id] = added
		}
	}
}

func (r *run) addNodes(chosen Policy) {
	for index := range r.scenario.Nodes {
		described := Node{
			Index:         index,
			Nodes:         r.scenario.Nodes,
			Zone:          r.scenario.Zones[index%len(r.scenario.Zones)],
			Seed:          mix(r.seed + uint64(index)),
			LatencyOracle: r.exactLatency,
		}
		added := &node{
			index:           index,
			dispatcher:      chosen.New(described),
			attempts:        make(map[dispatch.AttemptID]*attempt),
			idleConnections: make([][]time.Duration, len(r.servers)),
			openingSpares:   make([]int, len(r.servers)),
		}
		r.nodes = append(r.nodes, added)
		r.scheduleInitialState(added)
	}
}

// scheduleInitialState schedules the events from which a node learns the
// configuration, the number of nodes and the servers when it starts.
func (r *run) scheduleInitialState(started *node) {
	r.scheduleNodeEvent(0, started, r.configuredEvent(1, r.scenario.Service))
	r.scheduleNodeEvent(0, started, dispatch.NodesChanged{Live: r.scenario.Nodes})
	for _, known := range r.servers {
		r.scheduleNodeEvent(0, started, dispatch.ServerChanged{Server: known.id, State: dispatch.ServerLive})
		r.scheduleNodeEvent(0, started, r.reportEvent(known))
	}
}

func (r *run) configuredEvent(revision policy.Revision, service policy.Service) dispatch.Configured {
	classes := make([]policy.Class, 0, len(r.scenario.Classes))
	for _, class := range r.scenario.Classes {
		classes = append(classes, class.Class)
	}
	return dispatch.Configured{Revision: revision, Service: service, Classes: classes}
}

func (r *run) reportEvent(reporting *server) dispatch.ServerReported {
	return dispatch.ServerReported{
		Server:    reporting.id,
		Snapshots: []dispatch.SnapshotID{firstSnapshot},
		Load:      reporting.load(r.now, r.scenario.Reports.Lag),
	}
}

// scheduleNodeEvent schedules an event for a node.
func (r *run) scheduleNodeEvent(at time.Duration, to *node, event dispatch.Event) {
	r.events.push(entry{at: at, kind: kindNodeEvent, index: to.index, event: event})
}

func (r *run) scheduleReports() {
	period := r.scenario.Reports.Period
	if period == 0 {
		return
	}
	for index := range r.servers {
		first := period * time.Duration(index+1) / time.Duration(len(r.servers))
		r.events.push(entry{at: first, kind: kindReport, index: index})
	}
}

func (r *run) sendReport(due entry) {
	reporting := r.servers[due.index]
	if !reporting.crashed {
		for _, reader := range r.nodes {
			r.scheduleNodeEvent(r.now+r.scenario.Network.Delay, reader, r.reportEvent(reporting))
		}
	}
	if next := r.now + r.scenario.Reports.Period; next <= r.scenario.Duration {
		r.events.push(entry{at: next, kind: kindReport, index: due.index})
	}
}
