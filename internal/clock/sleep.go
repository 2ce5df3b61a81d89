// Package clock provides a sleep that can be cancelled by a context, and elapsed
// time that includes suspensions of the machine.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns the context's error if the context
// is done before then or already done.
func Sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
