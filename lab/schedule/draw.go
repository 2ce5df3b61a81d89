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
func (g *generator) randomDuration(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(g.random.Int64N(int64(high-low)+1))
}

func (g *generator) randomHost(hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return hosts[g.random.IntN(len(hosts))]
}

func (g *generator) randomServer() string { return g.randomHost(g.randomGroup()) }

func (g *generator) randomGroup() []string {
	if len(g.topology.Groups) == 0 {
		return nil
	}
	return g.topology.Groups[g.random.IntN(len(g.topology.Groups))]
}

// otherKind returns a random kind other than the given one.
func (g *generator) otherKind(kind Kind) Kind {
	kinds := Kinds()
	for {
		other := kinds[g.random.IntN(len(kinds))]
		if other != kind {
			return other
		}
	}
}

// overlappingFault returns a random fault that starts while the first one is active.
func (g *generator) overlappingFault(kind Kind, first Fault) Fault {
	fault := g.randomFault(kind)
	length := fault.Until - fault.At
	fault.At = g.randomDuration(first.At, first.Until)
	fault.Until = fault.At + length
	return fault
}

// randomFault returns a fault of the given kind with random hosts, times and delay.
func (g *generator) randomFault(kind Kind) Fault {
	fault := Fault{Kind: kind, At: g.randomDuration(g.options.From, g.options.To)}
	fault.Until = fault.At + g.randomDuration(g.options.MinDuration, g.options.MaxDuration)
	switch kind {
	case KillNode, LoseNode, FreezeNode, Isolate, PlannedStop:
		fault.Target = g.randomHost(g.topology.Nodes)
	case LeaseExpiry:
		fault.Target = g.randomHost(g.topology.Nodes)
		fault.Until = fault.At + g.options.LeaseTimeToLive + g.randomDuration(g.options.MinDuration, g.options.MaxDuration)
	case Drain:
		fault.Target = g.randomServer()
		fault.Until = fault.At + g.options.MinDrainDuration + g.randomDuration(g.options.MinDuration, g.options.MaxDuration)
	case KillServer, LoseServer, FreezeServer, CloseAfterRead, ConnectionLimit,
		Shed, ColdStart, FalseHealth, FalseLoad, LateReplies, CrossedReplies:
		fault.Target = g.randomServer()
	case Partition, PartitionOneWay, ResetConnections, SlowLink:
		fault.Target, fault.Peer = g.randomLink()
	case SlowServer:
		fault.Target = g.randomServer()
	case SlowGroup, FreezeGroup:
		// The target is any server of the group.
		fault.Target = g.randomServer()
	case OperatorRace:
		fault.Target, fault.Peer = g.randomHost(g.topology.Nodes), g.randomHost(g.topology.Nodes)
	case StoreOutage, StoreSlow, StoreLostReply, StoreStale, StoreLimit, StoreFreeze:
		fault.Target = g.topology.Store
	case MachineListOutage, MachineListLag, MachineListEmpty:
		fault.Target = g.topology.MachineList
	}
	switch kind {
	case SlowLink, SlowServer, SlowGroup, StoreSlow, LateReplies, ColdStart:
		fault.Delay = g.randomDuration(g.options.MaxDelay/10, g.options.MaxDelay)
	}
	return fault
}

// randomLink returns a random node and a host that it communicates with, in random
// order: the order is the direction of one-way faults.
func (g *generator) randomLink() (from, to string) {
	node := g.randomHost(g.topology.Nodes)
	other := g.randomServer()
	switch g.random.IntN(4) {
	case 0:
		other = g.topology.Store
	case 1:
		other = g.otherNode(node)
	}
	if g.random.IntN(2) == 0 {
		return node, other
	}
	return other, node
}

func (g *generator) otherNode(node string) string {
	if len(g.topology.Nodes) < 2 {
		return g.topology.MachineList
	}
	for {
		if other := g.randomHost(g.topology.Nodes); other != node {
			return other
		}
	}
}
