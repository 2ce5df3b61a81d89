package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/membership"
	"github.com/banksail/banksail/policy"
)

// BenchmarkNodes measures joining, the steady traffic, and the detection of a
// killed node at several sizes. The processor time is that of the core without
// HTTP, the simulation's own work included.
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
	s := newSimulation(size, 1)
	s.listAll()
	join, ok := s.runUntilTrue(5*time.Minute, func() bool { return allSee(s.nodes, s.nodes, membership.Live) })
	if !ok {
		b.Fatal("the nodes did not join")
	}
	joinBytes := s.meanBytes()
	s.runUntil(s.now + time.Minute)

	steady := time.Minute
	before := s.meanBytes()
	wall := time.Now()
	s.runUntil(s.now + steady)
	processor := time.Since(wall).Seconds() / steady.Seconds() / float64(size)
	bytes := (s.meanBytes() - before) / steady.Seconds()

	before = s.meanBytes()
	begin := s.now
	for _, node := range s.nodes {
		node.core.SetRevision(1)
	}
	observers := s.nodes[:10]
	spread, ok := s.runUntilTrue(5*time.Minute, func() bool { return allHaveRevision(observers, s.nodes, 1) })
	if !ok {
		b.Fatal("the revision in force at all nodes is not known")
	}
	s.runUntil(max(s.now, begin+changeInterval))
	changeBytes := (s.meanBytes() - before) / (s.now - begin).Seconds()

	victim := s.nodes[size/2]
	victim.alive = false
	survivors := append(s.nodes[:size/2:size/2], s.nodes[size/2+1:]...)
	first, ok := s.runUntilTrue(5*time.Minute, func() bool {
		return !allSee(survivors, []*simulatedNode{victim}, membership.Live)
	})
	if !ok {
		b.Fatal("nobody suspects the killed node")
	}
	all, ok := s.runUntilTrue(5*time.Minute, func() bool {
		return allSee(survivors, []*simulatedNode{victim}, membership.Gone)
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

// changeInterval is the time between two changes of configuration at 1,400 a day.
const changeInterval = 61 * time.Second

// allHaveRevision tells whether the observers know that all subjects have a revision.
func allHaveRevision(observers, subjects []*simulatedNode, revision policy.Revision) bool {
	for _, observer := range observers {
		for _, subject := range subjects {
			known, ok := observer.core.Lookup(subject.id)
			if !ok || known.Revision < revision {
				return false
			}
		}
	}
	return true
}

// meanBytes is the mean of what a node has sent and received.
func (s *simulation) meanBytes() float64 {
	total := 0
	for _, node := range s.nodes {
		total += node.bytes
	}
	return float64(total) / float64(len(s.nodes))
}
