package dispatch_test

import (
	"fmt"
	"time"

	"github.com/banksail/banksail/coverage"
	"github.com/banksail/banksail/dispatch"
	"github.com/banksail/banksail/policy"
)

// A driver passes events to the dispatcher and carries out the returned actions.
func Example() {
	space := coverage.Range{Start: 0, End: 1000}
	dispatcher := dispatch.New(dispatch.Options{Zone: "a"})
	dispatcher.Step(0, dispatch.Configured{
		Revision: 1,
		Classes:  []policy.Class{{Name: "urgent", Order: 1, LongestWait: 50, Deadline: 200}},
		Service: policy.Service{Name: "search", KeySpace: space, Groups: []policy.Group{{
			Name:    "all",
			Range:   space,
			Servers: []policy.Server{{ID: "s1", Address: "127.0.0.1:7001", Slots: 5, Connections: 70}},
		}}},
	})
	dispatcher.Step(0, dispatch.ServerReported{Server: "s1", Snapshots: []dispatch.SnapshotID{42}})

	now := 10 * time.Millisecond
	query := dispatch.Query{ID: 1, Class: "urgent", Remaining: 100 * time.Millisecond, Repeatable: true}
	for _, action := range dispatcher.Step(now, dispatch.QueryArrived{Query: query}) {
		send, ok := action.(dispatch.Send)
		if !ok {
			continue
		}
		fmt.Println("send", send.Range, "of snapshot", send.Snapshot, "to", send.Server)
		reply := dispatch.Reply{Status: dispatch.ReplyDone, Snapshot: send.Snapshot, Range: send.Range}
		for _, last := range dispatcher.Step(now+5*time.Millisecond, dispatch.AttemptReplied{Attempt: send.Attempt, Reply: reply}) {
			if finish, ok := last.(dispatch.Finish); ok {
				fmt.Println(finish.Outcome.Reason, finish.Outcome.Coverage)
			}
		}
	}
	// Output:
	// send [0, 1000) of snapshot 42 to s1
	// complete 1
}
