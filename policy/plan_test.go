package policy

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/banksail/banksail/coverage"
)

var confirmedAt = time.Date(2026, 12, 2, 7, 0, 0, 0, time.UTC)

func testServer(id string) Server {
	return Server{ID: id, Address: "10.0.0.1:8080", Zone: "north", Slots: 5, Connections: 70}
}

func testConfig() Config {
	return Config{
		Classes: []Class{
			{Name: "urgent", Order: 0, LongestWait: 20, Deadline: 100, MinimumCoverage: 0.9, HedgeShare: 0.05, Headroom: 0.2},
			{Name: "billing", Order: 10, LongestWait: 1000, Deadline: 5000, MinimumCoverage: 1},
		},
		Services: []Service{{
			Name:     "search",
			KeySpace: coverage.Range{Start: 0, End: 100},
			Groups: []Group{
				{Name: "a", Range: coverage.Range{Start: 0, End: 50}, Servers: []Server{testServer("a1"), testServer("a2")}},
				{Name: "b", Range: coverage.Range{Start: 50, End: 100}, Servers: []Server{testServer("b1"), testServer("b2")}},
			},
		}},
	}
}

func replaceIntent(config Config) Intent {
	return Intent{Author: "ann", Changes: []Change{{Replace: &config}}}
}

func mustPlan(t *testing.T, id string, base Record, intent Intent) Plan {
	t.Helper()
	plan, err := NewPlan(PlanOptions{ID: id, Base: base, Intent: intent, Nodes: 2})
	if err != nil {
		t.Fatalf("plan %s: %v", id, err)
	}
	return plan
}

func mustDecide(t *testing.T, base Record, plan Plan) Record {
	t.Helper()
	decision, err := Decide(base, plan, confirmedAt)
	if err != nil {
		t.Fatalf("decide on plan %s: %v", plan.ID, err)
	}
	return decision.Next
}

func firstRecord(t *testing.T) Record {
	t.Helper()
	return mustDecide(t, Record{}, mustPlan(t, "first", Record{}, replaceIntent(testConfig())))
}

func classIntent(author string, change func(*Class)) Intent {
	class := testConfig().Classes[0]
	change(&class)
	return Intent{Author: author, Changes: []Change{{SetClass: &class}}}
}

func TestPlanListsDifferencesFieldByField(t *testing.T) {
	base := firstRecord(t)
	plan := mustPlan(t, "p", base, classIntent("ann", func(class *Class) { class.Deadline = 80; class.Headroom = 0.3 }))
	want := []string{
		"~ classes[urgent].deadline_ms: 100 -> 80",
		"~ classes[urgent].headroom: 0.2 -> 0.3",
	}
	got := []string{}
	for _, difference := range plan.Differences {
		got = append(got, difference.String())
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("got %q, want %q", got, want)
	}
}

func TestPlanRoundTrip(t *testing.T) {
	plan := mustPlan(t, "p", firstRecord(t), classIntent("ann", func(class *Class) { class.Deadline = 80 }))
	data, err := EncodePlan(plan)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodePlan(data)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Digest != plan.Digest {
		t.Fatalf("digest changed from %s to %s", plan.Digest, decoded.Digest)
	}
}

func TestAlteredPlanIsRejected(t *testing.T) {
	base := firstRecord(t)
	original := mustPlan(t, "p", base, classIntent("ann", func(class *Class) { class.Deadline = 80 }))
	t.Run("content without digest", func(t *testing.T) {
		altered := original
		altered.BaseRevision++
		if err := altered.Verify(); !errors.Is(err, ErrPlanAltered) {
			t.Fatalf("got %v, want ErrPlanAltered", err)
		}
	})
	t.Run("differences that the intent does not make", func(t *testing.T) {
		altered := original
		altered.Differences = nil
		altered.Digest, _ = altered.digest()
		if _, err := Decide(base, altered, confirmedAt); !errors.Is(err, ErrPlanAltered) {
			t.Fatalf("got %v, want ErrPlanAltered", err)
		}
	})
}

func TestConflictListsInterveningChanges(t *testing.T) {
	base := firstRecord(t)
	ann := mustPlan(t, "ann's", base, classIntent("ann", func(class *Class) { class.Deadline = 80 }))
	bob := mustPlan(t, "bob's", base, classIntent("bob", func(class *Class) { class.Deadline = 60 }))
	next := mustDecide(t, base, ann)
	_, err := Decide(next, bob, confirmedAt)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v, want a ConflictError", err)
	}
	if conflict.Base != 1 || conflict.Current != 2 || len(conflict.Between) != 1 || conflict.Between[0].Author != "ann" {
		t.Fatalf("got %+v", conflict)
	}
}

func TestSamePlanIsAppliedOnce(t *testing.T) {
	base := firstRecord(t)
	plan := mustPlan(t, "p", base, classIntent("ann", func(class *Class) { class.Deadline = 80 }))
	next := mustDecide(t, base, plan)
	decision, err := Decide(next, plan, confirmedAt)
	if err != nil || !decision.Applied || decision.Revision != 2 {
		t.Fatalf("got %+v, %v", decision, err)
	}
}
