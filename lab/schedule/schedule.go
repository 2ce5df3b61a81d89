// Package schedule draws fault schedules from seeds.
//
// A schedule is data: whoever runs it carries the faults out. The same seed and
// topology always give the same schedule.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Kind names a fault.
type Kind string

// Kinds of faults.
const (
	// KillNode and KillServer end a process, which starts anew, empty, at Until.
	KillNode   Kind = "kill_node"
	KillServer Kind = "kill_server"
	// LoseNode and LoseServer end a machine without a word until Until.
	LoseNode   Kind = "lose_node"
	LoseServer Kind = "lose_server"
	// RestartNodes ends all nodes at once; they start anew at Until.
	RestartNodes Kind = "restart_nodes"
	// FreezeNode and FreezeServer stop a process until Until.
	FreezeNode   Kind = "freeze_node"
	FreezeServer Kind = "freeze_server"
	// FreezeGroup stops all servers of a group until Until.
	FreezeGroup Kind = "freeze_group"
	// LeaseExpiry freezes a node for longer than a lease lives.
	LeaseExpiry Kind = "lease_lapse"
	// Partition parts Target and Peer both ways, PartitionOneWay from Target to Peer only.
	Partition       Kind = "cut"
	PartitionOneWay Kind = "cut_one_way"
	// Isolate parts a node from all but its caller.
	Isolate Kind = "isolate"
	// SlowLink delays what goes between Target and Peer by Delay.
	SlowLink Kind = "slow_link"
	// ResetConnections breaks all connections between Target and Peer.
	ResetConnections Kind = "reset_connections"
	// SlowServer slows one server by Delay, SlowGroup all servers of a group.
	SlowServer Kind = "straggle"
	SlowGroup  Kind = "slow_group"
	// LateReplies holds replies back beyond the deadline, CrossedReplies gives
	// replies to others' requests.
	LateReplies    Kind = "late_replies"
	CrossedReplies Kind = "crossed_replies"
	// CloseAfterRead closes a server's connections once a request was read.
	CloseAfterRead Kind = "close_after_read"
	// ConnectionLimit makes a server refuse more than a few connections.
	ConnectionLimit Kind = "connection_limit"
	// Shed makes a server refuse work; ColdStart restarts it slow.
	Shed      Kind = "shed"
	ColdStart Kind = "cold_start"
	// Drain makes a server leave; it comes back at Until.
	Drain Kind = "drain"
	// FalseHealth and FalseLoad make a server misreport itself.
	FalseHealth Kind = "health_lies"
	FalseLoad   Kind = "load_lies"
	// Repartition moves the bounds of the groups, SnapshotChange publishes a
	// new index snapshot.
	Repartition    Kind = "repartition"
	SnapshotChange Kind = "snapshot_change"
	// Faults of the store.
	StoreOutage    Kind = "store_outage"
	StoreSlow      Kind = "store_slow"
	StoreLostReply Kind = "store_lost_reply"
	StoreStale     Kind = "store_stale"
	// StoreLimit makes the store refuse most calls for their rate, StoreFreeze
	// makes it hang.
	StoreLimit  Kind = "store_limit"
	StoreFreeze Kind = "store_freeze"
	// Faults of the machine list.
	MachineListOutage Kind = "machine_list_outage"
	MachineListLag    Kind = "machine_list_lag"
	MachineListEmpty  Kind = "machine_list_empty"
	// OperatorRace has two operators confirm plans from the same base.
	OperatorRace Kind = "operator_race"
	// Overload has the callers of all nodes send far more than usual.
	Overload Kind = "overload"
	// PlannedStop stops a node as its platform would; it starts anew at Until.
	PlannedStop Kind = "planned_stop"
)

// Kinds lists all kinds of faults.
func Kinds() []Kind {
	return []Kind{
		KillNode, KillServer, LoseNode, LoseServer, RestartNodes, FreezeNode,
		FreezeServer, FreezeGroup, LeaseExpiry, Isolate,
		Partition, PartitionOneWay, SlowLink, ResetConnections, SlowServer, SlowGroup,
		LateReplies, CrossedReplies, CloseAfterRead, ConnectionLimit, Shed,
		ColdStart, Drain, FalseHealth, FalseLoad, Repartition, SnapshotChange,
		StoreOutage, StoreSlow, StoreLostReply, StoreStale, StoreLimit, StoreFreeze, MachineListOutage,
		MachineListLag, MachineListEmpty, OperatorRace, Overload, PlannedStop,
	}
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind `json:"kind"`
	// Target and Peer name hosts; which of them are set depends on the kind.
	Target string `json:"target,omitempty"`
	Peer   string `json:"peer,omitempty"`
	// Delay is the size of faults that slow something.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// At and Until bound the fault.
	At    time.Duration `json:"at_ns"`
	Until time.Duration `json:"until_ns"`
}

// String formats the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v..%v %s %s %s %v", f.At, f.Until, f.Kind, f.Target, f.Peer, f.Delay)
}

// Mode tells how faults are combined.
type Mode string

// Modes of schedules.
const (
	// Single: one fault.
	Single Mode = "alone"
	// Pair: two faults of different kinds that overlap.
	Pair Mode = "pair"
	// Repeated: the same kind twice.
	Repeated Mode = "twice"
	// Many: several faults of any kinds.
	Many Mode = "many"
)

// Modes lists all modes.
func Modes() []Mode { return []Mode{Single, Pair, Repeated, Many} }

// Topology names the hosts that faults may hit.
type Topology struct {
	Nodes []string
	// Groups lists the servers of each group.
	Groups      [][]string
	Store       string
	MachineList string
}

// Options bound a schedule's times.
type Options struct {
	// From and To bound the start of faults.
	From, To time.Duration
	// MinDuration and MaxDuration bound their lengths.
	MinDuration, MaxDuration time.Duration
	// LeaseTimeToLive is the least length of a LeaseExpiry.
	LeaseTimeToLive time.Duration
	// MinDrainDuration is the least length of a Drain.
	MinDrainDuration time.Duration
	// MaxDelay bounds Fault.Delay.
	MaxDelay time.Duration
}

// extraFaultChoices bounds the number of faults in Many, above its least of three.
const extraFaultChoices = 3

// Schedule is a seed's faults, ordered by their start.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Mode   Mode    `json:"mode"`
	Faults []Fault `json:"faults"`
}

// End is when the last fault ends.
func (s Schedule) End() time.Duration {
	var end time.Duration
	for _, fault := range s.Faults {
		end = max(end, fault.Until)
	}
	return end
}

// Has reports whether one of the schedule's faults is of one of the kinds.
func (s Schedule) Has(kinds ...Kind) bool {
	return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return slices.Contains(kinds, fault.Kind) })
}

// Generate draws the schedule of a seed. Successive seeds go through all modes and
// kinds in turn, so that a run of seeds covers them evenly.
func Generate(seed uint64, topology Topology, options Options) Schedule {
	d := generator{
		random:   rand.New(rand.NewPCG(seed, uint64(len(topology.Nodes)))),
		topology: topology, options: options,
	}
	modes, kinds := Modes(), Kinds()
	mode := modes[seed%uint64(len(modes))]
	kind := kinds[seed/uint64(len(modes))%uint64(len(kinds))]
	first := d.randomFault(kind)
	faults := []Fault{first}
	switch mode {
	case Single:
	case Pair:
		faults = append(faults, d.overlappingFault(d.otherKind(kind), first))
	case Repeated:
		faults = append(faults, d.randomFault(kind))
	case Many:
		for range 2 + d.random.IntN(extraFaultChoices) {
			faults = append(faults, d.randomFault(kinds[d.random.IntN(len(kinds))]))
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	return Schedule{Seed: seed, Mode: mode, Faults: faults}
}
