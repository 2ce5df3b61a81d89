package membership

import (
	"slices"
	"time"
)

const (
	// minOtherShare is the minimum share of the budget for servers that are not duties,
	// even if the duties exceed the rest.
	minOtherShare = 0.1
	// primaryReaders is the number of a server's readers that read it regardless of
	// their budget. Further ones do so only if their budget allows it.
	primaryReaders = 2
	// slackShare is the share of the readings of other servers that is reserved for
	// unscheduled readings.
	slackShare = 0.1
)

// ReadingBudget limits the rate at which a node reads servers' health and load. The
// servers that are the node's duty are read every interval; the rest of the budget is
// spread evenly over the other servers.
type ReadingBudget struct {
	// Rate is the maximum number of readings per second; zero means unlimited.
	Rate float64
	// Interval is the mean time between two health readings of a duty, LoadInterval
	// that between two load readings.
	Interval, LoadInterval time.Duration
}

// DutyRate returns the number of readings per second that the given number of duties
// needs.
func (b ReadingBudget) DutyRate(duties int) float64 {
	return float64(duties) * (1/b.Interval.Seconds() + 1/b.LoadInterval.Seconds())
}

// Covers reports whether the budget allows reading the given number of servers every
// interval.
func (b ReadingBudget) Covers(servers int) bool {
	return b.Rate == 0 || b.DutyRate(servers) <= b.Rate
}

// OtherIntervals returns the intervals for servers that are not duties: gap is the mean
// time between two readings of any of them, pause that between two readings of the same
// one.
func (b ReadingBudget) OtherIntervals(duties, others int) (gap, pause time.Duration) {
	if b.Rate == 0 || others == 0 {
		return 0, b.Interval
	}
	rate := max(b.Rate-b.DutyRate(duties), minOtherShare*b.Rate)
	gap = time.Duration(float64(time.Second) / rate)
	return gap, max(b.Interval, time.Duration(float64(others)*float64(gap)*(1+slackShare)))
}

// Duties returns the servers that a node reads every interval, sorted. positions maps each
// server to the node's zero-based position among its Readers. Servers for which the
// node is a spare reader are omitted if the budget is short.
func (b ReadingBudget) Duties(positions map[string]int) []string {
	var duties, spare []string
	for server, position := range positions {
		if position < primaryReaders {
			duties = append(duties, server)
		} else {
			spare = append(spare, server)
		}
	}
	slices.Sort(spare)
	for _, server := range spare {
		if b.Rate > 0 && b.DutyRate(len(duties)+1) > (1-minOtherShare)*b.Rate {
			break
		}
		duties = append(duties, server)
	}
	slices.Sort(duties)
	return duties
}
