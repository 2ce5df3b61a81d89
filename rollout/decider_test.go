package rollout

import (
	"testing"
	"time"
)

// orderInput is what the first decider of two nodes knows of an order that was given at 0.
func orderInput() DeciderInput {
	return DeciderInput{
		State:    State{Order: 7, OrderRevision: 7, Target: "v2", Duration: 20 * time.Second, OrderTimeKnown: true},
		Versions: []string{"v1", "v2"}, ServiceKnown: true,
		Nodes: []string{"a", "b"}, ServingNodes: []string{"a", "b"}, MaxViewAge: 1600 * time.Millisecond,
	}
}

// A decider whose write is refused, as the record stands at another revision than it was told
// of, goes by what it hears next and writes again.
func TestRejectedWritesAreRetried(t *testing.T) {
	d := NewDecider("x", testBounds)
	input := orderInput()
	d.Observe(0, input)
	begin, ok := d.Tick(0)
	if !ok || begin.Record.Phase != Running || begin.OrderRevision != 7 || begin.RecordRevision != 0 || begin.AlarmTTL == 0 {
		t.Fatalf("%+v %t", begin, ok)
	}
	d.WriteAccepted(0, begin, 10)
	input.Record, input.RecordRevision = &begin.Record, 9 // its own, as it is heard of
	d.Observe(time.Second, input)
	input.Order, input.OrderRevision = 0, 0 // taken back
	d.Observe(2*time.Second, input)
	end, ok := d.Tick(2 * time.Second)
	if !ok || end.Record.Phase != RolledBack || end.RecordRevision != 10 && end.RecordRevision != 9 {
		t.Fatalf("%+v %t", end, ok)
	}
	d.WriteRejected()
	d.Observe(3*time.Second, input)
	if again, ok := d.Tick(4 * time.Second); !ok || again.RecordRevision != 9 {
		t.Errorf("%+v %t", again, ok)
	}
}

// The second decider acts when the first has not, and does not wait again for what follows.
func TestSecondDeciderTakesOver(t *testing.T) {
	d := NewDecider("x", testBounds)
	input := orderInput()
	input.DeciderIndex = 1
	d.Observe(0, input)
	if _, ok := d.Tick(0); ok {
		t.Error("it acts before its turn")
	}
	begin, ok := d.Tick(takeoverDelay)
	if !ok {
		t.Fatal("it does not take over")
	}
	d.WriteAccepted(takeoverDelay, begin, 10)
	input.Record, input.RecordRevision = &begin.Record, 10
	input.Order, input.OrderRevision = 0, 0
	d.Observe(3*time.Second, input)
	if _, ok := d.Tick(3 * time.Second); !ok {
		t.Error("it waits again")
	}
}

// The grants are what is to be spent of the fixed number, whatever the number of nodes.
func TestGrantsAddUp(t *testing.T) {
	for _, nodes := range []int{1, 3, 8, 42, 60, 200} {
		input := orderInput()
		input.ServingNodes = nil
		for number := range nodes {
			input.ServingNodes = append(input.ServingNodes, time.Duration(number).String())
		}
		d := NewDecider("x", testBounds)
		d.Observe(0, input)
		begin, _ := d.Tick(0)
		sum := 0
		for _, count := range begin.Record.Grants {
			sum += count
		}
		if sum != 42 {
			t.Errorf("%d nodes: %d granted, want 42", nodes, sum)
		}
	}
}
