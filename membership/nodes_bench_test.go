package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/membership/gossiptest"
	"github.com/banksail/banksail/policy"
)

// BenchmarkNodes measures joining, idle traffic, and the detection of a crashed node at
// several cluster sizes. The processor time excludes HTTP but includes the simulation.
func BenchmarkNodes(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400, 700, 1400} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				measureNodes(b, size)
			}
		})
	}
}

func measureNodes(b *testing.B, size int) {
	s := gossiptest.New(size, 1)
	s.ListAllNodes()
	join, ok := s.RunUntilTrue(5*time.Minute, func() bool { return gossiptest.AllSeeState(s.Nodes, s.Nodes, membership.Live) })
	if !ok {
		b.Fatal("the nodes did not join")
	}
	joinBytes := meanBytes(s)
	s.RunUntil(s.Now + time.Minute)

	steady := time.Minute
	before := meanBytes(s)
	wall := time.Now()
	s.RunUntil(s.Now + steady)
	processor := time.Since(wall).Seconds() / steady.Seconds() / float64(size)
	bytes := (meanBytes(s) - before) / steady.Seconds()

	before = meanBytes(s)
	begin := s.Now
	for _, node := range s.Nodes {
		node.Core.SetRevision(1)
	}
	observers := s.Nodes[:10]
	spread, ok := s.RunUntilTrue(5*time.Minute, func() bool { return allHaveRevision(observers, s.Nodes, 1) })
	if !ok {
		b.Fatal("the nodes do not know the revision in force at all nodes")
	}
	s.RunUntil(max(s.Now, begin+changeInterval))
	changeBytes := (meanBytes(s) - before) / (s.Now - begin).Seconds()

	victim := s.Nodes[size/2]
	victim.Alive = false
	survivors := append(s.Nodes[:size/2:size/2], s.Nodes[size/2+1:]...)
	first, ok := s.RunUntilTrue(5*time.Minute, func() bool {
		return !gossiptest.AllSeeState(survivors, []*gossiptest.Node{victim}, membership.Live)
	})
	if !ok {
		b.Fatal("no node suspects the killed node")
	}
	all, ok := s.RunUntilTrue(5*time.Minute, func() bool {
		return gossiptest.AllSeeState(survivors, []*gossiptest.Node{victim}, membership.Gone)
	})
	if !ok {
		b.Fatal("the killed node is not seen as gone")
	}
	b.ReportMetric(join.Seconds(), "s/join")
	b.ReportMetric(joinBytes, "B/join")
	b.ReportMetric(bytes, "B/s/node")
	b.ReportMetric(changeBytes, "B/s/change")
	b.ReportMetric(spread.Seconds(), "s/revision")
	b.ReportMetric(first.Seconds(), "s/suspect")
	b.ReportMetric((first + all).Seconds(), "s/gone")
	b.ReportMetric(100*processor, "%core/node")
}

// changeInterval is the time between two configuration changes at 1,400 a day.
const changeInterval = 61 * time.Second

// allHaveRevision reports whether all observers know that all subjects have at least a
// revision.
func allHaveRevision(observers, subjects []*gossiptest.Node, revision policy.Revision) bool {
	for _, observer := range observers {
		for _, subject := range subjects {
			known, ok := observer.Core.Lookup(subject.ID)
			if !ok || known.Revision < revision {
				return false
			}
		}
	}
	return true
}

// meanBytes returns the mean number of bytes sent and received per node.
func meanBytes(s *gossiptest.Simulation) float64 {
	total := 0
	for _, node := range s.Nodes {
		total += node.Bytes
	}
	return float64(total) / float64(len(s.Nodes))
}
