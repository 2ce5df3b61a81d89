package rollout

import (
	"testing"
	"time"
)

// orderInput is the input of the first of two deciders, for an order that was given at 0.
func orderInput() DeciderInput {
	return DeciderInput{
		State:    State{Order: 7, OrderRevision: 7, Target: "v2", Duration: 20 * time.Second, OrderTimeKnown: true},
		Versions: []string{"v1", "v2"}, ServiceKnown: true,
		Nodes: []string{"a", "b"}, ServingNodes: []string{"a", "b"}, MaxViewAge: 1600 * time.Millisecond,
	}
}

// A decider whose write is rejected, because the record has another revision than it assumed, must use
// the next observed revision and write again.
func TestRejectedWritesAreRetried(t *testing.T) {
	d := NewDecider("x", testBounds)
	input := orderInput()
	d.Observe(0, input)
	begin, ok := d.Tick(0)
	if !ok || begin.Record.Phase != Running || begin.OrderRevision != 7 || begin.RecordRevision != 0 || begin.AlarmTTL == 0 {
		t.Fatalf("first write: %+v, ok %t", begin, ok)
	}
	d.WriteAccepted(0, begin, 10)
	input.Record, input.RecordRevision = &begin.Record, 9 // its own record, observed at another revision
	d.Observe(time.Second, input)
	input.Order, input.OrderRevision = 0, 0 // withdrawn
	d.Observe(2*time.Second, input)
	end, ok := d.Tick(2 * time.Second)
	if !ok || end.Record.Phase != RolledBack || end.RecordRevision != 10 && end.RecordRevision != 9 {
		t.Fatalf("write of the roll-back: %+v, ok %t", end, ok)
	}
	d.WriteRejected()
	d.Observe(3*time.Second, input)
	if again, ok := d.Tick(4 * time.Second); !ok || again.RecordRevision != 9 {
		t.Errorf("write after a rejection: %+v, ok %t", again, ok)
	}
}

// The second decider must act if the first does not, and then must not wait again.
func TestSecondDeciderTakesOver(t *testing.T) {
	d := NewDecider("x", testBounds)
	input := orderInput()
	input.DeciderIndex = 1
	d.Observe(0, input)
	if _, ok := d.Tick(0); ok {
		t.Error("the second decider acts without waiting for the first")
	}
	begin, ok := d.Tick(takeoverDelay)
	if !ok {
		t.Fatal("the second decider does not take over")
	}
	d.WriteAccepted(takeoverDelay, begin, 10)
	input.Record, input.RecordRevision = &begin.Record, 10
	input.Order, input.OrderRevision = 0, 0
	d.Observe(3*time.Second, input)
	if _, ok := d.Tick(3 * time.Second); !ok {
		t.Error("the second decider waits again after it took over")
	}
}

// The grants of all nodes must add up to the usable part of ExposureSlack, for any number of nodes.
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
			t.Errorf("%d nodes: grants add up to %d, want 42", nodes, sum)
		}
	}
}
