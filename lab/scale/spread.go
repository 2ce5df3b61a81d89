package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/banksail/banksail/peer"
	"github.com/banksail/banksail/policy"
	"github.com/banksail/banksail/rollout"
)

// errNotInForce is returned when a configuration doesn't come into force.
var errNotInForce = errors.New("scale: configuration not in force within the run")

const (
	// checkTime is the time that a node takes to check a record before it
	// adopts it; the slope of record-servers gives the real one.
	checkTime     = 50 * time.Millisecond
	spreadWarmUp  = 30 * time.Second
	spreadSpan    = 60 * time.Second
	storeDelay    = 2 * time.Millisecond
	recordServers = 5500
)

// hollowSpread runs the rollout cores of many nodes and one store in virtual time.
type hollowSpread struct {
	queue   Queue
	watch   *Stopwatch
	sizes   envelope
	nodes   []*hollowKeeper
	byID    map[string]*hollowKeeper
	record  int
	pushed  int
	stored  policy.Revision
	waiting []waitingWatch
	counts  spreadCounts
	behind  int
	inForce time.Duration
}

type spreadCounts struct {
	pushes, fetches, fetchedDeltas, fetchedRecords, storeReads, storeRecords int
	peerBytes, storeBytes, mostSent                                          int
}

type hollowKeeper struct {
	id   string
	core *rollout.Core
	// inForce is the revision that the node adopted last.
	inForce policy.Revision
	sent    int
}

// waitingWatch is a watch that the store has not answered.
type waitingWatch struct {
	node  *hollowKeeper
	after policy.Revision
	ended bool
}

func newHollowSpread(nodes int, change acceptedChange, watch *Stopwatch) (*hollowSpread, error) {
	sizes, err := newEnvelope()
	if err != nil {
		return nil, err
	}
	spread := &hollowSpread{
		watch: watch, sizes: sizes, record: len(change.record), pushed: len(change.pushed()),
		byID: make(map[string]*hollowKeeper), stored: 1,
	}
	members := make([]rollout.Member, 0, nodes)
	for index := range nodes {
		members = append(members, rollout.Member{ID: fmt.Sprintf("node-%05d", index), Zone: zoneName(index), Revision: 1})
	}
	for index, member := range members {
		core := rollout.NewCore(rollout.CoreOptions{Self: member.ID, Zone: member.Zone, Seed: uint64(index + 1)})
		node := &hollowKeeper{id: member.ID, core: core, inForce: 1}
		spread.nodes = append(spread.nodes, node)
		spread.byID[node.id] = node
		spread.queue.After(0, func() {
			spread.step(node, rollout.MembersChanged{Members: members})
			spread.step(node, rollout.Offered{Revision: 1, Digest: digestOf(1)})
		})
	}
	return spread, nil
}

func digestOf(revision policy.Revision) string { return fmt.Sprint("digest-", uint64(revision)) }

func (s *hollowSpread) step(node *hollowKeeper, event rollout.Event) {
	var actions []rollout.Action
	s.watch.Time(func() { actions = node.core.Step(s.queue.Now(), event) })
	for _, action := range actions {
		s.carryOut(node, action)
	}
}

func (s *hollowSpread) carryOut(node *hollowKeeper, action rollout.Action) {
	switch action := action.(type) {
	case rollout.Adopt:
		s.adopted(node, action.Revision)
	case rollout.Wake:
		s.queue.After(action.At-s.queue.Now(), func() { s.step(node, rollout.Woken{}) })
	case rollout.Push:
		s.push(node, action)
	case rollout.Fetch:
		s.fetch(node, action)
	case rollout.ReadStore:
		s.readStore(node, action)
	}
}

func (s *hollowSpread) adopted(node *hollowKeeper, revision policy.Revision) {
	if revision > node.inForce && revision == s.stored {
		s.behind--
		if s.behind == 0 {
			s.inForce = s.queue.Now()
		}
	}
	node.inForce = revision
}

// offer hands a record to a node, which checks it first.
func (s *hollowSpread) offer(node *hollowKeeper, revision policy.Revision, from string, then func()) {
	s.queue.After(checkTime, func() {
		s.step(node, rollout.Offered{Revision: revision, Digest: digestOf(revision), From: from})
		then()
	})
}

func (s *hollowSpread) push(from *hollowKeeper, action rollout.Push) {
	to := s.byID[action.Member]
	s.counts.pushes++
	s.sendPeer(from, pushPath, &peer.Configuration{Revision: uint64(action.Revision), Record: make([]byte, s.pushed)})
	s.queue.After(oneWayDelay, func() {
		s.offer(to, action.Revision, "", func() {
			s.sendPeer(to, "", &peer.PushConfigurationResponse{Revision: uint64(to.inForce)})
			s.queue.After(oneWayDelay, func() {
				s.step(from, rollout.PushAnswered{Member: to.id, Pushed: action.Revision, Revision: to.inForce})
			})
		})
	})
}

func (s *hollowSpread) fetch(from *hollowKeeper, action rollout.Fetch) {
	to := s.byID[action.Member]
	s.counts.fetches++
	s.sendPeer(from, fetchPath, &peer.FetchConfigurationRequest{Above: uint64(action.Above)})
	s.queue.After(oneWayDelay, func() {
		revision := to.inForce
		answered := func() { s.step(from, rollout.FetchAnswered{Member: to.id, Revision: revision}) }
		reply := &peer.Configuration{Revision: uint64(revision)}
		if revision <= action.Above {
			s.sendPeer(to, "", reply)
			s.queue.After(oneWayDelay, answered)
			return
		}
		reply.Record = make([]byte, s.fetched(action.Above, revision))
		s.sendPeer(to, "", reply)
		s.queue.After(oneWayDelay, func() { s.offer(from, revision, to.id, answered) })
	})
}

// fetched is the size of the answer to a comparison: what a node pushes for who
// is one revision behind, else the record.
func (s *hollowSpread) fetched(above, revision policy.Revision) int {
	if above > 0 && revision == above+1 {
		s.counts.fetchedDeltas++
		return s.pushed
	}
	s.counts.fetchedRecords++
	return s.record
}

// sendPeer counts a message; an empty path stands for a response.
func (s *hollowSpread) sendPeer(from *hollowKeeper, path string, message proto.Message) {
	size := s.sizes.response
	if path != "" {
		size = s.sizes.request[path]
	}
	size += proto.Size(message)
	from.sent += size
	s.counts.peerBytes += size
	s.counts.mostSent = max(s.counts.mostSent, from.sent)
}

func (s *hollowSpread) readStore(node *hollowKeeper, action rollout.ReadStore) {
	s.counts.storeReads++
	s.counts.storeBytes += usualBodyBytes
	after := node.inForce
	if s.stored > after {
		s.answerStore(node)
		return
	}
	watch := waitingWatch{node: node, after: after}
	s.waiting = append(s.waiting, watch)
	index := len(s.waiting) - 1
	s.queue.After(action.Wait+storeDelay, func() {
		if index >= len(s.waiting) || s.waiting[index].ended || s.waiting[index].node != node {
			return
		}
		s.waiting[index].ended = true
		s.step(node, rollout.StoreAnswered{})
	})
}

func (s *hollowSpread) answerStore(node *hollowKeeper) {
	s.counts.storeRecords++
	s.counts.storeBytes += s.record
	revision := s.stored
	s.queue.After(storeDelay, func() {
		s.offer(node, revision, "", func() { s.step(node, rollout.StoreAnswered{}) })
	})
}

// change stores a new revision and answers the watches.
func (s *hollowSpread) change() {
	s.stored++
	s.behind = len(s.nodes)
	for index := range s.waiting {
		if !s.waiting[index].ended {
			s.waiting[index].ended = true
			s.answerStore(s.waiting[index].node)
		}
	}
}

// spreadSweeps measures the spread of one configuration.
func spreadSweeps() []Sweep {
	measure := func(nodes, servers int, kind intentKind) ([]Sample, error) {
		made, err := change(recordOf(servers), kind)
		if err != nil {
			return nil, err
		}
		return measureSpread(nodes, made)
	}
	servers := []float64{700, 1400, 2800, 4200, 5500}
	return []Sweep{
		{
			Name: "spread-nodes", Role: "configuration", Size: "nodes", Fixed: "5,500 servers, one server changed by its group",
			Sizes: []float64{88, 175, 350, 700, 1400}, Today: 24, Planned: plannedNodes,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				return measure(int(size), recordServers, changeGroup)
			},
		},
		{
			Name: "spread-group", Role: "configuration", Size: "servers", Fixed: "350 nodes, one server changed by its group",
			Sizes: servers, Today: 70, Planned: plannedServers,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				return measure(350, int(size), changeGroup)
			},
		},
		{
			Name: "spread-service", Role: "configuration", Size: "servers", Fixed: "350 nodes, one server changed by its service",
			Sizes: servers, Today: 70, Planned: plannedServers,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				return measure(350, int(size), changeServer)
			},
		},
	}
}

func measureSpread(nodes int, change acceptedChange) ([]Sample, error) {
	watch, err := NewStopwatch()
	if err != nil {
		return nil, err
	}
	defer watch.Close()
	spread, err := newHollowSpread(nodes, change, watch)
	if err != nil {
		return nil, err
	}
	spread.queue.RunUntil(spreadWarmUp)
	spread.resetCounts()
	spread.queue.RunUntil(spreadWarmUp + spreadSpan)
	quiet := spread.counts
	quietTime := watch.Total()
	spread.resetCounts()
	begin := spread.queue.Now()
	spread.change()
	spread.queue.RunUntil(begin + spreadSpan)
	if spread.behind > 0 {
		return nil, fmt.Errorf("%w: %d nodes behind", errNotInForce, spread.behind)
	}
	perNode := float64(nodes)
	extra := func(changed, before int) float64 { return float64(changed - before) }
	return []Sample{
		{"seconds until in force everywhere", (spread.inForce - begin).Seconds()},
		{"pushes/node/change", float64(spread.counts.pushes) / perNode},
		{"news fetched/node/change", float64(spread.counts.fetchedDeltas+spread.counts.fetchedRecords) / perNode},
		{"bytes/node/change, sent and received", 2 * extra(spread.counts.peerBytes, quiet.peerBytes) / perNode},
		{"bytes sent by the busiest node/change", float64(spread.counts.mostSent)},
		{"bytes/node/s without change", 2 * float64(quiet.peerBytes) / perNode / spreadSpan.Seconds()},
		{"processor µs/node/s without change", microseconds(quietTime) / perNode / spreadSpan.Seconds()},
		{"store reads/s without change", float64(quiet.storeReads) / spreadSpan.Seconds()},
		{"store records read/change", float64(spread.counts.storeRecords)},
		{"store bytes/change", extra(spread.counts.storeBytes, quiet.storeBytes)},
	}, nil
}

func (s *hollowSpread) resetCounts() {
	s.counts = spreadCounts{}
	for _, node := range s.nodes {
		node.sent = 0
	}
	s.watch.Reset()
}
