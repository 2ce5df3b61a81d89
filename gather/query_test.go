package gather_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/snapshot"
)

// replica is a server's name.
type replica string

func (r replica) ServerID() string { return string(r) }

// stubEnvironment is an Environment with two halves of a key space and two replicas of each.
type stubEnvironment struct {
	busy     bool
	budget   float64
	next     snapshot.ID // to start over on; zero is none
	hedge    time.Duration
	last     gather.AttemptID
	sent     []*gather.Attempt
	canceled []*gather.Attempt
	outcome  *gather.Outcome
}

var (
	space  = coverage.Range{Start: 0, End: 100}
	halves = []coverage.Range{{Start: 0, End: 50}, {Start: 50, End: 100}}
)

func (f *stubEnvironment) Generation() uint64 { return 1 }

func (f *stubEnvironment) Targets(coverage.Range) []gather.Target {
	return []gather.Target{{Range: halves[0], Group: 0}, {Range: halves[1], Group: 1}}
}

func (f *stubEnvironment) Place(s *gather.Segment, _ gather.SendKind) (gather.Server, gather.Placement) {
	if f.busy {
		return nil, gather.Busy
	}
	for r := range 2 {
		server := replica(fmt.Sprintf("%d/%d", s.Group, r))
		if !s.HasTried(server) {
			return server, gather.Placed
		}
	}
	return nil, gather.Unservable
}

func (f *stubEnvironment) HedgeDelay(*gather.Segment) (time.Duration, bool) {
	return f.hedge, f.hedge > 0
}

func (f *stubEnvironment) SpendHedge(q *gather.Query, price float64) bool {
	return f.SpendRetry(q, price)
}

func (f *stubEnvironment) SpendRetry(_ *gather.Query, price float64) bool {
	if f.budget < price {
		return false
	}
	f.budget -= price
	return true
}

func (f *stubEnvironment) NextSnapshot([]snapshot.ID, uint64) (snapshot.ID, bool) {
	return f.next, f.next > 0
}
func (f *stubEnvironment) TypicalLatency() time.Duration                  { return 0 }
func (f *stubEnvironment) ExpectedLatency(*gather.Segment) time.Duration  { return 0 }
func (f *stubEnvironment) Backoff(int) time.Duration                      { return time.Millisecond }
func (f *stubEnvironment) Send(a *gather.Attempt)                         { f.sent = append(f.sent, a) }
func (f *stubEnvironment) Cancel(a *gather.Attempt)                       { f.canceled = append(f.canceled, a) }
func (f *stubEnvironment) Finish(_ *gather.Query, outcome gather.Outcome) { f.outcome = &outcome }

func (f *stubEnvironment) NextAttemptID() gather.AttemptID {
	f.last++
	return f.last
}

func doneReply(a *gather.Attempt) gather.Reply {
	return gather.Reply{Status: gather.ReplyDone, Snapshot: a.Snapshot, Range: a.Range}
}

func TestExecutionAndReason(t *testing.T) {
	type ending func(q *gather.Query, f *stubEnvironment)
	reply := func(attempt int, status gather.ReplyStatus) ending {
		return func(q *gather.Query, f *stubEnvironment) {
			a := f.sent[attempt]
			r := gather.Reply{Status: status}
			if status == gather.ReplyDone {
				r = doneReply(a)
			}
			q.HandleReply(0, a, r)
		}
	}
	fail := func(attempt int, delivery gather.Delivery) ending {
		return func(q *gather.Query, f *stubEnvironment) { q.HandleFailure(0, f.sent[attempt], delivery, "cut") }
	}
	deadline := func(q *gather.Query, _ *stubEnvironment) { q.Tick(time.Second) }
	gone := func(q *gather.Query, _ *stubEnvironment) { q.Cancel(0) }
	tests := []struct {
		name       string
		repeatable bool
		minimum    float64
		endings    []ending
		want       gather.Execution
		reason     gather.Reason
	}{
		{"all replied", true, 1, []ending{reply(0, gather.ReplyDone), reply(1, gather.ReplyDone)}, gather.ExecutionDone, gather.ReasonComplete},
		{"half by the deadline, accepted", true, 0.5, []ending{reply(0, gather.ReplyDone), deadline}, gather.ExecutionDone, gather.ReasonDeadline},
		{"half by the deadline, too few", true, 0.6, []ending{reply(0, gather.ReplyDone), deadline}, gather.ExecutionPartial, gather.ReasonDeadline},
		{"none by the deadline", true, 0, []ending{deadline}, gather.ExecutionUnknown, gather.ReasonDeadline},
		{"every replica drains", true, 0, []ending{
			reply(0, gather.ReplyDraining), reply(1, gather.ReplyDraining), reply(2, gather.ReplyDraining), reply(3, gather.ReplyDraining),
		}, gather.ExecutionNotRun, gather.ReasonNoServer},
		{"nothing delivered", false, 0, []ending{
			fail(0, gather.NotDelivered), fail(1, gather.NotDelivered), fail(2, gather.NotDelivered), fail(3, gather.NotDelivered),
		}, gather.ExecutionNotRun, gather.ReasonNoServer},
		{"not repeatable, cut", false, 0, []ending{fail(0, gather.DeliveryUnknown), reply(1, gather.ReplyDraining)}, gather.ExecutionUnknown, gather.ReasonOutcomeUnknown},
		{"not repeatable, error", false, 0, []ending{reply(0, gather.ReplyError), reply(1, gather.ReplyShed)}, gather.ExecutionUnknown, gather.ReasonOutcomeUnknown},
		{"not repeatable, half ran", false, 1, []ending{fail(0, gather.DeliveryUnknown), reply(1, gather.ReplyDone)}, gather.ExecutionPartial, gather.ReasonOutcomeUnknown},
		{"caller gone while in flight", true, 0, []ending{gone}, gather.ExecutionUnknown, gather.ReasonCallerGone},
		{"caller gone after half ran", true, 0, []ending{reply(0, gather.ReplyDone), gone}, gather.ExecutionPartial, gather.ReasonCallerGone},
		{"no budget for retries", true, 1, []ending{reply(0, gather.ReplyError)}, gather.ExecutionUnknown, gather.ReasonServerError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &stubEnvironment{}
			q := gather.New(gather.Options{
				KeySpace: space, Snapshot: 7, Deadline: time.Second, RequiredCoverage: test.minimum, Repeatable: test.repeatable,
			}, f)
			q.Start(0)
			for _, end := range test.endings {
				end(q, f)
			}
			if f.outcome == nil {
				t.Fatal("no final answer")
			}
			if f.outcome.Execution != test.want || f.outcome.Reason != test.reason {
				t.Fatalf("execution %d, %s; want %d, %s", f.outcome.Execution, f.outcome.Reason, test.want, test.reason)
			}
		})
	}
}

func TestQueryWithoutCapacityIsNotRun(t *testing.T) {
	f := &stubEnvironment{busy: true}
	q := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second}, f)
	q.Start(0)
	q.Tick(time.Second)
	if len(f.sent) != 0 || f.outcome.Execution != gather.ExecutionNotRun {
		t.Fatalf("outcome %+v", f.outcome)
	}
}

func TestRestartSpendsBudgetForExecutedSegments(t *testing.T) {
	for _, test := range []struct {
		name   string
		budget float64
		want   snapshot.ID
	}{{"enough", 1, 8}, {"none", 0, 7}} {
		t.Run(test.name, func(t *testing.T) {
			f := &stubEnvironment{next: 8, budget: test.budget}
			q := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, Repeatable: true, MaximumRestarts: 1}, f)
			q.Start(0)
			q.HandleReply(0, f.sent[0], doneReply(f.sent[0]))
			q.HandleReply(0, f.sent[1], gather.Reply{Status: gather.ReplyUnknownSnapshot})
			q.HandleReply(0, f.sent[2], gather.Reply{Status: gather.ReplyUnknownSnapshot})
			if q.Snapshot() != test.want {
				t.Fatalf("snapshot %d, want %d", q.Snapshot(), test.want)
			}
		})
	}
}

func TestNextTickAtIsHedgeThenDeadline(t *testing.T) {
	f := &stubEnvironment{hedge: time.Millisecond, budget: 10}
	q := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, Repeatable: true}, f)
	q.Start(0)
	if q.NextTickAt() != time.Millisecond {
		t.Fatalf("next at %v", q.NextTickAt())
	}
	q.Tick(time.Millisecond)
	if len(f.sent) != 3 || q.NextTickAt() != 2*time.Millisecond {
		t.Fatalf("%d sent, next at %v; want one hedge until a part is answered", len(f.sent), q.NextTickAt())
	}
	q.HandleReply(time.Millisecond, f.sent[2], doneReply(f.sent[2]))
	q.Tick(2 * time.Millisecond)
	if len(f.sent) != 4 || q.NextTickAt() != time.Second {
		t.Fatalf("%d sent, next at %v", len(f.sent), q.NextTickAt())
	}
}

func ExampleQuery() {
	f := &stubEnvironment{}
	query := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, RequiredCoverage: 0.5}, f)
	query.Start(0)
	for _, a := range f.sent {
		fmt.Println("asked", a.Server, "for", a.Range)
	}
	query.HandleReply(5*time.Millisecond, f.sent[0], doneReply(f.sent[0]))
	query.Tick(time.Second) // the deadline
	fmt.Println(f.outcome.Reason, f.outcome.Coverage, f.outcome.Complete)
	// Output:
	// asked 0/0 for [0, 50)
	// asked 1/0 for [50, 100)
	// deadline 0.5 false
}
