package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banksail/banksail/internal/priority"
)

// Options configures a Queue. Zero fields take their defaults.
type Options struct {
	// Order ranks the waiting queries; default StrictClass.
	Order QueueOrder
	// MaximumQueued bounds the waiting queries per class; default 1,000.
	MaximumQueued int
	// MinRetryAfter and MaxRetryAfter bound the retry-after time of refusals;
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
	// Run means that the query may run immediately.
	Run Verdict = iota + 1
	// Queued means that the query waits in the queue.
	Queued
	// RefusedFull means that too many queries of its class are waiting already.
	RefusedFull
	// RefusedWait means that the query would not start within its LongestWait.
	RefusedWait
	// RefusedDeadline means that the query would not start early enough to meet its
	// deadline.
	RefusedDeadline
)

// Decision is a verdict and, for refusals, the time after which to retry.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// CapacityFunc reports whether there is capacity to run a query of the given rank now.
type CapacityFunc func(rank int) bool

// Queue holds the waiting queries.
type Queue struct {
	options      Options
	classes      []*priority.Queue[*queued] // by rank
	expiry       *priority.Queue[*queued]
	queued       map[uint64]*queued
	lastSequence uint64
	drain        drainEstimator
}

// queued is a query in the queue.
type queued struct {
	item        Item
	key         Key
	sequence    uint64
	latestStart time.Duration
	// Indexes in the priority queues by class and by expiry.
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

// Offer decides whether a query runs, waits or is refused. If the verdict is Queued,
// the query stays in the queue until Dequeue, Remove, Expire or Drain removes it.
func (q *Queue) Offer(now time.Duration, item Item, hasCapacity CapacityFunc) Decision {
	key := q.options.Order.Key(item)
	if hasCapacity(item.Rank) && !q.hasRunnableBefore(key, hasCapacity) {
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

// Requeue puts a query that was queued before back into the queue, without a new
// decision.
func (q *Queue) Requeue(item Item) {
	q.push(item, q.options.Order.Key(item))
}

func (q *Queue) refuse(verdict Verdict, after time.Duration) Decision {
	after = min(max(after, q.options.MinRetryAfter), q.options.MaxRetryAfter)
	return Decision{Verdict: verdict, RetryAfter: after}
}

// hasRunnableBefore reports whether a waiting query that does not sort after key could run
// now.
func (q *Queue) hasRunnableBefore(key Key, hasCapacity CapacityFunc) bool {
	for rank := range q.classes {
		class := q.classes[rank]
		if class.Len() > 0 && !key.Less(class.First().key) && hasCapacity(rank) {
			return true
		}
	}
	return false
}

// countAhead estimates how many queries are ahead of item: all queries of each class
// in which an otherwise equal query would not sort after item.
func (q *Queue) countAhead(item Item, key Key) int {
	count := 0
	for rank := range q.classes {
		sameItem := item
		sameItem.Rank = rank
		if !key.Less(q.options.Order.Key(sameItem)) {
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
	e := &queued{item: item, key: key, sequence: q.lastSequence, latestStart: item.latestStart()}
	q.queued[item.ID] = e
	q.classes[item.Rank].Push(e)
	q.expiry.Push(e)
}

// Dequeue removes and returns the first query that there is capacity for; ok is false
// if there is none.
func (q *Queue) Dequeue(now time.Duration, hasCapacity CapacityFunc) (item Item, ok bool) {
	var first *queued
	for rank := range q.classes {
		class := q.classes[rank]
		if class.Len() == 0 || first != nil && !class.First().before(first) || !hasCapacity(rank) {
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

// Remove deletes a query from the queue, for example because its caller has disconnected. It reports
// whether the query was queued.
func (q *Queue) Remove(id uint64) bool {
	e := q.queued[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

func (q *Queue) remove(e *queued) {
	delete(q.queued, e.item.ID)
	q.classes[e.item.Rank].Remove(e.classIndex)
	q.expiry.Remove(e.expiryIndex)
}

// Expire removes and returns the queries that can no longer start in time.
func (q *Queue) Expire(now time.Duration) []Item {
	var expired []Item
	for q.expiry.Len() > 0 && q.expiry.First().latestStart <= now {
		e := q.expiry.First()
		q.remove(e)
		expired = append(expired, e.item)
	}
	return expired
}

// NextExpiry returns the time at which the next query expires; ok is false if the queue
// is empty.
func (q *Queue) NextExpiry() (at time.Duration, ok bool) {
	if q.expiry.Len() == 0 {
		return 0, false
	}
	return q.expiry.First().latestStart, true
}

// Drain removes and returns all queries in the order in which they were queued.
func (q *Queue) Drain() []Item {
	entries := slices.Collect(maps.Values(q.queued))
	slices.SortFunc(entries, func(a, b *queued) int { return cmp.Compare(a.sequence, b.sequence) })
	items := make([]Item, 0, len(entries))
	for _, e := range entries {
		items = append(items, e.item)
	}
	q.classes = nil
	q.expiry = newExpiryQueue()
	clear(q.queued)
	return items
}

// Len returns the number of waiting queries.
func (q *Queue) Len() int { return len(q.queued) }

// ExpectedWait estimates how long the last query in the queue will wait. It serves as a
// retry-after time.
func (q *Queue) ExpectedWait(now time.Duration) time.Duration {
	return max(q.drain.estimateWait(now, len(q.queued)), q.options.MinRetryAfter)
}
