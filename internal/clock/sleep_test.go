package clock

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	cases := []struct {
		name     string
		duration time.Duration
		timeout  time.Duration
		want     error
		elapsed  time.Duration
	}{
		{name: "whole duration", duration: time.Second, timeout: time.Minute, elapsed: time.Second},
		{name: "context ends first", duration: time.Minute, timeout: time.Second, want: context.DeadlineExceeded, elapsed: time.Second},
		{name: "no duration", duration: 0, timeout: time.Second},
		{name: "no duration and an ended context", duration: 0, timeout: -1, want: context.DeadlineExceeded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				start := time.Now()
				if err := Sleep(ctx, test.duration); !errors.Is(err, test.want) {
					t.Errorf("error is %v, want %v", err, test.want)
				}
				if elapsed := time.Since(start); elapsed != test.elapsed {
					t.Errorf("Sleep took %v, want %v", elapsed, test.elapsed)
				}
			})
		})
	}
}
