package gather

import "time"

// Progress is what a StopPolicy decides on.
type Progress struct {
	// Rank is the position of the query's class, zero for the most urgent.
	Rank int
	// Coverage is the fraction of the key space that was replied.
	Coverage float64
	// Minimum is the least fraction that makes an answer.
	Minimum float64
	// Open is the number of segments still awaited.
	Open int
	// Unsent is the number of those that no server has room for.
	Unsent int
	// Typical is the latency that most sub-requests stay below; zero when unknown.
	Typical time.Duration
	// Expected is the least latency that is expected of a segment still awaited,
	// from what its servers took of late; zero when unknown. It may be that of any
	// segment that is expected to take no longer than Typical.
	Expected time.Duration
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
	// Patience is a multiple of the typical latency; zero stands for DefaultPatience.
	Patience float64
	// UnsentPatience is the multiple while the rest could not even be sent; zero
	// stands for DefaultUnsentPatience.
	UnsentPatience float64
	// SlowPatience is the multiple while the rest is expected to take longer than
	// Patience allows in any case; zero stands for DefaultSlowPatience.
	SlowPatience float64
	// Classes is the number of classes, the most urgent first, that stop early;
	// the others wait until their deadline. Zero stands for one.
	Classes int
	// Least is the coverage below which it never stops early, also when the
	// caller accepts less; zero stands for DefaultLeastCoverage.
	Least float64
}

// Defaults of StopWhenSlow.
const (
	DefaultPatience       = 4.0
	DefaultUnsentPatience = 2.0
	DefaultSlowPatience   = 1.0
	DefaultLeastCoverage  = 0.8
)

// StopAfter implements StopPolicy.
func (p StopWhenSlow) StopAfter(progress Progress) (time.Duration, bool) {
	patience := orDefault(p.Patience, DefaultPatience)
	switch {
	case float64(progress.Expected) > patience*float64(progress.Typical):
		patience = orDefault(p.SlowPatience, DefaultSlowPatience)
	case progress.Unsent == progress.Open:
		patience = orDefault(p.UnsentPatience, DefaultUnsentPatience)
	}
	least := orDefault(p.Least, DefaultLeastCoverage)
	if progress.Rank >= max(p.Classes, 1) || progress.Typical <= 0 || progress.Coverage < least {
		return 0, false
	}
	return time.Duration(float64(progress.Typical) * patience), true
}

func orDefault(value, standard float64) float64 {
	if value <= 0 {
		return standard
	}
	return value
}
