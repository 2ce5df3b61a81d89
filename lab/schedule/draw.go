package schedule

import (
	"math/rand/v2"
	"time"
)

// generator generates random faults.
type generator struct {
	random   *rand.Rand
	topology Topology
	options  Options
}

// randomDuration returns a duration from the closed interval [low, high].
func (d *generator) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(d.random.Int64N(int64(high-low)+1))
}

func (d *generator) randomHost(hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return hosts[d.random.IntN(len(hosts))]
}

func (d *generator) randomServer() string { return d.randomHost(d.randomGroup()) }

func (d *generator) randomGroup() []string {
	if len(d.topology.Groups) == 0 {
		return nil
	}
	return d.topology.Groups[d.random.IntN(len(d.topology.Groups))]
}

// otherKind returns a random kind other than the given one.
func (d *generator) otherKind(kind Kind) Kind {
	kinds := Kinds()
	for {
		other := kinds[d.random.IntN(len(kinds))]
		if other != kind {
			return other
		}
	}
}

// overlappingFault returns a random fault that starts while the first one is active.
func (d *generator) overlappingFault(kind Kind, first Fault) Fault {
	fault := d.randomFault(kind)
	length := fault.Until - fault.At
	fault.At = d.randomDuration(first.At, first.Until)
	fault.Until = fault.At + length
	return fault
}

// randomFault returns a fault of the given kind with random hosts, times and delay.
func (d *generator) randomFault(kind Kind) Fault {
	fault := Fault{Kind: kind, At: d.randomDuration(d.options.From, d.options.To)}
	fault.Until = fault.At + d.randomDuration(d.options.MinDuration, d.options.MaxDuration)
	switch kind {
	case KillNode, LoseNode, FreezeNode, Isolate, PlannedStop:
		fault.Target = d.randomHost(d.topology.Nodes)
	case LeaseExpiry:
		fault.Target = d.randomHost(d.topology.Nodes)
		fault.Until = fault.At + d.options.LeaseTimeToLive + d.randomDuration(d.options.MinDuration, d.options.MaxDuration)
	case Drain:
		fault.Target = d.randomServer()
		fault.Until = fault.At + d.options.MinDrainDuration + d.randomDuration(d.options.MinDuration, d.options.MaxDuration)
	case KillServer, LoseServer, FreezeServer, CloseAfterRead, ConnectionLimit,
		Shed, ColdStart, FalseHealth, FalseLoad, LateReplies, CrossedReplies:
		fault.Target = d.randomServer()
	case Partition, PartitionOneWay, ResetConnections, SlowLink:
		fault.Target, fault.Peer = d.randomLink()
	case SlowServer:
		fault.Target = d.randomServer()
	case SlowGroup, FreezeGroup:
		// The target is any server of the group.
		fault.Target = d.randomServer()
	case OperatorRace:
		fault.Target, fault.Peer = d.randomHost(d.topology.Nodes), d.randomHost(d.topology.Nodes)
	case StoreOutage, StoreSlow, StoreLostReply, StoreStale, StoreLimit, StoreFreeze:
		fault.Target = d.topology.Store
	case MachineListOutage, MachineListLag, MachineListEmpty:
		fault.Target = d.topology.MachineList
	}
	switch kind {
	case SlowLink, SlowServer, SlowGroup, StoreSlow, LateReplies, ColdStart:
		fault.Delay = d.randomDuration(d.options.MaxDelay/10, d.options.MaxDelay)
	}
	return fault
}

// randomLink returns a random node and a host that it communicates with, in random
// order: the order is the direction of one-way faults.
func (d *generator) randomLink() (from, to string) {
	node := d.randomHost(d.topology.Nodes)
	other := d.randomServer()
	switch d.random.IntN(4) {
	case 0:
		other = d.topology.Store
	case 1:
		other = d.otherNode(node)
	}
	if d.random.IntN(2) == 0 {
		return node, other
	}
	return other, node
}

func (d *generator) otherNode(node string) string {
	if len(d.topology.Nodes) < 2 {
		return d.topology.MachineList
	}
	for {
		if other := d.randomHost(d.topology.Nodes); other != node {
			return other
		}
	}
}
