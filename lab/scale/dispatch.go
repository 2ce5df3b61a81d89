package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

const (
	hollowSnapshot   = dispatch.SnapshotID(7)
	hollowDeadline   = 200 * time.Millisecond
	meanServiceTime  = time.Millisecond
	networkRoundTrip = 2 * time.Millisecond
	stragglerTime    = 100 * time.Millisecond
	dispatchSeed     = 1
	warmUpQueries    = 50
)

// hollowNode drives one dispatcher of one service against servers that answer
// every sub-request after a random service time.
type hollowNode struct {
	queue      Queue
	random     *rand.Rand
	dispatcher *dispatch.Dispatcher
	watch      *Stopwatch
	nextQuery  dispatch.QueryID
	counts     dispatchCounts
	// stragglers is the share of sub-requests that take stragglerTime longer.
	stragglers float64
	arrivals   map[dispatch.QueryID]time.Duration
	latencies  []float64
}

type dispatchCounts struct {
	queries, finished, complete int
	sends, extraSends           int
}

func newHollowNode(service policy.Service, watch *Stopwatch) *hollowNode {
	node := &hollowNode{
		random:     rand.New(rand.NewPCG(dispatchSeed, 0)),
		dispatcher: newDispatcher(service),
		watch:      watch,
		arrivals:   make(map[dispatch.QueryID]time.Duration),
	}
	return node
}

func newDispatcher(service policy.Service) *dispatch.Dispatcher {
	dispatcher := dispatch.New(dispatch.Options{Seed: dispatchSeed, Zone: zoneName(0)})
	dispatcher.Step(0, dispatch.Configured{Revision: 1, Service: service, Classes: classesOf()})
	for _, group := range service.Groups {
		for _, server := range group.Servers {
			dispatcher.Step(0, dispatch.Observed{Server: server.ID, Snapshots: []dispatch.SnapshotID{hollowSnapshot}})
		}
	}
	return dispatcher
}

// arrive starts queries at an even rate until the time end.
func (n *hollowNode) arrive(gap, end time.Duration) {
	if n.queue.Now() >= end {
		return
	}
	n.nextQuery++
	n.counts.queries++
	n.arrivals[n.nextQuery] = n.queue.Now()
	n.step(dispatch.Arrived{Query: hollowQuery(n.nextQuery)})
	n.queue.After(gap, func() { n.arrive(gap, end) })
}

func hollowQuery(id dispatch.QueryID) dispatch.Query {
	return dispatch.Query{
		ID: id, RequestID: "request", Class: className,
		Remaining: hollowDeadline, MinimumCoverage: 0.9, Repeatable: true,
	}
}

func (n *hollowNode) step(event dispatch.Event) {
	var actions []dispatch.Action
	n.watch.Time(func() { actions = n.dispatcher.Step(n.queue.Now(), event) })
	for _, action := range actions {
		n.carryOut(action)
	}
}

func (n *hollowNode) carryOut(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Send:
		n.counts.sends++
		if action.Kind != dispatch.FirstSend {
			n.counts.extraSends++
		}
		n.queue.After(n.delay(), func() { n.step(doneReply(action)) })
	case dispatch.Wake:
		n.queue.After(action.At-n.queue.Now(), func() { n.step(dispatch.Woken{}) })
	case dispatch.Finish:
		n.counts.finished++
		latency := n.queue.Now() - n.arrivals[action.Query]
		n.latencies = append(n.latencies, microseconds(latency)/1000)
		delete(n.arrivals, action.Query)
		if action.Outcome.Complete {
			n.counts.complete++
		}
	}
}

func (n *hollowNode) delay() time.Duration {
	delay := networkRoundTrip + time.Duration(n.random.ExpFloat64()*float64(meanServiceTime))
	if n.random.Float64() < n.stragglers {
		delay += stragglerTime
	}
	return delay
}

func doneReply(send dispatch.Send) dispatch.Replied {
	return dispatch.Replied{Attempt: send.Attempt, Reply: dispatch.Reply{
		Status: dispatch.ReplyDone, Snapshot: send.Snapshot, Range: send.Range,
		Snapshots: []dispatch.SnapshotID{send.Snapshot},
		Load:      dispatch.Load{InFlight: 1},
	}}
}

// run carries queries at a rate for a span of virtual time and returns the
// processor time of the dispatcher's steps.
func (n *hollowNode) run(rate float64, span time.Duration) time.Duration {
	gap := time.Duration(float64(time.Second) / rate)
	n.arrive(gap, warmUpQueries*gap)
	n.queue.RunUntil(warmUpQueries*gap + time.Second)
	n.watch.Reset()
	n.counts = dispatchCounts{}
	n.latencies = n.latencies[:0]
	begin := n.queue.Now()
	n.arrive(gap, begin+span)
	n.queue.RunUntil(begin + span)
	return n.watch.Total()
}

// errIncomplete is returned when a query of a quiet service ends without a
// whole answer, so that its cost would mean nothing.
var errIncomplete = errors.New("scale: query not answered whole")

// allocations returns the objects and bytes that the dispatcher allocates for
// one query, its sub-requests and their replies.
func allocations(dispatcher *dispatch.Dispatcher, begin time.Duration, queries int) (objects, bytes float64, err error) {
	const firstQuery = 1 << 40
	var before, after runtime.MemStats
	complete := 0
	runtime.ReadMemStats(&before)
	for number := range queries {
		now := begin + time.Duration(number)*time.Second
		for _, action := range dispatcher.Step(now, dispatch.Arrived{Query: hollowQuery(dispatch.QueryID(firstQuery + number))}) {
			send, ok := action.(dispatch.Send)
			if !ok {
				continue
			}
			for _, answer := range dispatcher.Step(now+networkRoundTrip, doneReply(send)) {
				if finish, ok := answer.(dispatch.Finish); ok && finish.Outcome.Complete {
					complete++
				}
			}
		}
	}
	runtime.ReadMemStats(&after)
	if complete < queries {
		return 0, 0, fmt.Errorf("%w: %d of %d", errIncomplete, queries-complete, queries)
	}
	objects = float64(after.Mallocs-before.Mallocs) / float64(queries)
	bytes = float64(after.TotalAlloc-before.TotalAlloc) / float64(queries)
	return objects, bytes, nil
}

// perQuery measures one query over groups of replicas servers each.
func perQuery(groups, replicas, queries int) ([]Sample, error) {
	watch, err := NewStopwatch()
	if err != nil {
		return nil, err
	}
	defer watch.Close()
	const rate = 20.0
	node := newHollowNode(serviceOf(groups, replicas), watch)
	total := node.run(rate, time.Duration(float64(queries)/rate*float64(time.Second)))
	objects, bytes, err := allocations(node.dispatcher, node.queue.Now()+time.Minute, queries)
	if err != nil {
		return nil, err
	}
	asked := float64(node.counts.queries)
	return []Sample{
		{"processor µs/query", microseconds(total) / asked},
		{"sub-requests/query", float64(node.counts.sends) / asked},
		{"complete answers/query", float64(node.counts.complete) / asked},
		{"allocations/query", objects},
		{"allocated bytes/query", bytes},
	}, nil
}

func microseconds(span time.Duration) float64 { return float64(span) / float64(time.Microsecond) }

// dispatchSweeps measures the dispatcher: groups, servers and queries a second.
func dispatchSweeps() []Sweep {
	const queries = 200
	return []Sweep{
		{
			Name: "dispatch-groups", Role: "query path", Size: "groups per query", Fixed: "2 servers a group",
			Sizes: []float64{8, 44, 88, 175, 262, 350}, Today: 12, Planned: 350,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				return perQuery(int(size), 2, queries)
			},
		},
		{
			Name: "dispatch-servers", Role: "query path", Size: "servers", Fixed: "350 groups per query",
			Sizes: []float64{700, 1400, 2800, 4200, 5600}, Today: 24, Planned: 5500,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				const groups = 350
				samples, err := perQuery(groups, int(size)/groups, queries)
				_, heap := heapOf(func() *dispatch.Dispatcher { return newDispatcher(serviceOf(groups, int(size)/groups)) })
				return append(samples, Sample{"heap bytes", heap}), err
			},
		},
		{
			Name: "latency-groups", Role: "query path", Size: "groups per query",
			Fixed: "2 servers a group, 1 ms service, 2 ms round trip, one sub-request in 1,000 takes 100 ms longer",
			Sizes: []float64{8, 44, 88, 175, 262, 350}, Today: 12, Planned: groupsPlanned,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureLatency(int(size), 1000) },
		},
		{
			Name: "dispatch-rate", Role: "query path", Size: "queries/s of a node", Fixed: "350 groups of 2 servers",
			Sizes: []float64{20, 40, 80, 120, 157}, Today: 20, Planned: 157,
			Measure: func(_ context.Context, size float64) ([]Sample, error) {
				return atRate(size)
			},
		},
	}
}

// measureLatency gives quantiles of the time from a query's arrival to its answer.
func measureLatency(groups, queries int) ([]Sample, error) {
	const (
		rate       = 20.0
		stragglers = 0.001
	)
	watch, err := NewStopwatch()
	if err != nil {
		return nil, err
	}
	defer watch.Close()
	node := newHollowNode(serviceOf(groups, 2), watch)
	node.stragglers = stragglers
	node.run(rate, time.Duration(float64(queries)/rate*float64(time.Second)))
	slices.Sort(node.latencies)
	quantile := func(share float64) float64 { return stat.Quantile(share, stat.Empirical, node.latencies, nil) }
	return []Sample{
		{"latency ms, half of queries", quantile(0.5)},
		{"latency ms, 99 in 100", quantile(0.99)},
		{"extra load, share of first sends", float64(node.counts.extraSends) / float64(node.counts.sends-node.counts.extraSends)},
		{"complete answers/query", float64(node.counts.complete) / float64(node.counts.finished)},
	}, nil
}

// atRate measures a second of queries at a rate.
func atRate(rate float64) ([]Sample, error) {
	const (
		groups  = 350
		seconds = 2
	)
	watch, err := NewStopwatch()
	if err != nil {
		return nil, err
	}
	defer watch.Close()
	node := newHollowNode(serviceOf(groups, 2), watch)
	total := node.run(rate, seconds*time.Second)
	return []Sample{
		{"processor ms/s", microseconds(total) / 1000 / seconds},
		{"sub-requests/s", float64(node.counts.sends) / seconds},
		{"extra sub-requests/s", float64(node.counts.extraSends) / seconds},
	}, nil
}
