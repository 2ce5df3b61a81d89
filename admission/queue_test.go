package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/admission"
)

func noCapacity(int) bool  { return false }
func allCapacity(int) bool { return true }

const minute = time.Minute

func item(id uint64, rank int, arrived time.Duration) admission.Item {
	return admission.Item{ID: id, Rank: rank, Arrived: arrived, LongestWait: minute, Deadline: arrived + minute}
}

// dequeueAll dequeues all queries that have capacity and returns their IDs in that order.
func dequeueAll(q *admission.Queue, now time.Duration, hasCapacity admission.CapacityFunc) []uint64 {
	var ids []uint64
	for {
		next, ok := q.Dequeue(now, hasCapacity)
		if !ok {
			return ids
		}
		ids = append(ids, next.ID)
	}
}

func TestQueueOrders(t *testing.T) {
	items := []admission.Item{item(1, 1, 0), item(2, 0, 10), item(3, 1, 5), item(4, 0, 8), item(5, 2, 1)}
	short := item(6, 2, 9)
	short.ExpectedRunTime = time.Millisecond
	long := item(7, 2, 2)
	long.ExpectedRunTime = 10 * time.Second
	tests := []struct {
		name  string
		order admission.QueueOrder
		items []admission.Item
		want  []uint64
	}{
		{"strict class", admission.StrictClass{}, items, []uint64{4, 2, 1, 3, 5}},
		{"default", nil, items, []uint64{4, 2, 1, 3, 5}},
		{"arrival", admission.ArrivalOrder{}, items, []uint64{1, 5, 3, 4, 2}},
		{"boost less than the lead", admission.BoostedArrival{ClassBoosts: []time.Duration{4}}, items, []uint64{1, 5, 4, 3, 2}},
		{"boost for size", admission.BoostedArrival{DecayRate: 10}, []admission.Item{long, short}, []uint64{6, 7}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := admission.NewQueue(admission.Options{Order: test.order})
			for _, i := range test.items {
				if d := q.Offer(i.Arrived, i, noCapacity); d.Verdict != admission.Queued {
					t.Fatalf("query %d: decision %+v, want Queued", i.ID, d)
				}
			}
			if got := dequeueAll(q, minute, allCapacity); !slices.Equal(got, test.want) {
				t.Fatalf("dequeued %v, want %v", got, test.want)
			}
		})
	}
}

func TestOfferRunsWithCapacityAndNothingAhead(t *testing.T) {
	q := admission.NewQueue(admission.Options{})
	if d := q.Offer(0, item(1, 1, 0), allCapacity); d.Verdict != admission.Run {
		t.Fatalf("decision %+v, want Run", d)
	}
	q.Offer(0, item(2, 1, 0), noCapacity)
	if d := q.Offer(1, item(3, 1, 1), allCapacity); d.Verdict != admission.Queued {
		t.Fatalf("decision %+v, want Queued behind a query of the same class", d)
	}
	if d := q.Offer(1, item(4, 0, 1), allCapacity); d.Verdict != admission.Run {
		t.Fatalf("decision %+v, want Run before a less urgent class", d)
	}
}

func TestClassWithHeadroomOvertakesOneWithout(t *testing.T) {
	q := admission.NewQueue(admission.Options{Order: admission.ArrivalOrder{}})
	q.Offer(0, item(1, 1, 0), noCapacity)
	q.Offer(1, item(2, 0, 1), noCapacity)
	urgentOnly := func(rank int) bool { return rank == 0 }
	if got := dequeueAll(q, 2, urgentOnly); !slices.Equal(got, []uint64{2}) {
		t.Fatalf("dequeued %v, want [2]", got)
	}
}

func TestRefusals(t *testing.T) {
	drained := func(interval time.Duration) *admission.Queue {
		q := admission.NewQueue(admission.Options{MaximumQueued: 15})
		for id := range uint64(20) {
			q.Requeue(item(id+100, 0, 0))
		}
		for i := range 10 {
			q.Dequeue(time.Duration(i)*interval, allCapacity)
		}
		return q
	}
	patient := item(1, 0, time.Second)
	impatient := patient
	impatient.LongestWait = 500 * time.Millisecond
	late := patient
	late.Deadline = patient.Arrived + 1500*time.Millisecond
	late.ExpectedRunTime = time.Second
	never := patient
	never.LongestWait = 0
	tests := []struct {
		name string
		item admission.Item
		more int
		want admission.Verdict
	}{
		{"within all bounds", patient, 0, admission.Queued},
		{"longest wait", impatient, 0, admission.RefusedWait},
		{"class never waits", never, 0, admission.RefusedWait},
		{"deadline", late, 0, admission.RefusedDeadline},
		{"full", patient, 5, admission.RefusedFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := drained(100 * time.Millisecond)
			for id := range uint64(test.more) {
				q.Requeue(item(id+200, 0, 0))
			}
			d := q.Offer(test.item.Arrived, test.item, noCapacity)
			if d.Verdict != test.want {
				t.Fatalf("decision %+v", d)
			}
			if refused := test.want != admission.Queued; refused != (d.RetryAfter > 0) {
				t.Fatalf("retry-after time %v, want one exactly for refusals", d.RetryAfter)
			}
		})
	}
}

func TestStalledQueueRefusesQueries(t *testing.T) {
	q := admission.NewQueue(admission.Options{})
	q.Requeue(item(1, 0, 0))
	q.Requeue(item(2, 0, 0))
	q.Dequeue(0, allCapacity)
	q.Dequeue(time.Millisecond, noCapacity)
	impatient := item(3, 0, 10*time.Second)
	impatient.LongestWait = time.Second
	if d := q.Offer(10*time.Second, impatient, noCapacity); d.Verdict != admission.RefusedWait {
		t.Fatalf("decision %+v, want RefusedWait", d)
	}
}

func TestExpireRemovesQueriesThatCannotStartInTime(t *testing.T) {
	q := admission.NewQueue(admission.Options{})
	short, late, patient := item(1, 0, 0), item(2, 0, 0), item(3, 0, 0)
	short.LongestWait = 10
	late.Deadline, late.ExpectedRunTime = 30, 15
	for _, i := range []admission.Item{patient, late, short} {
		q.Offer(0, i, noCapacity)
	}
	if at, ok := q.NextExpiry(); !ok || at != 10 {
		t.Fatalf("next expiry %v, %t; want 10, true", at, ok)
	}
	var expired []uint64
	for _, i := range q.Expire(15) {
		expired = append(expired, i.ID)
	}
	if !slices.Equal(expired, []uint64{1, 2}) || q.Len() != 1 {
		t.Fatalf("expired %v, want [1 2]", expired)
	}
}

// Each queued query is removed exactly once, by Dequeue, Remove, Expire or Drain.
func TestEachQueuedQueryLeavesOnce(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("once", prop.ForAll(func(steps []uint16) bool {
		q := admission.NewQueue(admission.Options{Order: admission.BoostedArrival{ClassBoosts: []time.Duration{9, 3}}})
		left := make(map[uint64]int)
		queued := make(map[uint64]bool)
		for i, step := range steps {
			now, id := time.Duration(i), uint64(i)
			switch step & 7 {
			case 0:
				if next, ok := q.Dequeue(now, func(rank int) bool { return rank <= int(step>>3)%3 }); ok {
					left[next.ID]++
				}
			case 1:
				if target := uint64(step >> 3); q.Remove(target) {
					left[target]++
				}
			case 2:
				for _, expired := range q.Expire(now) {
					left[expired.ID]++
				}
			default:
				it := admission.Item{ID: id, Rank: int(step>>3) % 3, Arrived: now, LongestWait: time.Duration(step >> 6), Deadline: now + 500}
				queued[id] = q.Offer(now, it, noCapacity).Verdict == admission.Queued
			}
		}
		for _, rest := range q.Drain() {
			left[rest.ID]++
		}
		for id, was := range queued {
			if was != (left[id] == 1) {
				return false
			}
		}
		return q.Len() == 0
	}, gen.SliceOfN(200, gen.UInt16())))
	properties.TestingRun(t)
}
