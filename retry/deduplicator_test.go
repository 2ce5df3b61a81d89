package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/banksail/banksail/retry"
)

func TestDeduplicator(t *testing.T) {
	one, other := retry.Digest{1}, retry.Digest{2}
	options := retry.DeduplicatorOptions{Window: time.Minute, MaxEntries: 2}
	type step struct {
		name    string
		at      time.Duration
		do      func(d *retry.Deduplicator, now time.Duration)
		id      string
		digest  retry.Digest
		want    retry.Verdict
		outcome any
	}
	complete := func(id string) func(*retry.Deduplicator, time.Duration) {
		return func(d *retry.Deduplicator, now time.Duration) { d.Complete(now, id, "ran") }
	}
	abandon := func(id string) func(*retry.Deduplicator, time.Duration) {
		return func(d *retry.Deduplicator, _ time.Duration) { d.Abandon(id) }
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"recorded outcome", []step{
			{name: "first", id: "a", digest: one, want: retry.Accepted},
			{name: "while it runs", id: "a", digest: one, want: retry.InProgress},
			{name: "another body while it runs", id: "a", digest: other, want: retry.Conflict},
			{name: "after it ended", do: complete("a"), id: "a", digest: one, want: retry.Completed, outcome: "ran"},
			{name: "another body after it ended", id: "a", digest: other, want: retry.Conflict},
			{name: "at the end of the window", at: time.Minute - 1, id: "a", digest: one, want: retry.Completed, outcome: "ran"},
			{name: "after the window", at: time.Minute, id: "a", digest: other, want: retry.Accepted},
		}},
		{"not run", []step{
			{name: "first", id: "a", digest: one, want: retry.Accepted},
			{name: "abandoned", do: abandon("a"), id: "a", digest: other, want: retry.Accepted},
		}},
		{"an ended request can't be abandoned", []step{
			{name: "first", id: "a", digest: one, want: retry.Accepted},
			{name: "ended", do: complete("a"), id: "a", digest: one, want: retry.Completed, outcome: "ran"},
			{name: "abandoned", do: abandon("a"), id: "a", digest: one, want: retry.Completed, outcome: "ran"},
		}},
		{"full", []step{
			{name: "first", id: "a", digest: one, want: retry.Accepted},
			{name: "second", id: "b", digest: one, want: retry.Accepted},
			{name: "third", id: "c", digest: one, want: retry.Full},
			{name: "ended ones count", do: complete("a"), id: "c", digest: one, want: retry.Full},
			{name: "known ones are still known", id: "b", digest: one, want: retry.InProgress},
			{name: "room after the window", at: time.Minute, id: "c", digest: one, want: retry.Accepted},
			{name: "in progress never expires", at: time.Hour, id: "b", digest: one, want: retry.InProgress},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := retry.NewDeduplicator(options)
			for _, s := range test.steps {
				if s.do != nil {
					s.do(d, s.at)
				}
				verdict, outcome := d.Begin(s.at, s.id, s.digest)
				if verdict != s.want || outcome != s.outcome {
					t.Fatalf("%s: verdict %d, outcome %v; want %d, %v", s.name, verdict, outcome, s.want, s.outcome)
				}
			}
		})
	}
}

// Once an ID has run, it is never Accepted again within the window, and the deduplicator
// never holds more than MaxEntries requests.
func TestDeduplicatorRunsIDAtMostOnce(t *testing.T) {
	const maximum, window = 4, 50
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("at most once", prop.ForAll(func(steps []uint8) bool {
		d := retry.NewDeduplicator(retry.DeduplicatorOptions{Window: window, MaxEntries: maximum})
		running := make(map[string]bool)
		ended := make(map[string]time.Duration)
		for i, step := range steps {
			now := time.Duration(i)
			id := fmt.Sprint(step >> 4)
			switch step & 3 {
			case 0:
				if running[id] {
					d.Complete(now, id, nil)
					ended[id] = now
					delete(running, id)
				}
			default:
				verdict, _ := d.Begin(now, id, retry.Digest{})
				if verdict != retry.Accepted {
					continue
				}
				if at, ran := ended[id]; running[id] || ran && now-at < window {
					return false
				}
				running[id] = true
			}
			if d.Len() > maximum {
				return false
			}
		}
		return true
	}, gen.SliceOfN(300, gen.UInt8())))
	properties.TestingRun(t)
}
