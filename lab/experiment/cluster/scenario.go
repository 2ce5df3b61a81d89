// Package cluster simulates the nodes, network and servers of one service on an
// event queue with a virtual clock. It drives the same deterministic dispatcher as
// the daemon, or a baseline in its place, and measures latency, coverage and load
// as callers and servers see them.
//
// A run starts no goroutines and reads no real clock; its result depends only on
// its scenario, policy and seed. Service times, network delays and arrivals are
// hashes of the seed and of the query and server that they belong to, so that two
// policies with the same seed get the same ones.
package cluster

import (
	"time"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// Dispatcher makes the decisions for the queries of one service at one node.
// dispatch.Dispatcher and baseline.Dispatcher implement it.
type Dispatcher interface {
	Step(now time.Duration, event dispatch.Event) []dispatch.Action
}

// Node describes the node for which Policy.New creates a dispatcher.
type Node struct {
	Index int
	// Nodes is the number of nodes in the run.
	Nodes int
	Zone  string
	Seed  uint64
	// LatencyOracle knows the latency of a sub-request in advance. Only the
	// oracle, which is a bound, may use it.
	LatencyOracle LatencyOracle
}

// Policy is a named dispatch policy.
type Policy struct {
	Name string
	// New creates the dispatcher of one node.
	New func(node Node) Dispatcher
	// Unlimited gives every server unlimited slots, and connections without limit
	// or connect time. It is for the oracle, which is a bound rather than a
	// practicable policy.
	Unlimited bool
}

// Class is a priority class and its share of the load.
type Class struct {
	policy.Class
	// Share is the class's weight in the query rate, relative to the sum over all
	// classes.
	Share float64
	// Work multiplies the service times of the class; zero means 1.
	Work float64
	// NotRepeatable marks queries that may run at most once.
	NotRepeatable bool
}

func (c Class) work() float64 { return valueOr(c.Work, 1) }

// Burst multiplies the arrival rate of one class or of all classes from Start until
// End.
type Burst struct {
	// Class is empty for all classes.
	Class  string
	Start  time.Duration
	End    time.Duration
	Factor float64
}

// Network describes the network between nodes and servers.
type Network struct {
	// Delay is the mean one-way delay between a node and any server.
	Delay time.Duration
	// JitterShare is the jitter: each delay is uniform within this share above or
	// below Delay.
	JitterShare float64
	// ConnectTime is the time to open a connection.
	ConnectTime time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// SpareConnections is the number of idle connections that a node keeps open to
	// each server.
	SpareConnections int
}

// Reports configures how servers report their load.
type Reports struct {
	// Lag is the minimum age of the load in a reply or report.
	Lag time.Duration
	// Period is the interval between a node's polls of a server; zero disables
	// polling.
	Period time.Duration
}

// Scenario holds all inputs of a run except its policy and seed.
type Scenario struct {
	Name    string
	Service policy.Service
	Classes []Class
	Nodes   int
	Zones   []string
	Network Network
	Reports Reports
	// ServiceTime is the distribution for a class with Work 1 without faults.
	ServiceTime Distribution
	// QueuePerSlot is the queue limit of a server per slot; a server with a full
	// queue sheds attempts.
	QueuePerSlot float64
	// Load is the offered work divided by the capacity of the smallest group.
	Load   float64
	Bursts []Burst
	Faults []Fault
	// Duration is the time during which queries arrive.
	Duration time.Duration
	// Warmup is the initial time whose queries are not measured.
	Warmup time.Duration
}

// QueryRate returns the mean number of queries per second without bursts.
func (s *Scenario) QueryRate() float64 {
	work, shares := 0.0, 0.0
	for _, class := range s.Classes {
		work += class.Share * class.work()
		shares += class.Share
	}
	meanWork := work / shares * s.ServiceTime.Mean.Seconds()
	return s.Load * float64(s.minGroupSlots()) / meanWork
}

// minGroupSlots returns the number of slots of the smallest group, which bounds the
// query rate since every query is sent to each group once.
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

// totalSlots returns the number of slots of the service.
func (s *Scenario) totalSlots() int {
	slots := 0
	for _, group := range s.Service.Groups {
		for _, server := range group.Servers {
			slots += server.Slots
		}
	}
	return slots
}
