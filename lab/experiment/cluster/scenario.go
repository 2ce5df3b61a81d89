// Package cluster simulates the nodes, network and servers of one service on an
// event queue with a virtual clock. It drives the same pure machine that the
// daemon drives, or a baseline in its place, and measures what callers and
// servers saw.
//
// A run has no goroutine and no clock; it depends only on its scenario and
// seed. Service times, network delays and arrivals are hashes of what they
// belong to, so that two policies under the same seed meet the same ones.
package cluster

import (
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// Dispatcher decides for the queries of one service at one node.
// dispatch.Dispatcher is one; the baselines are others.
type Dispatcher interface {
	Step(now time.Duration, event dispatch.Event) []dispatch.Action
}

// Node describes the node that a machine is made for.
type Node struct {
	Index int
	// Nodes is the number of nodes in the run.
	Nodes int
	Zone  string
	Seed  uint64
	// LatencyOracle tells what a sub-request would take; only a bound may use it.
	LatencyOracle LatencyOracle
}

// Policy names a way of deciding.
type Policy struct {
	Name string
	// New makes the machine of one node.
	New func(node Node) Dispatcher
	// Unlimited gives every server unlimited slots and connections that cost
	// nothing. It is for the oracle, which is a bound and not a policy.
	Unlimited bool
}

// Class is a priority class and the load that it brings.
type Class struct {
	policy.Class
	// Share is the class's part of all queries.
	Share float64
	// Work multiplies the service times of the class; 1 when zero.
	Work float64
	// NotRepeatable marks queries that may run at most once.
	NotRepeatable bool
}

func (c Class) work() float64 { return valueOr(c.Work, 1) }

// Burst multiplies the arrival rate of one class, or of all, for a while.
type Burst struct {
	// Class is empty for all classes.
	Class  string
	Start  time.Duration
	End    time.Duration
	Factor float64
}

// Network gives the delays between nodes and servers.
type Network struct {
	// Delay is one way, between a node and any server.
	Delay time.Duration
	// JitterShare spreads each delay evenly by this share of it, both ways.
	JitterShare float64
	// ConnectTime is what a new connection costs.
	ConnectTime time.Duration
	// IdleTimeout closes connections that were not used for so long.
	IdleTimeout time.Duration
	// SpareConnections is the number of idle connections that a node keeps to a server.
	SpareConnections int
}

// Reports tells how servers account for their load.
type Reports struct {
	// Lag is the age of the load that a reply or report tells.
	Lag time.Duration
	// Period is the time between a node's polls of a server; zero means none.
	Period time.Duration
}

// Scenario is all that a run depends on besides its policy and seed.
type Scenario struct {
	Name    string
	Service policy.Service
	Classes []Class
	Nodes   int
	Zones   []string
	Network Network
	Reports Reports
	// ServiceTime is the distribution for work 1 without a fault.
	ServiceTime Distribution
	// QueuePerSlot bounds a server's queue, per slot; beyond it the server sheds.
	QueuePerSlot float64
	// Load is the offered work over the capacity of the weakest group.
	Load   float64
	Bursts []Burst
	Faults []Fault
	// Duration is how long queries arrive.
	Duration time.Duration
	// Warmup is left out of all measures.
	Warmup time.Duration
}

// QueryRate is the mean number of queries a second, without bursts.
func (s *Scenario) QueryRate() float64 {
	work, shares := 0.0, 0.0
	for _, class := range s.Classes {
		work += class.Share * class.work()
		shares += class.Share
	}
	meanWork := work / shares * s.ServiceTime.Mean.Seconds()
	return s.Load * float64(s.minGroupSlots()) / meanWork
}

// minGroupSlots is the least number of slots that a group has. Every query
// asks each group once.
func (s *Scenario) minGroupSlots() int {
	least := 0
	for index, group := range s.Service.Groups {
		slots := 0
		for _, server := range group.Servers {
			slots += server.Slots
		}
		if index == 0 || slots < least {
			least = slots
		}
	}
	return least
}

// totalSlots is the number of slots of the whole service.
func (s *Scenario) totalSlots() int {
	slots := 0
	for _, group := range s.Service.Groups {
		for _, server := range group.Servers {
			slots += server.Slots
		}
	}
	return slots
}
