package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banksail/banksail/lab/profile"
)

// Range of the latency histograms in microseconds, and their precision.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
)

// Report holds the results of a run.
type Report struct {
	Elapsed time.Duration

	// mutex guards stats and what its elements hold.
	mutex sync.Mutex
	stats []*ClassStats
}

// ClassStats holds the results of the queries of one service and class.
type ClassStats struct {
	Service string
	Class   string
	// Sent counts the queries sent, Skipped those not sent because MaxInFlight
	// queries were in flight.
	Sent    int
	Skipped int
	// Answered counts the answers. Partial counts those that are not complete and
	// Wrong those that failed verification.
	Answered int
	Partial  int
	Wrong    int
	// Failed counts the queries that got neither an answer nor a refusal.
	Failed int
	// Refused counts refusals by "execution/reason".
	Refused map[string]int
	// CoverageSum is the sum of the answers' coverage, MinCoverage the lowest.
	CoverageSum float64
	MinCoverage float64
	// Latency holds the answers' latencies in microseconds.
	Latency *hdrhistogram.Histogram
	// FirstError is the error of the first wrong answer or failed query.
	FirstError error
}

func newReport(mix []profile.QueryKind) *Report {
	report := &Report{}
	for _, kind := range mix {
		report.statsOf(kind)
	}
	return report
}

// Stats returns the results in the order of the mix. Its elements must not be read
// before the run has ended.
func (r *Report) Stats() []*ClassStats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.stats)
}

// Wrong returns the total number of wrong answers.
func (r *Report) Wrong() int {
	count := 0
	for _, class := range r.Stats() {
		count += class.Wrong
	}
	return count
}

// statsOf returns the results of a kind of query and adds them if missing. The
// caller must hold the mutex unless the report is not shared yet.
func (r *Report) statsOf(kind profile.QueryKind) *ClassStats {
	for _, known := range r.stats {
		if known.Service == kind.Service && known.Class == kind.Class {
			return known
		}
	}
	added := &ClassStats{
		Service: kind.Service, Class: kind.Class, Refused: make(map[string]int), MinCoverage: 1,
		Latency: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits),
	}
	r.stats = append(r.stats, added)
	return added
}

func (r *Report) countSkipped(kind profile.QueryKind) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.statsOf(kind).Skipped++
}

func (r *Report) addOutcome(kind profile.QueryKind, result outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	class := r.statsOf(kind)
	class.Sent++
	switch {
	case result.answer != nil:
		class.addAnswer(result)
	case result.refusal != nil:
		class.Refused[result.refusal.Execution+"/"+result.refusal.Reason]++
	default:
		class.Failed++
		class.recordError(result.failure)
	}
}

func (s *ClassStats) addAnswer(result outcome) {
	s.Answered++
	if !result.answer.Complete {
		s.Partial++
	}
	if result.answerError != nil {
		s.Wrong++
		s.recordError(result.answerError)
	}
	if result.answer.Coverage != nil {
		s.CoverageSum += *result.answer.Coverage
		s.MinCoverage = min(s.MinCoverage, *result.answer.Coverage)
	}
	// RecordValue can't fail: the histogram's range exceeds the request timeouts.
	_ = s.Latency.RecordValue(max(lowestMicroseconds, result.latency.Microseconds()))
}

func (s *ClassStats) recordError(problem error) {
	if s.FirstError == nil {
		s.FirstError = problem
	}
}

// WriteTable writes the report as a text table, followed by the refusals and the
// first error per class.
func (r *Report) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	const heading = "service\tclass\tsent\tskipped\tanswered\tpartial\twrong\tfailed\trefused\t" +
		"p50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\tcoverage\tleast\t\n"
	if _, err := io.WriteString(table, heading); err != nil {
		return err
	}
	classes := r.Stats()
	for _, class := range classes {
		if err := class.writeRow(table); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, class := range classes {
		if err := class.writeDetails(writer); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(writer, "elapsed %v\n", r.Elapsed.Round(time.Millisecond))
	return err
}

func (s *ClassStats) writeRow(writer io.Writer) error {
	refused := 0
	for _, count := range s.Refused {
		refused += count
	}
	_, err := fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t",
		s.Service, s.Class, s.Sent, s.Skipped, s.Answered, s.Partial, s.Wrong, s.Failed, refused)
	if err != nil {
		return err
	}
	if s.Answered == 0 {
		_, err = io.WriteString(writer, "-\t-\t-\t-\t-\t-\t-\t\n")
		return err
	}
	_, err = fmt.Fprintf(writer, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t\n",
		s.latencyMillis(50), s.latencyMillis(90), s.latencyMillis(99), s.latencyMillis(99.9), s.latencyMillis(100),
		s.CoverageSum/float64(s.Answered), s.MinCoverage)
	return err
}

// latencyMillis returns a percentile of the latency in milliseconds.
func (s *ClassStats) latencyMillis(percent float64) float64 {
	return float64(s.Latency.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// writeDetails writes the refusals and the first error.
func (s *ClassStats) writeDetails(writer io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(s.Refused)) {
		if _, err := fmt.Fprintf(writer, "%s %s: refused %d as %s\n", s.Service, s.Class, s.Refused[kind], kind); err != nil {
			return err
		}
	}
	if s.FirstError == nil {
		return nil
	}
	_, err := fmt.Fprintf(writer, "%s %s: first problem: %v\n", s.Service, s.Class, s.FirstError)
	return err
}
