package spread_test

// This file simulates the cores of many nodes on an event queue, to count the
// messages that a new revision costs and to measure the time until it is in
// force on every node. The simulation uses no goroutines and a virtual clock, so
// equal options give equal results.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/spread"
)

// simulationOptions describes the nodes, the network and the store.
type simulationOptions struct {
	Nodes int
	// Zones is the number of zones, over which the nodes are distributed
	// evenly.
	Zones int
	// Seed initializes the random choices; equal options give equal results.
	Seed uint64
	// PeerDelay is the mean one-way delay between two nodes.
	PeerDelay time.Duration
	// StoreDelay is the mean one-way delay to the store.
	StoreDelay time.Duration
	// PeerLoss is the fraction of calls between nodes that fail.
	PeerLoss float64
	// PeerTimeout and StoreTimeout are the durations of failed calls.
	PeerTimeout, StoreTimeout time.Duration
	// StoreZones is the number of zones that can reach the store; zero means
	// all.
	StoreZones int
	// ConfirmerLost makes the confirming node crash before it pushes the
	// revision, so that only the watchers of the store can spread it.
	ConfirmerLost bool
	// Settle is the time that the nodes run before the change. The messages
	// without a change are counted in its second half.
	Settle time.Duration
	// Limit is the time after the change at which the simulation ends even if
	// some nodes have not adopted the revision.
	Limit time.Duration
	// Core configures every node's core; Self, Zone and Seed are replaced.
	Core spread.CoreOptions
}

// Defaults for simulationOptions.
const (
	DefaultPeerDelay  = 5 * time.Millisecond
	DefaultStoreDelay = 5 * time.Millisecond
	DefaultSettle     = 2 * time.Minute
	DefaultLimit      = 2 * time.Minute
)

func (o simulationOptions) withDefaults() simulationOptions {
	setDefault(&o.Nodes, 1)
	setDefault(&o.Zones, 1)
	setDefault(&o.PeerDelay, DefaultPeerDelay)
	setDefault(&o.StoreDelay, DefaultStoreDelay)
	setDefault(&o.PeerTimeout, spread.DefaultPeerTimeout)
	setDefault(&o.StoreTimeout, spread.DefaultStoreTimeout)
	setDefault(&o.StoreZones, o.Zones)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.Limit, DefaultLimit)
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Counts holds the number of messages of all nodes. A call and its answer count
// as one.
type Counts struct {
	// Pushes counts pushes to peers, and PushesAdopted those that delivered a
	// new revision.
	Pushes, PushesAdopted int
	// Comparisons counts fetches from peers, and ComparisonsAdopted those that
	// returned a new revision.
	Comparisons, ComparisonsAdopted int
	// Records counts the full records returned by fetches. Pushes, and fetches
	// by a node that is one revision behind, carry a delta instead.
	Records int
	// StoreReads counts reads and watches of the store.
	StoreReads int
}

func (c Counts) minus(other Counts) Counts {
	return Counts{
		Pushes:             c.Pushes - other.Pushes,
		PushesAdopted:      c.PushesAdopted - other.PushesAdopted,
		Comparisons:        c.Comparisons - other.Comparisons,
		ComparisonsAdopted: c.ComparisonsAdopted - other.ComparisonsAdopted,
		Records:            c.Records - other.Records,
		StoreReads:         c.StoreReads - other.StoreReads,
	}
}

// simulationResult describes how one revision spread.
type simulationResult struct {
	simulationOptions simulationOptions
	// Reached is the number of nodes with the revision in force at the end.
	Reached int
	// Half, Most and All are the times from the change in the store until 50%,
	// 99% and 100% of the nodes had the revision in force; zero if that did not
	// happen.
	Half, Most, All time.Duration
	// Change counts the messages from the change until All.
	Change Counts
	// Idle counts the messages during IdleTime, in which there was no change.
	Idle     Counts
	IdleTime time.Duration
	// Watchers is the number of nodes that watch the store.
	Watchers int
}

// simulate spreads one revision.
func simulate(options simulationOptions) simulationResult {
	run := newSimulation(options.withDefaults())
	half := run.options.Settle / 2
	run.runUntil(half)
	before := run.counts
	run.runUntil(run.options.Settle)
	quiet := run.counts.minus(before)
	changed := run.counts
	run.commitRevision()
	run.runUntil(run.options.Settle + run.options.Limit)
	result := run.result
	result.simulationOptions = run.options
	result.Reached = run.reached
	result.Idle = quiet
	result.IdleTime = run.options.Settle - half
	result.Change = run.counts.minus(changed)
	for _, node := range run.nodes {
		if node.core.IsWatcher() {
			result.Watchers++
		}
	}
	return result
}

// simulation is the state of one run.
type simulation struct {
	options simulationOptions
	random  *rand.Rand
	queue   eventQueue
	now     time.Duration
	nodes   []*node
	byID    map[string]*node
	// storeRevision is the store's revision; heldWatches are the watches in
	// progress.
	storeRevision policy.Revision
	heldWatches   []*watch

	counts    Counts
	changedAt time.Duration
	reached   int
	result    simulationResult
}

// node is a simulated node, which consists of its core only.
type node struct {
	id      string
	zone    int
	core    *spread.Core
	timerAt time.Duration
	crashed bool
}

// watch is a long poll that the store holds.
type watch struct {
	node     *node
	after    policy.Revision
	answered bool
}

const firstRevision policy.Revision = 1

func newSimulation(options simulationOptions) *simulation {
	s := &simulation{
		options:       options,
		random:        rand.New(rand.NewPCG(options.Seed, uint64(options.Nodes))),
		storeRevision: firstRevision,
		byID:          make(map[string]*node, options.Nodes),
	}
	members := make([]spread.Member, 0, options.Nodes)
	for index := range options.Nodes {
		zone := index % options.Zones
		added := &node{id: fmt.Sprintf("node-%04d", index), zone: zone}
		core := options.Core
		core.Self = added.id
		core.Zone = fmt.Sprintf("zone-%d", zone)
		core.Seed = options.Seed
		added.core = spread.NewCore(core)
		members = append(members, spread.Member{ID: core.Self, Zone: core.Zone, Revision: firstRevision})
		s.nodes = append(s.nodes, added)
		s.byID[added.id] = added
	}
	for _, started := range s.nodes {
		s.step(started, spread.MembersChanged{Members: members})
		s.step(started, spread.RecordOffered{Revision: firstRevision})
	}
	return s
}

// commitRevision writes a new revision to the store, confirmed by a random
// node.
func (s *simulation) commitRevision() {
	s.changedAt = s.now
	s.storeRevision++
	s.answerWatches()
	confirmer := s.nodes[s.random.IntN(len(s.nodes))]
	if s.options.ConfirmerLost {
		confirmer.crashed = true
		s.reached++
		return
	}
	s.step(confirmer, spread.RecordOffered{Revision: s.storeRevision})
}

// runUntil processes events up to a time, or until every node has adopted the
// change.
func (s *simulation) runUntil(end time.Duration) {
	for s.queue.Len() > 0 && s.queue.nextTime() <= end && s.reached < len(s.nodes) {
		event := s.queue.popEarliest()
		s.now = event.at
		event.do()
	}
	s.now = max(s.now, end)
}

// after schedules a function to run after a delay.
func (s *simulation) after(delay time.Duration, do func()) {
	s.queue.add(s.now+delay, do)
}

// step passes an event to a node's core and executes the resulting actions.
func (s *simulation) step(stepped *node, event spread.Event) {
	if stepped.crashed {
		return
	}
	for _, action := range stepped.core.Step(s.now, event) {
		switch action := action.(type) {
		case spread.Adopt:
			s.recordAdoption(action.Revision)
		case spread.Push:
			s.push(stepped, action)
		case spread.Fetch:
			s.fetch(stepped, action)
		case spread.ReadStore:
			s.readStore(stepped, action)
		case spread.SetTimer:
			s.setTimer(stepped, action.At)
		}
	}
}

func (s *simulation) setTimer(stepped *node, at time.Duration) {
	stepped.timerAt = at
	s.queue.add(max(at, s.now), func() {
		if stepped.timerAt == at {
			s.step(stepped, spread.TimerFired{})
		}
	})
}

func (s *simulation) recordAdoption(revision policy.Revision) {
	if revision == firstRevision {
		return
	}
	s.reached++
	since := s.now - s.changedAt
	if s.reached == (len(s.nodes)+1)/2 {
		s.result.Half = since
	}
	if s.reached == (len(s.nodes)*99+99)/100 {
		s.result.Most = since
	}
	if s.reached == len(s.nodes) {
		s.result.All = since
	}
}
