package gather

import "time"

// Progress is the input of a StopPolicy.
type Progress struct {
	// Rank is the rank of the query's priority class; zero is the most urgent.
	Rank int
	// Coverage is the fraction of the key space that has been answered.
	Coverage float64
	// RequiredCoverage is the minimum coverage of a usable answer.
	RequiredCoverage float64
	// OpenSegments is the number of segments without an answer.
	OpenSegments int
	// UnsentSegments is the number of open segments that are waiting for capacity.
	UnsentSegments int
	// TypicalLatency is the latency that most sub-requests stay below; zero if unknown.
	TypicalLatency time.Duration
	// ExpectedLatency is the lowest latency expected of any open segment, based on recent
	// latencies of its servers; zero if unknown. It may be that of any segment that is expected
	// to take no longer than TypicalLatency.
	ExpectedLatency time.Duration
	// Budget is the time from the start of the query to its deadline.
	Budget time.Duration
}

// StopPolicy decides how long a query that has reached its required coverage waits for the
// remaining segments. The query stops once the returned time has passed since its start; if ok
// is false, it waits until its deadline.
type StopPolicy interface {
	StopAfter(progress Progress) (after time.Duration, ok bool)
}

// StopAtDeadline waits for full coverage until the deadline.
type StopAtDeadline struct{}

// StopAfter implements StopPolicy.
func (StopAtDeadline) StopAfter(Progress) (time.Duration, bool) { return 0, false }

// StopWhenSlow stops when the remaining segments take much longer than is typical and are
// unlikely to be answered soon. Its waiting times are multiples of the typical latency.
type StopWhenSlow struct {
	// LatencyFactor is the multiple to wait in general; default DefaultLatencyFactor.
	LatencyFactor float64
	// UnsentLatencyFactor is the multiple to wait if none of the remaining segments could be
	// sent; default DefaultUnsentLatencyFactor.
	UnsentLatencyFactor float64
	// SlowLatencyFactor is the multiple to wait if the remaining segments are expected to take
	// longer than LatencyFactor allows; default DefaultSlowLatencyFactor.
	SlowLatencyFactor float64
	// EligibleClasses is the number of priority classes, starting with the most urgent, whose
	// queries stop early; others wait until their deadline. Default one.
	EligibleClasses int
	// MinimumCoverage is the coverage below which a query never stops early, even if the caller
	// accepts less; default DefaultMinimumCoverage.
	MinimumCoverage float64
}

// Defaults of StopWhenSlow.
const (
	DefaultLatencyFactor       = 4.0
	DefaultUnsentLatencyFactor = 2.0
	DefaultSlowLatencyFactor   = 1.0
	DefaultMinimumCoverage     = 0.8
)

// StopAfter implements StopPolicy.
func (p StopWhenSlow) StopAfter(progress Progress) (time.Duration, bool) {
	factor := orDefault(p.LatencyFactor, DefaultLatencyFactor)
	switch {
	case float64(progress.ExpectedLatency) > factor*float64(progress.TypicalLatency):
		factor = orDefault(p.SlowLatencyFactor, DefaultSlowLatencyFactor)
	case progress.UnsentSegments == progress.OpenSegments:
		factor = orDefault(p.UnsentLatencyFactor, DefaultUnsentLatencyFactor)
	}
	minimum := orDefault(p.MinimumCoverage, DefaultMinimumCoverage)
	if progress.Rank >= max(p.EligibleClasses, 1) || progress.TypicalLatency <= 0 || progress.Coverage < minimum {
		return 0, false
	}
	return time.Duration(float64(progress.TypicalLatency) * factor), true
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
