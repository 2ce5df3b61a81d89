// Package clock holds waits that end with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration. It returns the context's error when the
// context ends first, or has ended already.
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
