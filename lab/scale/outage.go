package scale

import (
	"context"
	"time"

	"github.com/banksail/banksail/membership"
)

const (
	// outageLimit ends the wait for a view that doesn't come.
	outageLimit = 5 * time.Minute
	// partedTime stands for an hour: suspicions have ended long before, and
	// nothing but probes of the gone happens from then on.
	partedTime = 3 * time.Minute
	lostZone   = 0
)

// outageSweeps measures membership while a zone is lost and while regions are parted.
func outageSweeps() []Sweep {
	sizes := []float64{44, 88, 175, 350}
	return []Sweep{
		{
			Name: "zone-lost", Role: "membership", Size: "nodes", Fixed: "one of eight zones crashes",
			Sizes: sizes, Today: 24, Planned: plannedNodes,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureZoneLost(int(size)) },
		},
		{
			Name: "regions-parted", Role: "membership", Size: "nodes", Fixed: "three regions, each alone",
			Sizes: sizes, Today: 24, Planned: plannedNodes,
			Measure: func(_ context.Context, size float64) ([]Sample, error) { return measureParted(int(size)) },
		},
	}
}

func measureZoneLost(count int) ([]Sample, error) {
	return withMembers(count, func(network *hollowMembers) ([]Sample, error) {
		for _, node := range network.nodes {
			if node.zone == lostZone {
				network.crash(node)
			}
		}
		known, peak := network.runUntil(outageLimit, network.viewsAreTrue)
		return []Sample{
			{"seconds until all know", known.Seconds()},
			{"bytes/node in the busiest second", peak},
		}, network.failed
	})
}

func measureParted(count int) ([]Sample, error) {
	return withMembers(count, func(network *hollowMembers) ([]Sample, error) {
		network.parted = true
		known, peak := network.runUntil(partedTime, network.viewsAreTrue)
		_, late := network.runUntil(partedTime, func() bool { return false })
		network.parted = false
		whole, after := network.runUntil(outageLimit, network.viewsAreTrue)
		return []Sample{
			{"seconds until each region knows", known.Seconds()},
			{"bytes/node in the busiest second, begin", peak},
			{"bytes/node in the busiest second, parted", late},
			{"seconds until whole again", whole.Seconds()},
			{"bytes/node in the busiest second, whole again", after},
		}, network.failed
	})
}

// runUntil runs second by second until done or the limit. It returns the time
// that it took, and the bytes sent and received by a node in the busiest second.
func (h *hollowMembers) runUntil(limit time.Duration, done func() bool) (taken time.Duration, peak float64) {
	running := 0
	for _, node := range h.nodes {
		if node.running {
			running++
		}
	}
	begin := h.queue.Now()
	for taken < limit && !done() {
		h.counts = memberCounts{}
		h.queue.RunUntil(h.queue.Now() + time.Second)
		taken = h.queue.Now() - begin
		peak = max(peak, 2*float64(h.counts.bytes)/float64(running))
	}
	return taken, peak
}

// viewsAreTrue tells whether each running node takes exactly the nodes that it
// can reach for live.
func (h *hollowMembers) viewsAreTrue() bool {
	for _, node := range h.nodes {
		if node.running && !h.viewIsTrue(node) {
			return false
		}
	}
	return true
}

func (h *hollowMembers) viewIsTrue(node *hollowMember) bool {
	for _, member := range node.core.Table() {
		if live := member.State == membership.Live; live != h.reaches(node, h.byID[member.ID]) {
			return false
		}
	}
	return true
}
