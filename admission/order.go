package admission

import (
	"math"
	"time"
)

// Item is a query that asks to run.
type Item struct {
	// ID identifies the query; it is unique within the queue.
	ID uint64
	// Rank is the position of the query's class, zero for the most urgent.
	Rank int
	// Arrived is when the query came.
	Arrived time.Duration
	// LongestWait bounds the time in the queue; zero means that it never waits.
	LongestWait time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// ExpectedRunTime is how long the query is expected to run once started.
	ExpectedRunTime time.Duration
}

// latestStart is the last time at which it is worth starting the query.
func (i Item) latestStart() time.Duration {
	return min(i.Arrived+i.LongestWait, i.Deadline-i.ExpectedRunTime)
}

// Key places a query in a queue: the lowest Tier first, then the lowest Time.
type Key struct {
	Tier int
	Time time.Duration
}

// Less reports whether k goes before other.
func (k Key) Less(other Key) bool {
	if k.Tier != other.Tier {
		return k.Tier < other.Tier
	}
	return k.Time < other.Time
}

// QueueOrder ranks queries that wait.
type QueueOrder interface{ Key(item Item) Key }

// StrictClass serves the most urgent class first, each in order of arrival.
type StrictClass struct{}

// Key implements QueueOrder.
func (StrictClass) Key(item Item) Key { return Key{Tier: item.Rank, Time: item.Arrived} }

// ArrivalOrder serves queries as they came, whatever their class.
type ArrivalOrder struct{}

// Key implements QueueOrder.
func (ArrivalOrder) Key(item Item) Key { return Key{Time: item.Arrived} }

// BoostedArrival serves queries by their time of arrival less a boost, which
// grows for urgent classes and for short queries. A long wait thus outweighs
// any boost in the end.
//
// The boost for size is that of Yu and Scully, "Strongly Tail-Optimal
// Scheduling in the Light-Tailed M/G/1" (2024): ln(1/(1-exp(-d*s)))/d for a
// query of size s and decay rate d.
type BoostedArrival struct {
	// ClassBoosts gives the boost by rank; later ranks have none.
	ClassBoosts []time.Duration
	// DecayRate is the decay rate per second of the boost for size; zero gives none.
	DecayRate float64
}

// minSize keeps the boost of queries of unknown size finite.
const minSize = 100 * time.Microsecond

// Key implements QueueOrder.
func (o BoostedArrival) Key(item Item) Key {
	var boost time.Duration
	if item.Rank < len(o.ClassBoosts) {
		boost = o.ClassBoosts[item.Rank]
	}
	if o.DecayRate > 0 {
		size := max(item.ExpectedRunTime, minSize).Seconds()
		seconds := -math.Log(1-math.Exp(-o.DecayRate*size)) / o.DecayRate
		boost += time.Duration(seconds * float64(time.Second))
	}
	return Key{Time: item.Arrived - boost}
}
