package membership

import (
	"slices"
	"time"
)

const (
	// minOtherShare is the part of the budget that the others have even when
	// the duties take more than the rest.
	minOtherShare = 0.1
	// primaryReaders is the number of a server's readers that read it whatever their
	// budget; a further one does when its budget has room.
	primaryReaders = 2
	// slackShare is the part of the others' readings that is kept for readings
	// out of turn.
	slackShare = 0.1
)

// ReadingBudget bounds a node's readings of servers. A server that is the node's
// duty is read every interval; what the duties leave of the budget is spread
// evenly over the others.
type ReadingBudget struct {
	// Rate is the number of readings a second; zero means no bound.
	Rate float64
	// Interval is the mean time between two readings of a duty's health, and
	// LoadInterval that between two readings of its load.
	Interval, LoadInterval time.Duration
}

// DutyRate is the number of readings a second that so many duties take.
func (b ReadingBudget) DutyRate(duties int) float64 {
	return float64(duties) * (1/b.Interval.Seconds() + 1/b.LoadInterval.Seconds())
}

// Covers reports whether all of so many servers can be read every interval.
func (b ReadingBudget) Covers(servers int) bool {
	return b.Rate == 0 || b.DutyRate(servers) <= b.Rate
}

// OtherIntervals returns the pace of the servers that are not duties: the mean time
// between two readings, and between two readings of one server.
func (b ReadingBudget) OtherIntervals(duties, others int) (gap, pause time.Duration) {
	if b.Rate == 0 || others == 0 {
		return 0, b.Interval
	}
	rate := max(b.Rate-b.DutyRate(duties), minOtherShare*b.Rate)
	gap = time.Duration(float64(time.Second) / rate)
	return gap, max(b.Interval, time.Duration(float64(others)*float64(gap)*(1+slackShare)))
}

// Duties returns the servers, sorted, that a node reads every interval, given its
// place among the readers of each, from zero on, as Readers ranks them. Those to
// which it is a spare reader are left out when the budget is short.
func (b ReadingBudget) Duties(places map[string]int) []string {
	var duties, spare []string
	for server, place := range places {
		if place < primaryReaders {
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
