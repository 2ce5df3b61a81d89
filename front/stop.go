package front

import (
	"context"
	"net/http"
	"time"
)

const (
	// leaveTime is how long a leaving node goes on taking new connections, while
	// callers that ask anew are sent elsewhere.
	leaveTime = 3300 * time.Millisecond
	// stopMargin is kept at the end of the grace for the process's own end.
	stopMargin = 600 * time.Millisecond
	// stopPoll is the time between two looks at what is pending.
	stopPoll = 50 * time.Millisecond
)

// stop ends the node as planned: it is no longer ready, the directory leaves it
// out, kept connections end with their next answer, and the process goes when
// nothing is pending.
func (f *Front) stop(callers *http.Server) {
	began := time.Now()
	grace := time.Duration(f.grace.Load())
	f.options.Logger.Info().Dur("grace_ms", grace).Msg("stopping")
	f.leaving.Store(true)
	f.announcer.Leave()
	f.gateway.Drain()
	time.Sleep(min(leaveTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-stopMargin))
	defer cancel()
	for f.gateway.Pending() > 0 && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	_ = callers.Shutdown(ctx) // what is still open then is past its grace
}
