package retry_test

import (
	"fmt"
	"time"

	"github.com/banksail/banksail/retry"
)

func ExampleBudget() {
	budget := retry.NewBudget(1, retry.BudgetOptions{})
	budget.Credit(0, 50, 0.02) // 50 first sends, 2 percent of which may be sent again
	fmt.Println(budget.SpendHedge(0, 1), budget.SpendHedge(0, 1))
	// Output: true false
}

func ExampleShareHedge() {
	var latencies retry.Sketch
	for i := range 100 {
		latencies.Add(time.Duration(i+1) * time.Millisecond)
	}
	input := retry.HedgeInput{Share: 0.1, Service: &latencies}
	delay, ok := retry.ShareHedge{}.Delay(input)
	fmt.Println(delay.Round(10*time.Millisecond), ok)
	// Output: 90ms true
}

func ExampleDeduplicator() {
	dedup := retry.NewDeduplicator(retry.DeduplicatorOptions{})
	digest := retry.Digest{0x2a}
	first, _ := dedup.Begin(0, "return-17", digest)
	dedup.Complete(time.Second, "return-17", "entered")
	again, outcome := dedup.Begin(2*time.Second, "return-17", digest)
	fmt.Println(first == retry.Accepted, again == retry.Completed, outcome)
	// Output: true true entered
}
