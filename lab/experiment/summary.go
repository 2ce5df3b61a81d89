package experiment

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/lab/experiment/cluster"
)

// tailPercentile is the latency percentile by which policies are compared.
const tailPercentile = 99

// confidence is the level of the confidence intervals.
const confidence = 0.95

// microsecondsPerMillisecond converts histogram values, which are in microseconds.
const microsecondsPerMillisecond = 1000

// Summary aggregates the results of one cell over its seeds.
type Summary struct {
	Classes []ClassSummary
	// ExtraSendShare, ExtraWorkShare, WastedWorkShare and UsefulThroughput are
	// means over the seeds; the methods of cluster.Result define them.
	ExtraSendShare, ExtraWorkShare, WastedWorkShare, UsefulThroughput float64
	// Unanswered counts queries without a final answer, and InvalidActions counts
	// actions that name unknown queries or servers. Both should be zero.
	Unanswered, InvalidActions int
}

// ClassSummary aggregates the results of one class over the seeds.
type ClassSummary struct {
	Name string
	// Latency is the latency histogram over all seeds, in microseconds.
	Latency *hdrhistogram.Histogram
	// TailLatency is each seed's 99th percentile, in milliseconds.
	TailLatency []float64
	// Coverage is the mean coverage, per seed, of the queries that ran.
	Coverage      []float64
	WorstCoverage float64
	Arrived       int
	Ran           int
	Useful        int
	Refused       map[dispatch.Reason]int
	// Timeline is the coverage by arrival time, summed over all seeds.
	Timeline []cluster.TimePoint
	// BelowMinimum is the share of the queries that ran that were not answered
	// with at least the class's minimum coverage.
	BelowMinimum float64
}

// Quantile returns a latency percentile, from 0 to 100, over all seeds in
// milliseconds.
func (c *ClassSummary) Quantile(percentile float64) float64 {
	return float64(c.Latency.ValueAtPercentile(percentile)) / microsecondsPerMillisecond
}

// MeanCoverage returns the mean over the seeds of their mean coverage.
func (c *ClassSummary) MeanCoverage() float64 { return stat.Mean(c.Coverage, nil) }

// RefusedCount returns the number of queries that were refused without being run.
func (c *ClassSummary) RefusedCount() int {
	refused := 0
	for _, count := range c.Refused {
		refused += count
	}
	return refused
}

func summarise(results []*cluster.Result) *Summary {
	summary := &Summary{}
	var sends, work, wasted, throughput []float64
	for _, result := range results {
		sends = append(sends, result.ExtraSendShare())
		work = append(work, result.ExtraWorkShare())
		wasted = append(wasted, result.WastedWorkShare())
		throughput = append(throughput, result.UsefulThroughput())
		summary.Unanswered += result.Unanswered
		summary.InvalidActions += result.InvalidActions
	}
	summary.ExtraSendShare = stat.Mean(sends, nil)
	summary.ExtraWorkShare = stat.Mean(work, nil)
	summary.WastedWorkShare = stat.Mean(wasted, nil)
	summary.UsefulThroughput = stat.Mean(throughput, nil)
	for index := range results[0].Classes {
		summary.Classes = append(summary.Classes, summariseClass(results, index))
	}
	return summary
}

func summariseClass(results []*cluster.Result, index int) ClassSummary {
	first := results[0].Classes[index]
	class := ClassSummary{
		Name:          first.Name,
		Latency:       hdrhistogram.Import(first.Latency.Export()),
		WorstCoverage: 1,
		Refused:       make(map[dispatch.Reason]int),
		Timeline:      make([]cluster.TimePoint, len(first.Timeline)),
	}
	for number, result := range results {
		seed := result.Classes[index]
		if number > 0 {
			class.Latency.Merge(seed.Latency)
		}
		tail := float64(seed.Latency.ValueAtPercentile(tailPercentile)) / microsecondsPerMillisecond
		class.TailLatency = append(class.TailLatency, tail)
		class.Coverage = append(class.Coverage, seed.MeanCoverage())
		class.WorstCoverage = min(class.WorstCoverage, seed.WorstCoverage)
		class.Arrived += seed.Arrived
		class.Ran += seed.Ran
		class.Useful += seed.Useful
		for reason, count := range seed.Refused {
			class.Refused[reason] += count
		}
		for bucket, point := range seed.Timeline {
			class.Timeline[bucket].Queries += point.Queries
			class.Timeline[bucket].Coverage += point.Coverage
		}
	}
	if class.Ran > 0 {
		class.BelowMinimum = float64(class.Ran-class.Useful) / float64(class.Ran)
	}
	return class
}

// Difference is the mean of paired differences and the half-width of its
// confidence interval.
type Difference struct {
	Mean      float64
	HalfWidth float64
}

// IsSignificant reports whether the confidence interval excludes zero.
func (d Difference) IsSignificant() bool { return math.Abs(d.Mean) > d.HalfWidth }

// pairedDifference compares the values of two policies for the same seeds. The
// interval is a 95% interval of Student's t-distribution; with fewer than two
// seeds its half-width is infinite.
func pairedDifference(values, reference []float64) Difference {
	differences := make([]float64, len(values))
	for index := range values {
		differences[index] = values[index] - reference[index]
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	count := float64(len(differences))
	if len(differences) < 2 {
		return Difference{Mean: mean, HalfWidth: math.Inf(1)}
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 1}
	factor := student.Quantile(1 - (1-confidence)/2)
	return Difference{Mean: mean, HalfWidth: factor * deviation / math.Sqrt(count)}
}
