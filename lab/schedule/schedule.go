// Package schedule generates fault schedules from seeds.
//
// A schedule only describes faults; its user injects them. The same seed, topology
// and options always give the same schedule.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	// KillNode and KillServer kill a process, which restarts without state at
	// Until.
	KillNode   Kind = "kill_node"
	KillServer Kind = "kill_server"
	// LoseNode and LoseServer take a machine offline until Until, without
	// closing its connections.
	LoseNode   Kind = "lose_node"
	LoseServer Kind = "lose_server"
	// RestartNodes kills all nodes at once; they restart at Until.
	RestartNodes Kind = "restart_nodes"
	// FreezeNode and FreezeServer suspend a process until Until.
	FreezeNode   Kind = "freeze_node"
	FreezeServer Kind = "freeze_server"
	// FreezeGroup suspends all servers of a group until Until.
	FreezeGroup Kind = "freeze_group"
	// LeaseExpiry suspends a node for longer than the lease time to live.
	LeaseExpiry Kind = "lease_lapse"
	// Partition drops traffic between Target and Peer in both directions,
	// PartitionOneWay only from Target to Peer.
	Partition       Kind = "cut"
	PartitionOneWay Kind = "cut_one_way"
	// Isolate partitions a node from all hosts except its callers.
	Isolate Kind = "isolate"
	// SlowLink delays traffic between Target and Peer by Delay.
	SlowLink Kind = "slow_link"
	// ResetConnections resets all connections between Target and Peer.
	ResetConnections Kind = "reset_connections"
	// SlowServer delays the work of one server by Delay, SlowGroup that of all
	// servers of a group.
	SlowServer Kind = "straggle"
	SlowGroup  Kind = "slow_group"
	// LateReplies delays a server's replies past the deadline, CrossedReplies
	// makes it send replies that belong to other requests.
	LateReplies    Kind = "late_replies"
	CrossedReplies Kind = "crossed_replies"
	// CloseAfterRead makes a server close the connection after it has read a
	// request.
	CloseAfterRead Kind = "close_after_read"
	// ConnectionLimit makes a server accept only a few connections.
	ConnectionLimit Kind = "connection_limit"
	// Shed makes a server refuse requests; ColdStart restarts it with slow
	// responses.
	Shed      Kind = "shed"
	ColdStart Kind = "cold_start"
	// Drain drains a server, which returns at Until.
	Drain Kind = "drain"
	// FalseHealth and FalseLoad make a server report a false health or load.
	FalseHealth Kind = "health_lies"
	FalseLoad   Kind = "load_lies"
	// Repartition moves the key range boundaries between groups, SnapshotChange
	// publishes a new index snapshot.
	Repartition    Kind = "repartition"
	SnapshotChange Kind = "snapshot_change"
	// Faults of the store.
	StoreOutage    Kind = "store_outage"
	StoreSlow      Kind = "store_slow"
	StoreLostReply Kind = "store_lost_reply"
	StoreStale     Kind = "store_stale"
	// StoreLimit makes the store reject most calls by a rate limit, StoreFreeze
	// suspends it.
	StoreLimit  Kind = "store_limit"
	StoreFreeze Kind = "store_freeze"
	// Faults of the machine list.
	MachineListOutage Kind = "machine_list_outage"
	MachineListLag    Kind = "machine_list_lag"
	MachineListEmpty  Kind = "machine_list_empty"
	// OperatorRace has two operators confirm plans based on the same revision.
	OperatorRace Kind = "operator_race"
	// Overload makes the callers of all nodes send far more requests than usual.
	Overload Kind = "overload"
	// PlannedStop stops a node gracefully, as its platform would; it restarts at
	// Until.
	PlannedStop Kind = "planned_stop"
)

// Kinds returns all kinds of faults.
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

// Fault is one fault of a schedule. Its times count from the start of the run.
type Fault struct {
	Kind Kind `json:"kind"`
	// Target and Peer are host names. Which of them are set depends on the kind.
	Target string `json:"target,omitempty"`
	Peer   string `json:"peer,omitempty"`
	// Delay is the added latency; set only for kinds that slow something down.
	Delay time.Duration `json:"delay_ns,omitempty"`
	// At is when the fault starts and Until when it ends.
	At    time.Duration `json:"at_ns"`
	Until time.Duration `json:"until_ns"`
}

// String formats the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v..%v %s %s %s %v", f.At, f.Until, f.Kind, f.Target, f.Peer, f.Delay)
}

// Mode is how the faults of a schedule are combined.
type Mode string

// Modes of schedules.
const (
	// Single: one fault.
	Single Mode = "alone"
	// Pair: two faults of different kinds that overlap.
	Pair Mode = "pair"
	// Repeated: the same kind twice.
	Repeated Mode = "twice"
	// Many: three to five faults of random kinds.
	Many Mode = "many"
)

// Modes returns all modes.
func Modes() []Mode { return []Mode{Single, Pair, Repeated, Many} }

// Topology holds the names of the hosts that faults may target.
type Topology struct {
	Nodes []string
	// Groups lists the servers of each group.
	Groups      [][]string
	Store       string
	MachineList string
}

// Options limits the times of a schedule.
type Options struct {
	// From and To are the earliest and latest start of a fault. Only the second
	// fault of a Pair may start later, while the first one is active.
	From, To time.Duration
	// MinDuration and MaxDuration limit the duration of faults. For LeaseExpiry
	// and Drain this is the time beyond their own minimum.
	MinDuration, MaxDuration time.Duration
	// LeaseTimeToLive is the minimum duration of a LeaseExpiry.
	LeaseTimeToLive time.Duration
	// MinDrainDuration is the minimum duration of a Drain.
	MinDrainDuration time.Duration
	// MaxDelay is the maximum of Fault.Delay; the minimum is a tenth of it.
	MaxDelay time.Duration
}

// extraFaultChoices is the number of possible fault counts in Many, which start at
// three.
const extraFaultChoices = 3

// Schedule holds the faults generated from a seed, ordered by start time.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Mode   Mode    `json:"mode"`
	Faults []Fault `json:"faults"`
}

// End returns the time at which the last fault ends.
func (s Schedule) End() time.Duration {
	var end time.Duration
	for _, fault := range s.Faults {
		end = max(end, fault.Until)
	}
	return end
}

// Has reports whether the schedule has a fault of any of the given kinds.
func (s Schedule) Has(kinds ...Kind) bool {
	return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return slices.Contains(kinds, fault.Kind) })
}

// Generate returns the schedule for a seed. Successive seeds cycle through all
// modes and kinds, so that a range of seeds covers them evenly.
func Generate(seed uint64, topology Topology, options Options) Schedule {
	g := generator{
		random:   rand.New(rand.NewPCG(seed, uint64(len(topology.Nodes)))),
		topology: topology, options: options,
	}
	modes, kinds := Modes(), Kinds()
	mode := modes[seed%uint64(len(modes))]
	kind := kinds[seed/uint64(len(modes))%uint64(len(kinds))]
	first := g.randomFault(kind)
	faults := []Fault{first}
	switch mode {
	case Single:
	case Pair:
		faults = append(faults, g.overlappingFault(g.otherKind(kind), first))
	case Repeated:
		faults = append(faults, g.randomFault(kind))
	case Many:
		for range 2 + g.random.IntN(extraFaultChoices) {
			faults = append(faults, g.randomFault(kinds[g.random.IntN(len(kinds))]))
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	return Schedule{Seed: seed, Mode: mode, Faults: faults}
}
