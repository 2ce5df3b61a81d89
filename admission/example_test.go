package admission_test

import (
	"fmt"
	"time"

	"github.com/banksail/banksail/admission"
)

func Example() {
	queue := admission.NewQueue(admission.Options{Order: admission.StrictClass{}})
	busy := func(int) bool { return false }
	free := func(int) bool { return true }
	wait, deadline := 100*time.Millisecond, time.Second

	queue.Offer(0, admission.Item{ID: 1, Rank: 1, LongestWait: wait, Deadline: deadline}, busy)
	queue.Offer(1, admission.Item{ID: 2, Rank: 0, Arrived: 1, LongestWait: wait, Deadline: deadline}, busy)
	next, _ := queue.Dequeue(10*time.Millisecond, free)
	fmt.Println("runs first:", next.ID)
	for _, expired := range queue.Expire(200 * time.Millisecond) {
		fmt.Println("not run:", expired.ID)
	}
	// Output:
	// runs first: 2
	// not run: 1
}
