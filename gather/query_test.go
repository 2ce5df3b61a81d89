package gather_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/gather"
	"github.com/banksail/banksail/snapshot"
)

// replica is a Server that is identified by its name.
type replica string

func (r replica) ServerID() string { return string(r) }

// stubEnvironment is an Environment with two groups, each with half of the key space and two
// replicas.
type stubEnvironment struct {
	busy     bool
	budget   float64
	next     snapshot.ID // snapshot to restart on; zero is none
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

func (e *stubEnvironment) Generation() uint64 { return 1 }

func (e *stubEnvironment) Targets(coverage.Range) []gather.Target {
	return []gather.Target{{Range: halves[0], Group: 0}, {Range: halves[1], Group: 1}}
}

func (e *stubEnvironment) Place(s *gather.Segment, _ gather.SendKind) (gather.Server, gather.Placement) {
	if e.busy {
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

func (e *stubEnvironment) HedgeDelay(*gather.Segment) (time.Duration, bool) {
	return e.hedge, e.hedge > 0
}

func (e *stubEnvironment) SpendHedge(q *gather.Query, price float64) bool {
	return e.SpendRetry(q, price)
}

func (e *stubEnvironment) SpendRetry(_ *gather.Query, price float64) bool {
	if e.budget < price {
		return false
	}
	e.budget -= price
	return true
}

func (e *stubEnvironment) NextSnapshot([]snapshot.ID, uint64) (snapshot.ID, bool) {
	return e.next, e.next > 0
}
func (e *stubEnvironment) TypicalLatency() time.Duration                  { return 0 }
func (e *stubEnvironment) ExpectedLatency(*gather.Segment) time.Duration  { return 0 }
func (e *stubEnvironment) Backoff(int) time.Duration                      { return time.Millisecond }
func (e *stubEnvironment) Send(a *gather.Attempt)                         { e.sent = append(e.sent, a) }
func (e *stubEnvironment) Cancel(a *gather.Attempt)                       { e.canceled = append(e.canceled, a) }
func (e *stubEnvironment) Finish(_ *gather.Query, outcome gather.Outcome) { e.outcome = &outcome }

func (e *stubEnvironment) NextAttemptID() gather.AttemptID {
	e.last++
	return e.last
}

func doneReply(a *gather.Attempt) gather.Reply {
	return gather.Reply{Status: gather.ReplyDone, Snapshot: a.Snapshot, Range: a.Range}
}

func TestExecutionAndReason(t *testing.T) {
	type ending func(q *gather.Query, e *stubEnvironment)
	reply := func(attempt int, status gather.ReplyStatus) ending {
		return func(q *gather.Query, e *stubEnvironment) {
			a := e.sent[attempt]
			r := gather.Reply{Status: status}
			if status == gather.ReplyDone {
				r = doneReply(a)
			}
			q.HandleReply(0, a, r)
		}
	}
	fail := func(attempt int, delivery gather.Delivery) ending {
		return func(q *gather.Query, e *stubEnvironment) { q.HandleFailure(0, e.sent[attempt], delivery, "cut") }
	}
	deadline := func(q *gather.Query, _ *stubEnvironment) { q.Tick(time.Second) }
	disconnect := func(q *gather.Query, _ *stubEnvironment) { q.Cancel(0) }
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
		{"caller gone while in flight", true, 0, []ending{disconnect}, gather.ExecutionUnknown, gather.ReasonCallerGone},
		{"caller gone after half ran", true, 0, []ending{reply(0, gather.ReplyDone), disconnect}, gather.ExecutionPartial, gather.ReasonCallerGone},
		{"no budget for retries", true, 1, []ending{reply(0, gather.ReplyError)}, gather.ExecutionUnknown, gather.ReasonServerError},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &stubEnvironment{}
			q := gather.New(gather.Options{
				KeySpace: space, Snapshot: 7, Deadline: time.Second, RequiredCoverage: test.minimum, Repeatable: test.repeatable,
			}, e)
			q.Start(0)
			for _, end := range test.endings {
				end(q, e)
			}
			if e.outcome == nil {
				t.Fatal("no final outcome")
			}
			if e.outcome.Execution != test.want || e.outcome.Reason != test.reason {
				t.Fatalf("execution %d, %s; want %d, %s", e.outcome.Execution, e.outcome.Reason, test.want, test.reason)
			}
		})
	}
}

func TestQueryWithoutCapacityIsNotRun(t *testing.T) {
	e := &stubEnvironment{busy: true}
	q := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second}, e)
	q.Start(0)
	q.Tick(time.Second)
	if len(e.sent) != 0 || e.outcome.Execution != gather.ExecutionNotRun {
		t.Fatalf("outcome %+v, want one that was not run", e.outcome)
	}
}

func TestRestartSpendsBudgetForExecutedSegments(t *testing.T) {
	for _, test := range []struct {
		name   string
		budget float64
		want   snapshot.ID
	}{{"enough", 1, 8}, {"none", 0, 7}} {
		t.Run(test.name, func(t *testing.T) {
			e := &stubEnvironment{next: 8, budget: test.budget}
			q := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, Repeatable: true, MaximumRestarts: 1}, e)
			q.Start(0)
			q.HandleReply(0, e.sent[0], doneReply(e.sent[0]))
			q.HandleReply(0, e.sent[1], gather.Reply{Status: gather.ReplyUnknownSnapshot})
			q.HandleReply(0, e.sent[2], gather.Reply{Status: gather.ReplyUnknownSnapshot})
			if q.Snapshot() != test.want {
				t.Fatalf("snapshot %d, want %d", q.Snapshot(), test.want)
			}
		})
	}
}

func TestNextTickAtIsHedgeThenDeadline(t *testing.T) {
	e := &stubEnvironment{hedge: time.Millisecond, budget: 10}
	q := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, Repeatable: true}, e)
	q.Start(0)
	if q.NextTickAt() != time.Millisecond {
		t.Fatalf("next tick at %v, want the hedge", q.NextTickAt())
	}
	q.Tick(time.Millisecond)
	if len(e.sent) != 3 || q.NextTickAt() != 2*time.Millisecond {
		t.Fatalf("%d sub-requests sent, next tick at %v; want one hedge until a segment is answered", len(e.sent), q.NextTickAt())
	}
	q.HandleReply(time.Millisecond, e.sent[2], doneReply(e.sent[2]))
	q.Tick(2 * time.Millisecond)
	if len(e.sent) != 4 || q.NextTickAt() != time.Second {
		t.Fatalf("%d sub-requests sent, next tick at %v; want a second hedge, then the deadline", len(e.sent), q.NextTickAt())
	}
}

func ExampleQuery() {
	e := &stubEnvironment{}
	query := gather.New(gather.Options{KeySpace: space, Snapshot: 7, Deadline: time.Second, RequiredCoverage: 0.5}, e)
	query.Start(0)
	for _, a := range e.sent {
		fmt.Println("asked", a.Server, "for", a.Range)
	}
	query.HandleReply(5*time.Millisecond, e.sent[0], doneReply(e.sent[0]))
	query.Tick(time.Second) // the deadline
	fmt.Println(e.outcome.Reason, e.outcome.Coverage, e.outcome.Complete)
	// Output:
	// asked 0/0 for [0, 50)
	// asked 1/0 for [50, 100)
	// deadline 0.5 false
}
