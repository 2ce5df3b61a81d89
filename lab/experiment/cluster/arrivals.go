package cluster

import (
	"fmt"
	"math"
	"time"

	"github.com/banksail/banksail/dispatch"
)

// classShift separates the class from the number in a query's ID.
const classShift = 40

// arrivalStream generates the arrivals of one class: a Poisson process at the
// class's maximum rate, thinned to the rate at each time. Rates are in queries per
// second.
type arrivalStream struct {
	class   int
	maxRate float64
	rate    float64
	number  uint64
}

func (r *run) startArrivals() {
	total := r.scenario.QueryRate()
	shares := 0.0
	for _, class := range r.scenario.Classes {
		shares += class.Share
	}
	for index, class := range r.scenario.Classes {
		rate := total * class.Share / shares
		r.arrivals = append(r.arrivals, arrivalStream{
			class:   index,
			rate:    rate,
			maxRate: rate * r.maxBurstFactor(class.Name),
		})
		if rate > 0 {
			r.scheduleNextArrival(index, 0)
		}
	}
}

func (r *run) maxBurstFactor(class string) float64 {
	highest := 1.0
	for _, burst := range r.scenario.Bursts {
		if burst.Class == "" || burst.Class == class {
			highest *= max(burst.Factor, 1)
		}
	}
	return highest
}

// burstFactor returns the product of the factors of the bursts that are active for
// a class at a time.
func (r *run) burstFactor(class string, now time.Duration) float64 {
	factor := 1.0
	for _, burst := range r.scenario.Bursts {
		if (burst.Class == "" || burst.Class == class) && burst.Start <= now && now < burst.End {
			factor *= burst.Factor
		}
	}
	return factor
}

func (r *run) scheduleNextArrival(class int, after time.Duration) {
	source := &r.arrivals[class]
	for {
		source.number++
		uniform := draw(r.seed, streamArrival, uint64(class), source.number, 0)
		gap := -math.Log1p(-uniform) / source.maxRate
		after += time.Duration(gap * float64(time.Second))
		if after >= r.scenario.Duration {
			return
		}
		probability := source.rate * r.burstFactor(r.scenario.Classes[class].Name, after) / source.maxRate
		if draw(r.seed, streamThinning, uint64(class), source.number, 0) < probability {
			break
		}
	}
	r.events.push(entry{at: after, kind: kindArrival, index: class, number: source.number})
}

func (r *run) handleArrival(due entry) {
	class := r.scenario.Classes[due.index]
	id := dispatch.QueryID(uint64(due.index+1)<<classShift | due.number)
	arrived := &query{id: id, class: due.index, arrivedAt: r.now, measured: r.now >= r.scenario.Warmup}
	r.queries[id] = arrived
	r.result.recordArrival(arrived)
	at := int(draw(r.seed, streamNode, uint64(id), 0, 0) * float64(len(r.nodes)))
	r.scheduleNextArrival(due.index, r.now)
	r.step(r.nodes[at], dispatch.QueryArrived{Query: dispatch.Query{
		ID:              id,
		RequestID:       fmt.Sprintf("%d-%d", due.index, due.number),
		Class:           class.Name,
		Remaining:       class.Deadline.Duration(),
		MinimumCoverage: class.MinimumCoverage,
		Repeatable:      !class.NotRepeatable,
	}})
}
