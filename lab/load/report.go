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

// Bounds of the latency histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
)

// Report sums a run up.
type Report struct {
	Elapsed time.Duration

	// mutex guards lines while the run goes on.
	mutex sync.Mutex
	lines []*ClassStats
}

// ClassStats sums up the queries of one service and class.
type ClassStats struct {
	Service string
	Class   string
	// Sent counts the queries sent; Skipped those that the in-flight bound held
	// back.
	Sent    int
	Skipped int
	// Answered counts the answers, Partial those of them that are not complete
	// and Wrong those that the stand-ins' results contradict.
	Answered int
	Partial  int
	Wrong    int
	// Failed counts the queries without answer or refusal.
	Failed int
	// Refused counts refusals by execution and reason.
	Refused map[string]int
	// CoverageSum adds up the answers' coverage; MinCoverage is the lowest.
	CoverageSum float64
	MinCoverage float64
	// Latency holds the answers' latencies in microseconds.
	Latency *hdrhistogram.Histogram
	// FirstError is the first wrong answer or failure.
	FirstError error
}

func newReport(mix []profile.QueryKind) *Report {
	report := &Report{}
	for _, share := range mix {
		report.line(share)
	}
	return report
}

// Stats returns the lines in the order of the mix. Call it after the run.
func (r *Report) Stats() []*ClassStats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.lines)
}

// Wrong counts the wrong answers of all lines.
func (r *Report) Wrong() int {
	count := 0
	for _, line := range r.Stats() {
		count += line.Wrong
	}
	return count
}

// line returns the line of a kind of query.
func (r *Report) line(share profile.QueryKind) *ClassStats {
	for _, known := range r.lines {
		if known.Service == share.Service && known.Class == share.Class {
			return known
		}
	}
	added := &ClassStats{
		Service: share.Service, Class: share.Class, Refused: make(map[string]int), MinCoverage: 1,
		Latency: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits),
	}
	r.lines = append(r.lines, added)
	return added
}

func (r *Report) skip(share profile.QueryKind) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(share).Skipped++
}

func (r *Report) add(share profile.QueryKind, result outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := r.line(share)
	line.Sent++
	switch {
	case result.answer != nil:
		line.addAnswer(result)
	case result.refusal != nil:
		line.Refused[result.refusal.Execution+"/"+result.refusal.Reason]++
	default:
		line.Failed++
		line.note(result.failure)
	}
}

func (l *ClassStats) addAnswer(result outcome) {
	l.Answered++
	if !result.answer.Complete {
		l.Partial++
	}
	if result.wrong != nil {
		l.Wrong++
		l.note(result.wrong)
	}
	if result.answer.Coverage != nil {
		l.CoverageSum += *result.answer.Coverage
		l.MinCoverage = min(l.MinCoverage, *result.answer.Coverage)
	}
	// The histogram's range holds every latency that the time-outs allow.
	_ = l.Latency.RecordValue(max(lowestMicroseconds, result.latency.Microseconds()))
}

func (l *ClassStats) note(problem error) {
	if l.FirstError == nil {
		l.FirstError = problem
	}
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	const heading = "service\tclass\tsent\tskipped\tanswered\tpartial\twrong\tfailed\trefused\t" +
		"p50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\tcoverage\tleast\t\n"
	if _, err := io.WriteString(table, heading); err != nil {
		return err
	}
	lines := r.Stats()
	for _, line := range lines {
		if err := line.writeRow(table); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, line := range lines {
		if err := line.writeNotes(writer); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(writer, "elapsed %v\n", r.Elapsed.Round(time.Millisecond))
	return err
}

func (l *ClassStats) writeRow(writer io.Writer) error {
	refused := 0
	for _, count := range l.Refused {
		refused += count
	}
	_, err := fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t",
		l.Service, l.Class, l.Sent, l.Skipped, l.Answered, l.Partial, l.Wrong, l.Failed, refused)
	if err != nil {
		return err
	}
	if l.Answered == 0 {
		_, err = io.WriteString(writer, "-\t-\t-\t-\t-\t-\t-\t\n")
		return err
	}
	_, err = fmt.Fprintf(writer, "%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t\n",
		l.quantile(50), l.quantile(90), l.quantile(99), l.quantile(99.9), l.quantile(100),
		l.CoverageSum/float64(l.Answered), l.MinCoverage)
	return err
}

// quantile is in milliseconds.
func (l *ClassStats) quantile(percent float64) float64 {
	return float64(l.Latency.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// writeNotes lists the refusals and the first problem.
func (l *ClassStats) writeNotes(writer io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(l.Refused)) {
		if _, err := fmt.Fprintf(writer, "%s %s: refused %d as %s\n", l.Service, l.Class, l.Refused[kind], kind); err != nil {
			return err
		}
	}
	if l.FirstError == nil {
		return nil
	}
	_, err := fmt.Fprintf(writer, "%s %s: first problem: %v\n", l.Service, l.Class, l.FirstError)
	return err
}
