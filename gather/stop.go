package gather

import "time"

// Progress is what a StopPolicy decides on.
type Progress struct {
	// Rank is the position of the query's class, zero for the most urgent.
	Rank int
	// Coverage is the fraction of the key space that was replied.
	Coverage float64
	// RequiredCoverage is the least fraction that makes an answer.
	RequiredCoverage float64
	// OpenSegments is the number of segments still awaited.
	OpenSegments int
	// UnsentSegments is the number of those that no server has room for.
	UnsentSegments int
	// TypicalLatency is the latency that most sub-requests stay below; zero when unknown.
	TypicalLatency time.Duration
	// ExpectedLatency is the least latency that is expected of a segment still awaited,
	// from what its servers took of late; zero when unknown. It may be that of any
	// segment that is expected to take no longer than TypicalLatency.
	ExpectedLatency time.Duration
	// Budget is the time from the query's start to its deadline.
	Budget time.Duration
}

// StopPolicy decides how long a query that has its minimum coverage waits for
// the rest: until after has passed since its start. Without ok it waits until
// its deadline.
type StopPolicy interface {
	StopAfter(progress Progress) (after time.Duration, ok bool)
}

// StopAtDeadline waits for full coverage until the deadline.
type StopAtDeadline struct{}

// StopAfter implements StopPolicy.
func (StopAtDeadline) StopAfter(Progress) (time.Duration, bool) { return 0, false }

// StopWhenSlow stops once the rest takes much longer than is typical, so that
// little can be expected of it.
type StopWhenSlow struct {
	// LatencyFactor is a multiple of the typical latency; zero stands for DefaultLatencyFactor.
	LatencyFactor float64
	// UnsentLatencyFactor is the multiple while the rest could not even be sent; zero
	// stands for DefaultUnsentLatencyFactor.
	UnsentLatencyFactor float64
	// SlowLatencyFactor is the multiple while the rest is expected to take longer than
	// LatencyFactor allows in any case; zero stands for DefaultSlowLatencyFactor.
	SlowLatencyFactor float64
	// EligibleClasses is the number of classes, the most urgent first, that stop early;
	// the others wait until their deadline. Zero stands for one.
	EligibleClasses int
	// MinimumCoverage is the coverage below which it never stops early, also when the
	// caller accepts less; zero stands for DefaultMinimumCoverage.
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
	patience := orDefault(p.LatencyFactor, DefaultLatencyFactor)
	switch {
	case float64(progress.ExpectedLatency) > patience*float64(progress.TypicalLatency):
		patience = orDefault(p.SlowLatencyFactor, DefaultSlowLatencyFactor)
	case progress.UnsentSegments == progress.OpenSegments:
		patience = orDefault(p.UnsentLatencyFactor, DefaultUnsentLatencyFactor)
	}
	least := orDefault(p.MinimumCoverage, DefaultMinimumCoverage)
	if progress.Rank >= max(p.EligibleClasses, 1) || progress.TypicalLatency <= 0 || progress.Coverage < least {
		return 0, false
	}
	return time.Duration(float64(progress.TypicalLatency) * patience), true
}

func orDefault(value, standard float64) float64 {
	if value <= 0 {
		return standard
	}
	return value
}
