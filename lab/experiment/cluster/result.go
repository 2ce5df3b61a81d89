package cluster

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banksail/banksail/dispatch"
)

// Bounds of the latency histograms, in microseconds.
const (
	minLatency        = 1
	maxLatency        = 600_000_000
	significantDigits = 3
)

// CoverageBucket is the bucket width of ClassResult.Timeline.
const CoverageBucket = 500 * time.Millisecond

// ClassResult holds the measurements of one class in one run. Latency and coverage
// are those of the queries that were not refused.
type ClassResult struct {
	Name string
	// Latency is the latency histogram, in microseconds.
	Latency *hdrhistogram.Histogram
	// Arrived counts the queries that arrived.
	Arrived int
	// Ran counts the queries that were not refused.
	Ran int
	// Useful counts the answers with at least the class's minimum coverage.
	Useful        int
	coverageSum   float64
	WorstCoverage float64
	// Refused counts the queries that were refused without being run, by reason.
	Refused map[dispatch.Reason]int
	// Timeline is the coverage by arrival time, in buckets of CoverageBucket. It
	// includes the warm-up.
	Timeline        []TimePoint
	minimumCoverage float64
	meanWork        time.Duration
}

// TimePoint is the number of queries in one bucket and the sum of their coverage. A
// refused query has coverage 0.
type TimePoint struct {
	Queries  int
	Coverage float64
}

// MeanCoverage returns the mean coverage of the queries that ran.
func (c *ClassResult) MeanCoverage() float64 {
	if c.Ran == 0 {
		return 0
	}
	return c.coverageSum / float64(c.Ran)
}

// Result holds the measurements of one run. Queries that arrive during the warm-up
// are left out unless a field says otherwise.
type Result struct {
	Classes []*ClassResult
	// FirstSends, HedgeSends and RetrySends count sub-requests by kind.
	FirstSends, HedgeSends, RetrySends int
	// FirstWork is the execution time of first sends, ExtraWork that of hedges
	// and retries.
	FirstWork, ExtraWork time.Duration
	// UsefulWork is the part of both that contributed to answers with at least
	// the minimum coverage.
	UsefulWork time.Duration
	// AnsweredWork sums the mean service times of the sub-requests in such answers
	// that were given between the end of the warm-up and the end of the arrivals,
	// whenever their queries arrived. Capacity is the slot time available in that
	// window. AnsweredWork uses mean instead of actual times because a policy that
	// picks the quicker of two replies serves more queries with the same work.
	AnsweredWork, Capacity time.Duration
	warmup, duration       time.Duration
	// Unanswered counts queries without a final answer, the warm-up included; it
	// should be zero.
	Unanswered int
	// InvalidActions counts actions that name unknown queries or servers; it should be zero.
	InvalidActions int
}

func newResult(scenario *Scenario) *Result {
	window := scenario.Duration - scenario.Warmup
	result := &Result{
		Capacity: window * time.Duration(scenario.totalSlots()),
		warmup:   scenario.Warmup,
		duration: scenario.Duration,
	}
	buckets := int(scenario.Duration/CoverageBucket) + 1
	for _, class := range scenario.Classes {
		result.Classes = append(result.Classes, &ClassResult{
			Name:            class.Name,
			Latency:         hdrhistogram.New(minLatency, maxLatency, significantDigits),
			WorstCoverage:   1,
			Refused:         make(map[dispatch.Reason]int),
			Timeline:        make([]TimePoint, buckets),
			minimumCoverage: class.MinimumCoverage,
			meanWork:        time.Duration(class.work() * float64(scenario.ServiceTime.Mean)),
		})
	}
	return result
}

// ExtraSendShare returns hedges and retries divided by first sends.
func (r *Result) ExtraSendShare() float64 {
	return share(float64(r.HedgeSends+r.RetrySends), float64(r.FirstSends))
}

// ExtraWorkShare returns the work on hedges and retries divided by the work on
// first sends.
func (r *Result) ExtraWorkShare() float64 {
	return share(float64(r.ExtraWork), float64(r.FirstWork))
}

// WastedWorkShare returns the share of all work that contributed to no useful
// answer.
func (r *Result) WastedWorkShare() float64 {
	all := float64(r.FirstWork + r.ExtraWork)
	return share(all-float64(r.UsefulWork), all)
}

// UsefulThroughput returns AnsweredWork divided by Capacity. Answers count by the
// time at which they are given; those after the arrivals end do not count.
func (r *Result) UsefulThroughput() float64 {
	return share(float64(r.AnsweredWork), float64(r.Capacity))
}

func share(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}

func (r *Result) recordArrival(fresh *query) {
	if fresh.measured {
		r.Classes[fresh.class].Arrived++
	}
}

func (r *Result) recordSend(sent *attempt) {
	if !sent.query.measured {
		return
	}
	switch sent.send.Kind {
	case dispatch.HedgeSend:
		r.HedgeSends++
	case dispatch.RetrySend:
		r.RetrySends++
	default:
		r.FirstSends++
	}
}

func (r *Result) executed(ended *attempt) {
	if !ended.query.measured {
		return
	}
	if ended.send.Kind == dispatch.FirstSend {
		r.FirstWork += ended.executed
	} else {
		r.ExtraWork += ended.executed
	}
}

func (r *Result) recordFinish(answered *query, outcome dispatch.Outcome, took, now time.Duration) {
	class := r.Classes[answered.class]
	bucket := min(int(answered.arrivedAt/CoverageBucket), len(class.Timeline)-1)
	class.Timeline[bucket].Queries++
	class.Timeline[bucket].Coverage += outcome.Coverage
	useful := outcome.Execution == dispatch.ExecutionDone && outcome.Coverage >= class.minimumCoverage
	work := time.Duration(0)
	if useful {
		work = answered.workOf(outcome.Parts)
	}
	if useful && r.warmup <= now && now < r.duration {
		r.AnsweredWork += time.Duration(len(outcome.Parts)) * class.meanWork
	}
	if !answered.measured {
		return
	}
	if outcome.Execution == dispatch.ExecutionNotRun {
		class.Refused[outcome.Reason]++
		return
	}
	class.Ran++
	class.coverageSum += outcome.Coverage
	class.WorstCoverage = min(class.WorstCoverage, outcome.Coverage)
	_ = class.Latency.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency))
	if useful {
		class.Useful++
		r.UsefulWork += work
	}
}

// workOf returns the execution time that servers spent on the parts of an answer.
func (q *query) workOf(parts []dispatch.Part) time.Duration {
	work := time.Duration(0)
	for _, part := range parts {
		work += q.workOfPart(part)
	}
	return work
}

func (q *query) workOfPart(part dispatch.Part) time.Duration {
	for _, candidate := range q.attempts {
		if candidate.executed > 0 && candidate.server.id == part.Server && candidate.send.Range == part.Range {
			return candidate.executed
		}
	}
	return 0
}
