package gather_test

import (
	"testing"
	"time"

	"github.com/banksail/banksail/gather"
)

func TestStopWhenSlow(t *testing.T) {
	const typical = 10 * time.Millisecond
	tests := []struct {
		name     string
		policy   gather.StopWhenSlow
		progress gather.Progress
		after    time.Duration
		ok       bool
	}{
		{"the rest is as quick as any", gather.StopWhenSlow{}, gather.Progress{OpenSegments: 1, Coverage: 0.9, ExpectedLatency: typical}, 4 * typical, true},
		{"nothing is known of the rest", gather.StopWhenSlow{}, gather.Progress{OpenSegments: 1, Coverage: 0.9}, 4 * typical, true},
		{"the rest is slow", gather.StopWhenSlow{}, gather.Progress{OpenSegments: 1, Coverage: 0.9, ExpectedLatency: 5 * typical}, typical, true},
		{"the rest is slow and unsent", gather.StopWhenSlow{}, gather.Progress{OpenSegments: 1, UnsentSegments: 1, Coverage: 0.9, ExpectedLatency: 5 * typical}, typical, true},
		{"the rest is unsent", gather.StopWhenSlow{}, gather.Progress{OpenSegments: 2, UnsentSegments: 2, Coverage: 0.9}, 2 * typical, true},
		{"patience is set", gather.StopWhenSlow{LatencyFactor: 6}, gather.Progress{OpenSegments: 1, Coverage: 0.9, ExpectedLatency: 5 * typical}, 6 * typical, true},
		{"a less urgent class", gather.StopWhenSlow{}, gather.Progress{Rank: 1, OpenSegments: 1, Coverage: 0.9, ExpectedLatency: 5 * typical}, 0, false},
		{"too little is covered", gather.StopWhenSlow{}, gather.Progress{OpenSegments: 1, Coverage: 0.7, ExpectedLatency: 5 * typical}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.progress.TypicalLatency = typical
			after, ok := test.policy.StopAfter(test.progress)
			if after != test.after || ok != test.ok {
				t.Errorf("StopAfter is %v, %v; want %v, %v", after, ok, test.after, test.ok)
			}
		})
	}
}
