package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/policy"
)

const keysPerGroup = 100

// configuration returns a service with the given numbers of groups and of replicas per group.
// Servers are named "group/replica".
func configuration(groups, replicas int) Configured {
	service := policy.Service{Name: "search", KeySpace: coverage.Range{End: uint64(groups * keysPerGroup)}}
	for g := range groups {
		start := uint64(g * keysPerGroup)
		group := policy.Group{Name: fmt.Sprint(g), Range: coverage.Range{Start: start, End: start + keysPerGroup}}
		for r := range replicas {
			id := fmt.Sprintf("%d/%d", g, r)
			group.Servers = append(group.Servers, policy.Server{ID: id, Address: "127.0.0.1:1", Slots: 5, Connections: 70})
		}
		service.Groups = append(service.Groups, group)
	}
	return Configured{Revision: 1, Service: service, Classes: []policy.Class{
		{Name: "urgent", Order: 1, LongestWait: 50, Deadline: 200, HedgeShare: 0.5, Headroom: 0.2},
		{Name: "batch", Order: 2, LongestWait: 1000, Deadline: 5000, MinimumCoverage: 0.9, HedgeShare: 0.02},
	}}
}

// newConfigured returns a configured dispatcher whose servers all hold snapshot 7.
func newConfigured(options Options, groups, replicas int) *Dispatcher {
	d := New(options)
	c := configuration(groups, replicas)
	d.Step(0, c)
	for _, g := range c.Service.Groups {
		for _, s := range g.Servers {
			d.Step(0, ServerReported{Server: s.ID, Snapshots: []SnapshotID{7}})
		}
	}
	return d
}

func arrival(id QueryID) QueryArrived {
	return QueryArrived{Query: Query{ID: id, Class: "urgent", Remaining: 100 * time.Millisecond, Repeatable: true}}
}

func sends(actions []Action) []Send {
	var found []Send
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			found = append(found, s)
		}
	}
	return found
}

func finishes(actions []Action) []Finish {
	var found []Finish
	for _, a := range actions {
		if f, ok := a.(Finish); ok {
			found = append(found, f)
		}
	}
	return found
}

func doneReply(s Send) AttemptReplied {
	return AttemptReplied{Attempt: s.Attempt, Reply: Reply{Status: ReplyDone, Snapshot: s.Snapshot, Range: s.Range}}
}

func TestQueryOverEveryGroupIsComplete(t *testing.T) {
	d := newConfigured(Options{}, 8, 2)
	sent := sends(d.Step(time.Millisecond, arrival(1)))
	if len(sent) != 8 {
		t.Fatalf("sent %d sub-requests, want 8", len(sent))
	}
	for i, s := range sent {
		ended := finishes(d.Step(2*time.Millisecond, doneReply(s)))
		if (i == 7) != (len(ended) == 1) {
			t.Fatalf("reply %d resulted in %d final outcomes", i, len(ended))
		}
		if len(ended) == 1 && (!ended[0].Outcome.Complete || ended[0].Outcome.Execution != ExecutionDone || ended[0].Outcome.Snapshot != 7) {
			t.Fatalf("outcome %+v, want a complete one of snapshot 7", ended[0].Outcome)
		}
	}
}

func TestRefusedWithoutConfiguration(t *testing.T) {
	d := New(Options{})
	ended := finishes(d.Step(0, arrival(1)))
	if len(ended) != 1 || ended[0].Outcome.Reason != ReasonNoConfiguration || ended[0].Outcome.RetryAfter <= 0 {
		t.Fatalf("final outcomes %+v, want one refusal with RetryAfter", ended)
	}
}

func TestRefusedWithoutSnapshot(t *testing.T) {
	d := New(Options{})
	d.Step(0, configuration(2, 2))
	ended := finishes(d.Step(0, arrival(1)))
	if len(ended) != 1 || ended[0].Outcome.Reason != ReasonNoSnapshot || ended[0].Outcome.Execution != ExecutionNotRun {
		t.Fatalf("final outcomes %+v, want one refusal for lack of a snapshot", ended)
	}
}

func TestDeadlineFinishesQuery(t *testing.T) {
	d := newConfigured(Options{}, 2, 2)
	sent := sends(d.Step(0, arrival(1)))
	d.Step(time.Millisecond, doneReply(sent[0]))
	ended := finishes(d.Step(100*time.Millisecond, TimerFired{}))
	if len(ended) != 1 || ended[0].Outcome.Reason != ReasonDeadline || ended[0].Outcome.Coverage != 0.5 {
		t.Fatalf("final outcomes %+v, want one with coverage 0.5 at the deadline", ended)
	}
}

func TestNotExecutedReplyIsRetriedOnAnotherReplica(t *testing.T) {
	for _, status := range []ReplyStatus{ReplyShed, ReplyUnknownSnapshot, ReplyDraining} {
		d := newConfigured(Options{}, 1, 2)
		q := arrival(1)
		q.Query.Repeatable = false
		first := sends(d.Step(0, q))
		second := sends(d.Step(0, AttemptReplied{Attempt: first[0].Attempt, Reply: Reply{Status: status}}))
		if len(second) != 1 || second[0].Server == first[0].Server {
			t.Fatalf("status %d: sent %+v, want one retry on the other server", status, second)
		}
		last := d.Step(0, AttemptReplied{Attempt: second[0].Attempt, Reply: Reply{Status: status}})
		if len(sends(last)) != 0 {
			t.Fatalf("status %d: sent again without a back-off", status)
		}
		if status == ReplyShed { // the servers are retried after their back-off
			last = append(last, d.Step(100*time.Millisecond, CallerGone{})...)
		}
		if ended := finishes(last); len(ended) != 1 || ended[0].Outcome.Execution != ExecutionNotRun {
			t.Fatalf("status %d: final outcomes %+v, want one that was not run", status, ended)
		}
	}
}

func TestNonRepeatableQueryIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	d := newConfigured(Options{}, 1, 2)
	q := arrival(1)
	q.Query.Repeatable = false
	first := sends(d.Step(0, q))
	actions := d.Step(0, AttemptFailed{Attempt: first[0].Attempt, Delivery: DeliveryUnknown})
	if len(sends(actions)) != 0 {
		t.Fatal("sent again after an unknown outcome")
	}
	ended := finishes(actions)
	if len(ended) != 1 || ended[0].Outcome.Execution != ExecutionUnknown || ended[0].Outcome.Reason != ReasonOutcomeUnknown {
		t.Fatalf("final outcomes %+v, want one with unknown execution", ended)
	}
}
