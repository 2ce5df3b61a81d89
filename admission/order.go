package admission

import (
	"math"
	"time"
)

// Item is a query that requests admission.
type Item struct {
	// ID identifies the query; it is unique within the queue.
	ID uint64
	// Rank is the position of the query's class, zero for the most urgent.
	Rank int
	// Arrived is when the query arrived.
	Arrived time.Duration
	// LongestWait is the maximum time in the queue; zero means that the query never waits.
	LongestWait time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// ExpectedRunTime is the expected duration of the query once it has started.
	ExpectedRunTime time.Duration
}

// latestStart returns the latest time at which starting the query is useful.
func (i Item) latestStart() time.Duration {
	return min(i.Arrived+i.LongestWait, i.Deadline-i.ExpectedRunTime)
}

// Key determines the position of a query in a queue: lowest Tier first, then lowest Time.
type Key struct {
	Tier int
	Time time.Duration
}

// Less reports whether k sorts before other.
func (k Key) Less(other Key) bool {
	if k.Tier != other.Tier {
		return k.Tier < other.Tier
	}
	return k.Time < other.Time
}

// QueueOrder ranks waiting queries.
type QueueOrder interface{ Key(item Item) Key }

// StrictClass orders queries by class, most urgent first, and by arrival within a class.
type StrictClass struct{}

// Key implements QueueOrder.
func (StrictClass) Key(item Item) Key { return Key{Tier: item.Rank, Time: item.Arrived} }

// ArrivalOrder orders queries by arrival, regardless of class.
type ArrivalOrder struct{}

// Key implements QueueOrder.
func (ArrivalOrder) Key(item Item) Key { return Key{Time: item.Arrived} }

// BoostedArrival orders queries by their arrival time minus a boost, which is
// larger for urgent classes and short queries. A long wait eventually outweighs
// any boost.
//
// The boost for size is that of Yu and Scully, "Strongly Tail-Optimal
// Scheduling in the Light-Tailed M/G/1" (2024): ln(1/(1-exp(-d*s)))/d for a
// query of size s and decay rate d.
type BoostedArrival struct {
	// ClassBoosts holds the boost for each rank; ranks beyond it have none.
	ClassBoosts []time.Duration
	// DecayRate is the decay rate, per second, of the boost for size; zero disables it.
	DecayRate float64
}

// minSize is the minimum size assumed for a query; it keeps the boost of queries of
// unknown size finite.
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
