package schedule

import (
	"math/rand/v2"
	"time"
)

// drawer draws faults.
type drawer struct {
	random   *rand.Rand
	topology Topology
	options  Options
}

// between draws a duration from [low, high].
func (d *drawer) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(d.random.Int64N(int64(high-low)+1))
}

func (d *drawer) pick(hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return hosts[d.random.IntN(len(hosts))]
}

func (d *drawer) server() string { return d.pick(d.group()) }

func (d *drawer) group() []string {
	if len(d.topology.Groups) == 0 {
		return nil
	}
	return d.topology.Groups[d.random.IntN(len(d.topology.Groups))]
}

// otherKind draws a kind that differs from the given one.
func (d *drawer) otherKind(kind Kind) Kind {
	kinds := Kinds()
	for {
		other := kinds[d.random.IntN(len(kinds))]
		if other != kind {
			return other
		}
	}
}

// overlapping draws a fault that starts while the first one lasts.
func (d *drawer) overlapping(kind Kind, first Fault) Fault {
	fault := d.fault(kind)
	length := fault.Until - fault.At
	fault.At = d.between(first.At, first.Until)
	fault.Until = fault.At + length
	return fault
}

// fault draws the hosts and times of one fault.
func (d *drawer) fault(kind Kind) Fault {
	fault := Fault{Kind: kind, At: d.between(d.options.From, d.options.To)}
	fault.Until = fault.At + d.between(d.options.MinDuration, d.options.MaxDuration)
	switch kind {
	case KillNode, LoseNode, FreezeNode, Isolate, PlannedStop:
		fault.Target = d.pick(d.topology.Nodes)
	case LeaseExpiry:
		fault.Target = d.pick(d.topology.Nodes)
		fault.Until = fault.At + d.options.LeaseTimeToLive + d.between(d.options.MinDuration, d.options.MaxDuration)
	case Drain:
		fault.Target = d.server()
		fault.Until = fault.At + d.options.MinDrainDuration + d.between(d.options.MinDuration, d.options.MaxDuration)
	case KillServer, LoseServer, FreezeServer, CloseAfterRead, ConnectionLimit,
		Shed, ColdStart, FalseHealth, FalseLoad, LateReplies, CrossedReplies:
		fault.Target = d.server()
	case Partition, PartitionOneWay, ResetConnections, SlowLink:
		fault.Target, fault.Peer = d.twoHosts()
	case SlowServer:
		fault.Target = d.server()
	case SlowGroup, FreezeGroup:
		// Any member names its group.
		fault.Target = d.server()
	case OperatorRace:
		fault.Target, fault.Peer = d.pick(d.topology.Nodes), d.pick(d.topology.Nodes)
	case StoreOutage, StoreSlow, StoreLostReply, StoreStale, StoreLimit, StoreFreeze:
		fault.Target = d.topology.Store
	case MachineListOutage, MachineListLag, MachineListEmpty:
		fault.Target = d.topology.MachineList
	}
	switch kind {
	case SlowLink, SlowServer, SlowGroup, StoreSlow, LateReplies, ColdStart:
		fault.Delay = d.between(d.options.MaxDelay/10, d.options.MaxDelay)
	}
	return fault
}

// twoHosts draws a node and a host that it talks to; for one-way faults either
// may come first.
func (d *drawer) twoHosts() (from, to string) {
	node := d.pick(d.topology.Nodes)
	other := d.server()
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

func (d *drawer) otherNode(node string) string {
	if len(d.topology.Nodes) < 2 {
		return d.topology.MachineList
	}
	for {
		if other := d.pick(d.topology.Nodes); other != node {
			return other
		}
	}
}
