package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

// Options sets up a Queue. The zero value of a field stands for its default.
type Options struct {
	// Order ranks the queries that wait; default StrictClass.
	Order QueueOrder
	// MaximumQueued bounds the queries that wait, per class; default 1,000.
	MaximumQueued int
	// MinRetryAfter and MaxRetryAfter bound what refused callers are told;
	// default 50 ms and 30 s.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Defaults of Options.
const (
	DefaultMaximumQueued = 1000
	DefaultMinRetryAfter = 50 * time.Millisecond
	DefaultMaxRetryAfter = 30 * time.Second
)

// Verdict is the decision on a query.
type Verdict int

const (
	// Run means that the query runs now.
	Run Verdict = iota + 1
	// Queued means that it waits.
	Queued
	// RefusedFull means that too many of its class wait already.
	RefusedFull
	// RefusedWait means that it would not start within its class's bound.
	RefusedWait
	// RefusedDeadline means that it would not start early enough for its deadline.
	RefusedDeadline
)

// Decision is a verdict; RetryAfter is set on every refusal.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// CapacityFunc reports whether a query of the given rank may run now.
type CapacityFunc func(rank int) bool

// Queue holds the queries that wait.
type Queue struct {
	options      Options
	classes      []*priority.Queue[*queued] // by rank
	expiry       *priority.Queue[*queued]
	queued       map[uint64]*queued
	lastSequence uint64
	drain        drainEstimator
}

// waiting is a query in the queue.
type queued struct {
	item        Item
	key         Key
	sequence    uint64
	latestStart time.Duration
	// Places in the queues of its class and of expiry.
	classIndex  int
	expiryIndex int
}

// NewQueue returns an empty Queue.
func NewQueue(options Options) *Queue {
	if options.Order == nil {
		options.Order = StrictClass{}
	}
	if options.MaximumQueued <= 0 {
		options.MaximumQueued = DefaultMaximumQueued
	}
	if options.MinRetryAfter <= 0 {
		options.MinRetryAfter = DefaultMinRetryAfter
	}
	if options.MaxRetryAfter <= 0 {
		options.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return &Queue{options: options, expiry: newExpiryQueue(), queued: make(map[uint64]*queued)}
}

// Offer decides on a query. When the verdict is Queued, the query leaves the
// queue by Next, Remove, Expire or Drain.
func (q *Queue) Offer(now time.Duration, item Item, room CapacityFunc) Decision {
	key := q.options.Order.Key(item)
	if room(item.Rank) && !q.hasRunnableBefore(key, room) {
		return Decision{Verdict: Run}
	}
	expected := q.drain.estimateWait(now, q.countAhead(item, key)+1)
	switch {
	case q.classLen(item.Rank) >= q.options.MaximumQueued:
		return q.refuse(RefusedFull, expected)
	case now+expected > item.Arrived+item.LongestWait || item.LongestWait <= 0:
		return q.refuse(RefusedWait, expected-item.LongestWait)
	case now+expected+item.ExpectedRunTime > item.Deadline:
		return q.refuse(RefusedDeadline, expected)
	}
	q.push(item, key)
	return Decision{Verdict: Queued}
}

// Requeue puts back a query that was queued before, without a new decision.
func (q *Queue) Requeue(item Item) {
	q.push(item, q.options.Order.Key(item))
}

func (q *Queue) refuse(verdict Verdict, after time.Duration) Decision {
	after = min(max(after, q.options.MinRetryAfter), q.options.MaxRetryAfter)
	return Decision{Verdict: verdict, RetryAfter: after}
}

// hasRunnableBefore reports whether a query that waits could run and goes before key.
func (q *Queue) hasRunnableBefore(key Key, room CapacityFunc) bool {
	for rank := range q.classes {
		class := q.classes[rank]
		if class.Len() > 0 && !key.Less(class.First().key) && room(rank) {
			return true
		}
	}
	return false
}

// countAhead estimates how many queries go before the given one: all of each class
// of which a query that came now would not go after it.
func (q *Queue) countAhead(item Item, key Key) int {
	count := 0
	for rank := range q.classes {
		peer := item
		peer.Rank = rank
		if !key.Less(q.options.Order.Key(peer)) {
			count += q.classes[rank].Len()
		}
	}
	return count
}

func (q *Queue) classLen(rank int) int {
	if rank >= len(q.classes) {
		return 0
	}
	return q.classes[rank].Len()
}

func (q *Queue) push(item Item, key Key) {
	for len(q.classes) <= item.Rank {
		q.classes = append(q.classes, newClassQueue())
	}
	q.lastSequence++
	w := &queued{item: item, key: key, sequence: q.lastSequence, latestStart: item.latestStart()}
	q.queued[item.ID] = w
	q.classes[item.Rank].Push(w)
	q.expiry.Push(w)
}

// Dequeue takes out the first query that has room; ok is false when none has.
func (q *Queue) Dequeue(now time.Duration, room CapacityFunc) (item Item, ok bool) {
	var first *queued
	for rank := range q.classes {
		class := q.classes[rank]
		if class.Len() == 0 || first != nil && !class.First().before(first) || !room(rank) {
			continue
		}
		first = class.First()
	}
	if first == nil {
		return Item{}, false
	}
	q.remove(first)
	q.drain.recordDequeue(now, len(q.queued) > 0)
	return first.item, true
}

// Remove takes out a query, whose caller has gone for example. It reports
// whether the query was queued.
func (q *Queue) Remove(id uint64) bool {
	w := q.queued[id]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

func (q *Queue) remove(w *queued) {
	delete(q.queued, w.item.ID)
	q.classes[w.item.Rank].Remove(w.classIndex)
	q.expiry.Remove(w.expiryIndex)
}

// Expire takes out the queries that can no longer start in time.
func (q *Queue) Expire(now time.Duration) []Item {
	var expired []Item
	for q.expiry.Len() > 0 && q.expiry.First().latestStart <= now {
		w := q.expiry.First()
		q.remove(w)
		expired = append(expired, w.item)
	}
	return expired
}

// NextExpiry is the time at which Expire has something to do; ok is false when
// nothing waits.
func (q *Queue) NextExpiry() (at time.Duration, ok bool) {
	if q.expiry.Len() == 0 {
		return 0, false
	}
	return q.expiry.First().latestStart, true
}

// Drain takes out all queries, in the order in which they came.
func (q *Queue) Drain() []Item {
	entries := slices.Collect(maps.Values(q.queued))
	slices.SortFunc(entries, func(a, b *queued) int { return cmp.Compare(a.sequence, b.sequence) })
	items := make([]Item, 0, len(entries))
	for _, w := range entries {
		items = append(items, w.item)
	}
	q.classes = nil
	q.expiry = newExpiryQueue()
	clear(q.queued)
	return items
}

// Len is the number of queries that wait.
func (q *Queue) Len() int { return len(q.queued) }

// ExpectedWait estimates how long the last of the queue will wait; use it as
// the time after which to come back.
func (q *Queue) ExpectedWait(now time.Duration) time.Duration {
	return max(q.drain.estimateWait(now, len(q.queued)), q.options.MinRetryAfter)
}
